package admission

import (
	"math"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// pool holds the newest sample of each other upstream that was heard of.
type pool struct {
	samples map[ident.UpstreamID]Sample
}

// observe takes in the samples that are newer than what is held, and drops
// those that no longer count.
func (pool *pool) observe(now time.Time, samples []Sample) {
	if pool.samples == nil {
		pool.samples = make(map[ident.UpstreamID]Sample)
	}
	for _, sample := range samples {
		held, found := pool.samples[sample.Upstream]
		if !found || sample.SeenAt.After(held.SeenAt) {
			pool.samples[sample.Upstream] = sample
		}
	}
	for upstream, sample := range pool.samples {
		if !fresh(now, sample, SampleLifetime) {
			delete(pool.samples, upstream)
		}
	}
}

func fresh(now time.Time, sample Sample, lifetime time.Duration) bool {
	return !now.After(sample.SeenAt.Add(lifetime))
}

// mean returns the mean of load and the fresh samples, and their number.
func (pool *pool) mean(now time.Time, load int) (float64, int) {
	sum, count := load, 1
	for _, sample := range pool.samples {
		if sample.Leaving || !fresh(now, sample, SampleLifetime) {
			continue
		}
		sum += sample.Load
		count++
	}
	return float64(sum) / float64(count), count
}

// raised returns mean raised by the evidence. In a fast ramp every sample is
// behind by about the same: the mean growth of the refusing upstreams since
// they were sampled estimates that of the pool, and is not misled by their
// being among the fuller ones, which they were when sampled too. An upstream
// that was not sampled is compared with the mean. The result is at most the
// mean of the loads named, this upstream's own included.
func (pool *pool) raised(now time.Time, mean float64, load int, evidence []Sample) float64 {
	sum, growth, count := float64(load), 0.0, 1
	for i, named := range evidence {
		if !fresh(now, named, EvidenceLifetime) || named.Leaving || namedBefore(evidence[:i], named.Upstream) {
			continue
		}
		sum += float64(named.Load)
		growth += float64(named.Load) - pool.sampled(now, named.Upstream, mean)
		count++
	}
	refusals := float64(count - 1)
	if count-1 < minEvidence {
		return mean
	}
	return max(mean, min(mean+growth/refusals, sum/float64(count)))
}

func namedBefore(evidence []Sample, upstream ident.UpstreamID) bool {
	for _, named := range evidence {
		if named.Upstream == upstream {
			return true
		}
	}
	return false
}

// sampled returns the load of upstream when it was sampled, or else the mean.
func (pool *pool) sampled(now time.Time, upstream ident.UpstreamID, mean float64) float64 {
	sample, found := pool.samples[upstream]
	if !found || !fresh(now, sample, SampleLifetime) {
		return mean
	}
	return float64(sample.Load)
}

// limits is what an offer is held against.
type limits struct {
	mean float64
	// bound is the lower of the bound by the mean and the engine's limit; zero
	// means that there is neither.
	bound int
}

// limits returns the limits at the time now, with the mean raised by evidence.
// Without a single sample nothing is known of a mean: the engine's limit alone
// holds, so that a sidecar that hears from nobody does not starve.
func (gate *Gate) limits(now time.Time, evidence []Sample) limits {
	mean, covered := gate.pool.mean(now, gate.Load())
	if covered == 1 || gate.policy.LoadMultiple <= 0 {
		return limits{mean: mean, bound: gate.policy.EngineLimit}
	}
	mean = gate.pool.raised(now, mean, gate.Load(), evidence)
	bound := Bound(gate.policy.LoadMultiple, mean)
	if gate.policy.EngineLimit > 0 {
		bound = min(bound, gate.policy.EngineLimit)
	}
	return limits{mean: mean, bound: bound}
}

// Bound returns the bound on an upstream's load for the mean of its pool:
// max(1, ceil(multiple * mean)). With a multiple of exactly one a pool whose
// upstreams are all at the mean could never take more, so the bound is always
// above the mean; for any greater multiple this changes nothing.
func Bound(multiple, mean float64) int {
	return max(int(math.Ceil(multiple*mean)), int(math.Floor(mean))+1)
}
