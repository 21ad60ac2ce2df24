// Package admission implements admission control for one upstream: it admits,
// queues or refuses each request that is offered.
//
// It guarantees that no admission raises the load of an upstream above
// Bound(LoadMultiple, mean), which for a multiple above one is max(1,
// ceil(LoadMultiple * mean)), or above the engine's limit. The mean covers the
// upstream's own current load and the samples of the other upstreams of its
// pool, each at most SampleLifetime old. A router whose request was refused
// sends along the loads that it received from sidecars within EvidenceLifetime.
// They count as samples. If they cover at least three upstreams, they also
// raise the mean for that request: by the mean growth of those upstreams since
// they were sampled, but never above the mean of the loads that they and this
// upstream have now. The load can still exceed a later bound, when the mean
// falls after work was admitted.
//
// Load and samples count work in flight only, not queued work. If queued work
// counted, a queue at one upstream would raise the mean, and with it the bound
// of every other upstream, above what any engine can run.
//
// In small pools, a mean near zero gives a bound of one. The bound is always
// above the mean, so that a pool whose upstreams are all at the mean can admit
// more even with a LoadMultiple of one. A pool of one, and a sidecar that has
// received no sample for SampleLifetime, have no mean to compare with and apply
// the engine's limit alone.
//
// Cold work, for which the engine has no prefix cached, has a lower bound than
// other work as long as the router can try another upstream. A refusal names an
// upstream that was last seen below the mean, if one is known. A workspace is
// limited to its share only while the pool is so loaded that the engine's limit
// is the effective bound, or while another workspace has a request queued.
//
// The package also guarantees that a request whose deadline cannot be met is
// refused at once, that each queued attempt leaves the queue exactly once, that
// a workspace that is the only active one may fill the upstream, and that every
// refusal carries a time for the next try. It reads no clock: callers pass the
// current time.
package admission
