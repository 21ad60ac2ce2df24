package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// rankedUpstreams is how many upstreams of the rendezvous order are looked at
// before the least loaded one is taken.
const rankedUpstreams = 8

// Reason says why an upstream was chosen.
type Reason string

// The reasons of a choice.
const (
	// Home is the first upstream of the rendezvous order.
	Home Reason = "home"
	// Spill is a later one, because those before it were at the bound or not
	// healthy.
	Spill Reason = "spill"
	// Least is the least loaded one.
	Least Reason = "least-loaded"
	// Distrusted is one that is set aside, because no other one is left.
	Distrusted Reason = "distrusted"
)

// Request is what the choice depends on.
type Request struct {
	// Key is the shared prompt; empty for a request without one.
	Key ident.ChatID
	// Tried are the upstreams that the request was offered to before.
	Tried []ident.UpstreamID
	Zone  ident.Zone
}

// Choice is a chosen upstream, with the figures that decided.
type Choice struct {
	Upstream registry.Upstream
	Reason   Reason
	Load     int
	Mean     float64
}

// Chooser chooses upstreams. Its fields are set before use.
type Chooser struct {
	Loads *Loads
	// Ejected reports whether an upstream is set aside.
	Ejected func(now time.Time, upstream ident.UpstreamID) bool
	// Multiple and Slack bound the load of an upstream that takes another
	// request: Multiple times the mean of its pool, and Slack.
	Multiple float64
	Slack    float64
}

// candidate is an upstream with its load.
type candidate struct {
	index   int
	load    int
	ejected bool
	tried   bool
}

// Choose returns an upstream of pool for request, and false if none is left.
func (chooser *Chooser) Choose(now time.Time, pool *registry.Pool, request Request) (Choice, bool) {
	if pool == nil {
		return Choice{}, false
	}
	candidates := make([]candidate, len(pool.Upstreams))
	total := 0
	for i, upstream := range pool.Upstreams {
		candidates[i] = candidate{
			index:   i,
			load:    chooser.Loads.Estimate(now, upstream.ID),
			ejected: chooser.Ejected(now, upstream.ID),
			tried:   slices.Contains(request.Tried, upstream.ID),
		}
		total += candidates[i].load
	}
	mean := float64(total) / float64(max(len(candidates), 1))
	chosen, reason, found := chooser.pick(pool, request, candidates, mean)
	if !found {
		return Choice{}, false
	}
	return Choice{Upstream: pool.Upstreams[chosen.index], Reason: reason, Load: chosen.load, Mean: mean}, true
}

func (chooser *Chooser) pick(pool *registry.Pool, request Request, candidates []candidate, mean float64) (candidate, Reason, bool) {
	if request.Key != "" {
		if chosen, reason, found := chooser.byRank(pool, request, candidates, mean); found {
			return chosen, reason, true
		}
	}
	if chosen, found := leastLoaded(pool, request.Zone, candidates, false); found {
		return chosen, Least, true
	}
	chosen, found := leastLoaded(pool, request.Zone, candidates, true)
	return chosen, Distrusted, found
}

// byRank returns the first upstream of the rendezvous order that is healthy and
// below the bound.
func (chooser *Chooser) byRank(pool *registry.Pool, request Request, candidates []candidate, mean float64) (candidate, Reason, bool) {
	bound := chooser.Multiple*mean + chooser.Slack
	var order [rankedUpstreams]int
	for place, index := range pool.Ranking.Rank(request.Key, "", order[:]) {
		ranked := candidates[index]
		if ranked.tried || ranked.ejected || float64(ranked.load) >= bound {
			continue
		}
		if place == 0 {
			return ranked, Home, true
		}
		return ranked, Spill, true
	}
	return candidate{}, "", false
}

// leastLoaded returns the least loaded upstream that was not tried, one of the
// caller's zone first among equals.
func leastLoaded(pool *registry.Pool, zone ident.Zone, candidates []candidate, ejected bool) (candidate, bool) {
	var best candidate
	equals := 0
	for _, rival := range candidates {
		if rival.tried || rival.ejected != ejected {
			continue
		}
		if equals > 0 && !before(pool, zone, rival, best) {
			if before(pool, zone, best, rival) {
				continue
			}
			equals++
			if rand.IntN(equals) > 0 {
				continue
			}
			best = rival
			continue
		}
		best = rival
		equals = 1
	}
	return best, equals > 0
}

func before(pool *registry.Pool, zone ident.Zone, a, b candidate) bool {
	if a.load != b.load {
		return a.load < b.load
	}
	aNear, bNear := pool.Upstreams[a.index].Zone == zone, pool.Upstreams[b.index].Zone == zone
	return aNear && !bNear
}
