// Package admission decides what one upstream takes on.
//
// What is promised exactly: no admission lifts the load of an upstream above
// max(1, ceil(LoadMultiple * mean)), nor above the engine's limit. The mean is
// that of the upstream's own load now and of the samples that it holds of its
// pool, each at most SampleLifetime old. A router that was refused presents the
// loads that it was told of in the last second. They count as samples; where
// they name three upstreams or more they also raise the mean for that request:
// by the mean growth of those upstreams since they were sampled, and never past
// the mean of the loads that they and this upstream have now. The load may still
// exceed the bound of a later mean, when the mean falls under work that was
// admitted before.
//
// Load and samples count the work in flight only. Queued work is left out:
// would it count, a queue at one upstream would raise the mean, and with it the
// bound of every other upstream, above what any engine runs.
//
// Small pools: a mean near zero gives a bound of one. The bound is always above
// the mean, so that a pool whose upstreams are all at the mean can take more
// even with a LoadMultiple of one. A pool of one, and a sidecar that has heard
// from nobody for SampleLifetime, have no mean to go by and keep to the
// engine's limit alone.
//
// Below the bound, work whose prefix is not cached here is held to a lower one
// while it may go elsewhere, and a refusal names an upstream that was last seen
// below the mean. A workspace is held to its share only while the pool is so
// loaded that the engine's limit is what binds, or while another one waits.
//
// It promises besides that a request whose deadline cannot be met is refused at
// once, that each queued attempt leaves the queue exactly once, that a
// workspace alone may fill the upstream, and that every refusal says when to
// come back. It reads no clock: the time comes in as an argument.
package admission
