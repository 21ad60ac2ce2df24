package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// pool holds the newest sample of each other upstream of the pool, sorted by
// upstream ID.
type pool struct {
	samples []Sample
}

// observe records the samples that are newer than the recorded ones and drops
// expired samples.
func (pool *pool) observe(now time.Time, samples []Sample) {
	for _, sample := range samples {
		pool.add(sample)
	}
	pool.samples = slices.DeleteFunc(pool.samples, func(sample Sample) bool { return !fresh(now, sample, SampleLifetime) })
}

func (pool *pool) add(sample Sample) {
	index, found := pool.find(sample.Upstream)
	if !found {
		pool.samples = slices.Insert(pool.samples, index, sample)
		return
	}
	if sample.SeenAt.After(pool.samples[index].SeenAt) {
		pool.samples[index] = sample
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

// mean returns the mean of load and the fresh samples, and the number of
// upstreams that it covers.
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

// lessLoaded returns the least loaded upstream among a few samples drawn at
// random, if its load is below the mean. Drawing at random keeps the sidecars
// that refuse requests at the same time from all naming the same upstream.
func (pool *pool) lessLoaded(now time.Time, mean float64, random func() float64) ident.UpstreamID {
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

// raisedMean returns mean raised by the evidence. While load ramps up quickly,
// all samples lag behind by about the same amount, so that the mean growth of
// the upstreams in the evidence estimates the growth of the pool. These tend to
// be the more loaded upstreams, but that does not distort the estimate, since
// they were so when sampled too. An upstream without a sample is compared with
// the mean. The result is at most the mean of the loads in the evidence and
// this upstream's own load.
func (pool *pool) raisedMean(now time.Time, mean float64, load int, evidence []Sample) float64 {
	sum, growth, count := load, 0.0, 0
	for i, sample := range evidence {
		if !fresh(now, sample, EvidenceLifetime) || sample.Leaving || containsUpstream(evidence[:i], sample.Upstream) {
			continue
		}
		sum += sample.Load
		growth += float64(sample.Load) - pool.sampledLoad(now, sample.Upstream, mean)
		count++
	}
	if count < minEvidenceUpstreams {
		return mean
	}
	return max(mean, min(mean+growth/float64(count), float64(sum)/float64(count+1)))
}

func containsUpstream(samples []Sample, upstream ident.UpstreamID) bool {
	for _, sample := range samples {
		if sample.Upstream == upstream {
			return true
		}
	}
	return false
}

// sampledLoad returns the load in the fresh sample of upstream, or mean if
// there is none.
func (pool *pool) sampledLoad(now time.Time, upstream ident.UpstreamID, mean float64) float64 {
	index, found := pool.find(upstream)
	if !found || !fresh(now, pool.samples[index], SampleLifetime) {
		return mean
	}
	return float64(pool.samples[index].Load)
}

// limits holds the mean and the bounds that apply to an offer.
type limits struct {
	mean float64
	// bound is the lower of the bound by the mean and the engine's limit; zero
	// means that there is neither.
	bound int
	// cold is the lower bound for work without a prefix cached here.
	cold int
}

// boundFor returns the bound that applies to offer.
func (limits *limits) boundFor(offer *Offer) int {
	if offer.Cold && !offer.MayQueue {
		return limits.cold
	}
	return limits.bound
}

// limits returns the limits at the time now, with the mean raised by evidence.
// Without samples there is no mean to compare with: the engine's limit alone
// applies, so that a sidecar that receives no samples is not starved.
func (controller *Controller) limits(now time.Time, evidence []Sample) limits {
	mean, covered := controller.pool.mean(now, controller.Load())
	if covered == 1 || controller.policy.LoadMultiple <= 0 {
		return limits{mean: mean, bound: controller.policy.EngineLimit, cold: controller.policy.EngineLimit}
	}
	mean = controller.pool.raisedMean(now, mean, controller.Load(), evidence)
	bound := Bound(controller.policy.LoadMultiple, mean)
	if controller.policy.EngineLimit > 0 {
		bound = min(bound, controller.policy.EngineLimit)
	}
	cold := Bound(1+coldFraction*(controller.policy.LoadMultiple-1), mean)
	return limits{mean: mean, bound: bound, cold: min(bound, cold)}
}

// Bound returns the bound on an upstream's load for the mean of its pool:
// max(1, ceil(multiple * mean)). With a multiple of exactly one a pool whose
// upstreams are all at the mean could never admit more, so the bound is always
// above the mean; for any greater multiple this changes nothing.
func Bound(multiple, mean float64) int {
	return max(int(math.Ceil(multiple*mean)), int(math.Floor(mean))+1)
}
