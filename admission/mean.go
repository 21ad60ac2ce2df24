package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// pool holds the newest sample of each other upstream that was heard of, in the
// order of their names.
type pool struct {
	samples []Sample
}

// observe takes in the samples that are newer than what is held, and drops
// those that no longer count.
func (pool *pool) observe(now time.Time, samples []Sample) {
	for _, sample := range samples {
		pool.add(sample)
	}
	pool.samples = slices.DeleteFunc(pool.samples, func(sample Sample) bool { return !fresh(now, sample, SampleLifetime) })
}

func (pool *pool) add(sample Sample) {
	place, found := pool.find(sample.Upstream)
	if !found {
		pool.samples = slices.Insert(pool.samples, place, sample)
		return
	}
	if sample.SeenAt.After(pool.samples[place].SeenAt) {
		pool.samples[place] = sample
	}
}

func (pool *pool) find(upstream ident.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(pool.samples, upstream, func(sample Sample, upstream ident.UpstreamID) int {
		return strings.Compare(string(sample.Upstream), string(upstream))
	})
}

func fresh(now time.Time, sample Sample, lifetime time.Duration) bool {
	return !now.After(sample.SeenAt.Add(lifetime))
}

// mean returns the mean of load and the fresh samples, and their number.
func (pool *pool) mean(now time.Time, load int) (float64, int) {
	sum, count := load, 1
	oldest := now.Add(-SampleLifetime)
	for i := range pool.samples {
		sample := &pool.samples[i]
		if sample.Leaving || sample.SeenAt.Before(oldest) {
			continue
		}
		sum += sample.Load
		count++
	}
	return float64(sum) / float64(count), count
}

// lighter returns the upstream with the least load among a few fresh samples
// drawn at random, if that is below the mean. To draw keeps the sidecars that
// refuse at the same moment from all naming the same upstream.
func (pool *pool) lighter(now time.Time, mean float64, random func() float64) ident.UpstreamID {
	const draws = 4
	var best Sample
	for range min(draws, len(pool.samples)) {
		drawn := pool.samples[int(random()*float64(len(pool.samples)))]
		if drawn.Leaving || !fresh(now, drawn, SampleLifetime) || float64(drawn.Load) >= mean {
			continue
		}
		if best.Upstream == "" || drawn.Load < best.Load {
			best = drawn
		}
	}
	return best.Upstream
}

// raised returns mean raised by the evidence. In a fast ramp every sample is
// behind by about the same: the mean growth of the upstreams named since they
// were sampled estimates that of the pool, and is not misled by their being
// among the fuller ones, which they were when sampled too. An upstream that was
// not sampled is compared with the mean. The result is at most the mean of the
// loads named, this upstream's own included.
func (pool *pool) raised(now time.Time, mean float64, load int, evidence []Sample) float64 {
	sum, growth, named := load, 0.0, 0
	for i, sample := range evidence {
		if !fresh(now, sample, EvidenceLifetime) || sample.Leaving || namedBefore(evidence[:i], sample.Upstream) {
			continue
		}
		sum += sample.Load
		growth += float64(sample.Load) - pool.sampled(now, sample.Upstream, mean)
		named++
	}
	if named < minEvidence {
		return mean
	}
	return max(mean, min(mean+growth/float64(named), float64(sum)/float64(named+1)))
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
	place, found := pool.find(upstream)
	if !found || !fresh(now, pool.samples[place], SampleLifetime) {
		return mean
	}
	return float64(pool.samples[place].Load)
}

// limits is what an offer is held against.
type limits struct {
	mean float64
	// bound is the lower of the bound by the mean and the engine's limit; zero
	// means that there is neither.
	bound int
	// cold is the lower bound for work that finds no prefix here.
	cold int
}

// of returns the bound that applies to offer.
func (limits *limits) of(offer *Offer) int {
	if offer.Cold && !offer.Wait {
		return limits.cold
	}
	return limits.bound
}

// limits returns the limits at the time now, with the mean raised by evidence.
// Without a single sample nothing is known of a mean: the engine's limit alone
// holds, so that a sidecar that hears from nobody does not starve.
func (controller *Controller) limits(now time.Time, evidence []Sample) limits {
	mean, covered := controller.pool.mean(now, controller.Load())
	if covered == 1 || controller.policy.LoadMultiple <= 0 {
		return limits{mean: mean, bound: controller.policy.EngineLimit, cold: controller.policy.EngineLimit}
	}
	mean = controller.pool.raised(now, mean, controller.Load(), evidence)
	bound := Bound(controller.policy.LoadMultiple, mean)
	if controller.policy.EngineLimit > 0 {
		bound = min(bound, controller.policy.EngineLimit)
	}
	cold := Bound(1+coldPart*(controller.policy.LoadMultiple-1), mean)
	return limits{mean: mean, bound: bound, cold: min(bound, cold)}
}

// Bound returns the bound on an upstream's load for the mean of its pool:
// max(1, ceil(multiple * mean)). With a multiple of exactly one a pool whose
// upstreams are all at the mean could never take more, so the bound is always
// above the mean; for any greater multiple this changes nothing.
func Bound(multiple, mean float64) int {
	return max(int(math.Ceil(multiple*mean)), int(math.Floor(mean))+1)
}
