package cost

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// minObservations is how many requests of a service have to be seen before their
	// times are predicted.
	minObservations = 20
	// serviceMemory and upstreamMemory are after what time an observation counts for
	// 1/e of a new one.
	serviceMemory  = 60 * time.Second
	upstreamMemory = 180 * time.Second
	// paceMemory is the same for the pace that a VM reported: the pace changes
	// several times a second. paceMeanMemory is that of its mean.
	paceMemory     = 600 * time.Millisecond
	paceMeanMemory = 60 * time.Second
	// paceShrinkage is how many reports of a usual pace are assumed of each VM.
	paceShrinkage = 2
	// minPace and maxPace bound the paces that can be true.
	minPace = 0.1
	maxPace = 20
	// gapWeight is the weight of one gap between events: those of one stream follow
	// each other and depend on the same moments of the VM.
	gapWeight = 0.1
	// maxFirstLog and maxGapLog limit the logarithms of the ratios of observations to
	// predictions. A gap is longer than predicted if a prompt was prefilled in it, which
	// says nothing about the VM.
	maxFirstLog = 1.2
	maxGapLog   = 0.5
	// maxTime bounds the times that can be true.
	maxTime = 2 * time.Minute
	// maxServices and maxUpstreams bound what is kept.
	maxServices  = 256
	maxUpstreams = 4096
)

// Work is what an upstream has to do until the first event of a request.
type Work struct {
	// Prefill is the number of tokens of the request's own prompt that are not cached.
	Prefill ident.Tokens
	// Local is the pending prefill of requests of this router, and Remote that of other
	// routers, which is known late and may be over.
	Local  ident.Tokens
	Remote ident.Tokens
}

// firstPrior describes the milliseconds to the first event: a constant, and those for a
// token of the request and for one that is pending before it, of this router and of others.
var firstPrior = prior{
	mean:      terms{6, 1.0 / 45, 1.0 / 45, 1.0 / 45},
	deviation: terms{10, 0.01, 0.01, 0.01},
	low:       terms{0.5, 1.0 / 500, 1.0 / 1000, 1.0 / 1000},
	high:      terms{1000, 1, 1, 1},
	atMost:    [maxTerms]int{2: 1, 3: 1},
	floor:     1,
	outlier:   3,
}

// gapPrior describes the milliseconds for a token of a stream: a constant, and those for
// a running request.
var gapPrior = prior{
	mean:      terms{2.6, 0.12},
	deviation: terms{5, 0.2},
	low:       terms{0.1, 0},
	high:      terms{1000, 5},
	floor:     0.1,
	outlier:   1.5,
}

func (work Work) terms() terms {
	return terms{1, float64(work.Prefill), float64(work.Local), float64(work.Remote)}
}

func gapTerms(running int) terms { return terms{1, float64(running)} }

// service is what is known of the upstreams of a service together.
type service struct {
	first, gap             fit
	firstRatios, gapRatios evidence
}

// upstream is what is known of one upstream in comparison with its service.
type upstream struct {
	incarnation            registry.Incarnation
	firstRatios, gapRatios evidence
	// pace is the last one that the VM reported at reportedAt, and paces their mean.
	pace       float64
	reportedAt time.Time
	paces      decayingMean
}

// Model predicts costs and times from observations. The zero value has none and is
// ready for use. It is safe for concurrent use.
type Model struct {
	mu        sync.Mutex
	services  *simplelru.LRU[ident.ServiceName, *service]
	upstreams *simplelru.LRU[ident.UpstreamID, *upstream]
	lengths   *simplelru.LRU[lengthKey, *decayingMean]
	outputs   *simplelru.LRU[ident.RouteName, *routeOutput]
	plain     *simplelru.LRU[ident.RouteName, *plainTimes]
}

// entry returns the value of key, and creates it with create if there is none. The least
// recently used value makes room.
func entry[Key comparable, Value any](cache **simplelru.LRU[Key, *Value], size int, key Key, create func() *Value) *Value {
	if *cache == nil {
		// The size is positive, so that there is no error.
		*cache, _ = simplelru.NewLRU[Key, *Value](size, nil)
	}
	if value, found := (*cache).Get(key); found {
		return value
	}
	value := create()
	(*cache).Add(key, value)
	return value
}

// peek returns the value of key, or nil.
func peek[Key comparable, Value any](cache *simplelru.LRU[Key, *Value], key Key) *Value {
	if cache == nil {
		return nil
	}
	value, _ := cache.Peek(key)
	return value
}

func (model *Model) service(name ident.ServiceName) *service {
	return entry(&model.services, maxServices, name, func() *service { return new(service) })
}

// upstream returns what is known of a run of an upstream, to which something is added.
func (model *Model) upstream(described registry.Upstream) *upstream {
	known := entry(&model.upstreams, maxUpstreams, described.ID, func() *upstream { return new(upstream) })
	if known.incarnation != described.Incarnation {
		*known = upstream{incarnation: described.Incarnation}
	}
	return known
}

// peekUpstream returns what is known of a run of an upstream, or nil.
func (model *Model) peekUpstream(described registry.Upstream) *upstream {
	known := peek(model.upstreams, described.ID)
	if known == nil || known.incarnation != described.Incarnation {
		return nil
	}
	return known
}

// credible reports whether an observed time can be true.
func credible(took time.Duration) bool { return took > 0 && took <= maxTime }

func milliseconds(took time.Duration) float64 { return took.Seconds() * 1000 }

// ObserveFirstEvent records that a request got its first event from an upstream, which
// had the given work to do when it was sent, after the time that it took.
func (model *Model) ObserveFirstEvent(now time.Time, described registry.Upstream, work Work, took time.Duration) {
	if !credible(took) || work.Prefill < 0 || work.Local < 0 || work.Remote < 0 {
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	service, upstream := model.service(described.Service), model.upstream(described)
	// The time is reduced to that of an upstream which is like its service.
	usual := milliseconds(took) / upstream.paceAt(now)
	if service.first.weight >= minObservations {
		ratio := limitedLog(usual/service.first.predict(&firstPrior, work.terms()), maxFirstLog)
		service.firstRatios.add(now, serviceMemory, ratio, 1)
		upstream.firstRatios.add(now, upstreamMemory, ratio, 1)
	}
	service.first.observe(now, &firstPrior, work.terms(), usual/upstream.factor(service))
}

// ObserveGap records the time between two events of a stream, the second of which holds
// so many tokens, while so many requests ran at the upstream. The caller leaves out gaps
// in which the upstream had prompts to prefill.
func (model *Model) ObserveGap(now time.Time, described registry.Upstream, running, tokens int, took time.Duration) {
	if !credible(took) || tokens <= 0 || running < 0 {
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	service, upstream := model.service(described.Service), model.upstream(described)
	usual := milliseconds(took) / float64(tokens) / upstream.paceAt(now)
	if service.gap.weight >= minObservations {
		ratio := limitedLog(usual/service.gap.predict(&gapPrior, gapTerms(running)), maxGapLog)
		service.gapRatios.add(now, serviceMemory, ratio, gapWeight)
		upstream.gapRatios.add(now, upstreamMemory, ratio, gapWeight)
	}
	service.gap.observe(now, &gapPrior, gapTerms(running), usual/upstream.factor(service))
}

// ObservePace records the pace that the VM of an upstream reports: how long work takes
// there as a multiple of the usual time. It ignores one that can't be true.
func (model *Model) ObservePace(now time.Time, described registry.Upstream, pace float64) {
	if !(pace >= minPace && pace <= maxPace) {
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	upstream := model.upstream(described)
	upstream.pace, upstream.reportedAt = pace, now
	upstream.paces.add(now, paceMeanMemory, pace, 1)
}

// Forget discards what is known of an upstream.
func (model *Model) Forget(id ident.UpstreamID) {
	model.mu.Lock()
	defer model.mu.Unlock()
	if model.upstreams != nil {
		model.upstreams.Remove(id)
	}
}

// paceAt returns the expected pace of the VM: the last report gives way to their mean as
// it ages.
func (upstream *upstream) paceAt(now time.Time) float64 {
	if upstream == nil || upstream.reportedAt.IsZero() {
		return 1
	}
	mean := upstream.paces.shrunk(1, paceShrinkage)
	return mean + (upstream.pace-mean)*decayed(upstream.reportedAt, now, paceMemory)
}

// factor returns how many times as long work takes at the upstream as at the others of
// its service at the same pace.
func (upstream *upstream) factor(service *service) float64 {
	if upstream == nil || service == nil {
		return 1
	}
	var precision, sum float64
	for _, pair := range [][2]*evidence{{&upstream.firstRatios, &service.firstRatios}, {&upstream.gapRatios, &service.gapRatios}} {
		own, all := pair[0], pair[1]
		if own.weight == 0 {
			continue
		}
		weight := own.weight / all.variance()
		precision += weight
		sum += weight * (own.mean() - all.mean())
	}
	if precision == 0 {
		return 1
	}
	return math.Exp(shrink(sum/precision, precision))
}

// FirstEvent returns the expected time to the first event of a request that finds the
// given work at an upstream, and false if too little is known of its service.
func (model *Model) FirstEvent(now time.Time, described registry.Upstream, work Work) (time.Duration, bool) {
	model.mu.Lock()
	defer model.mu.Unlock()
	service := peek(model.services, described.Service)
	if service == nil || service.first.weight < minObservations {
		return 0, false
	}
	upstream := model.peekUpstream(described)
	expected := service.first.predict(&firstPrior, work.terms()) * upstream.factor(service) * upstream.paceAt(now)
	return time.Duration(expected * float64(time.Millisecond)), true
}

// PrefillRate returns the tokens that an upstream is expected to prefill in a
// millisecond. Without observations of its service it is that of firstPrior.
func (model *Model) PrefillRate(now time.Time, described registry.Upstream) float64 {
	model.mu.Lock()
	defer model.mu.Unlock()
	service := peek(model.services, described.Service)
	if service == nil || service.first.weight < minObservations {
		return 1 / firstPrior.mean[1]
	}
	upstream := model.peekUpstream(described)
	return 1 / (service.first.coefficients[1] * upstream.factor(service) * upstream.paceAt(now))
}

// TokenTime returns the expected time for one token of each stream at an upstream that
// runs so many requests. Without observations of its service it is that of gapPrior.
func (model *Model) TokenTime(now time.Time, described registry.Upstream, running int) time.Duration {
	model.mu.Lock()
	defer model.mu.Unlock()
	service := peek(model.services, described.Service)
	if service == nil {
		service = zeroService
	}
	upstream := model.peekUpstream(described)
	expected := service.gap.predict(&gapPrior, gapTerms(running)) * upstream.factor(service) * upstream.paceAt(now)
	return time.Duration(expected * float64(time.Millisecond))
}

// zeroService is a service of which nothing is known.
var zeroService = new(service)
