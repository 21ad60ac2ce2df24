package balance

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
)

// candidate is an upstream with its load.
type candidate struct {
	// index is the position of the upstream in its pool.
	index  int
	load   Load
	health healthState
	// exclusion is why the upstream gets no request, or empty if it may.
	exclusion Exclusion
	limit     LimitState
	// cached is set if the upstream has the longest prefix of the request cached.
	cached bool
	// expected is the predicted time to the first event, if the selection predicts.
	expected time.Duration
}

// usable reports whether the upstream is healthy, not excluded and has fewer than
// bound requests in flight.
func (candidate candidate) usable(bound float64) bool {
	return candidate.exclusion == "" && candidate.health == healthy && candidate.below(bound)
}

// below reports whether the upstream has fewer than bound requests in flight.
func (candidate candidate) below(bound float64) bool { return float64(candidate.load.Requests) < bound }

// selection is the state of one call of Choose.
type selection struct {
	chooser    *Chooser
	pool       *registry.Pool
	request    Request
	candidates []candidate
	// limited is how many of the candidates name limits or are cold.
	limited int
	// mean is the mean number of requests in flight at the upstreams that name no limit.
	// Upstreams with a limit are left out, since their limits and not the balance determine
	// their load.
	mean float64
	// bound is the number of requests in flight from which on an upstream is at the load
	// bound. It is a multiple of the mean that includes the withheld upstreams: a zone that
	// is evacuated must not raise the bound of the others.
	bound float64
	now   time.Time
	// predicts is set if the times to the first event are predicted. usual is the one at
	// an idle upstream that is like the mean of its service and has the prefix cached.
	predicts bool
	usual    time.Duration
}

// boundOf returns the number of requests in flight from which on an upstream gets no request
// whose prefix it has cached, or, with cached false, whose prefix it hasn't.
func (selection *selection) boundOf(cached bool) float64 {
	if cached {
		return selection.bound
	}
	return min(selection.mean+uncachedSlack, selection.bound)
}

func (selection *selection) random(n int) int {
	if selection.chooser.Random == nil {
		return rand.IntN(n)
	}
	return selection.chooser.Random(n)
}

// pick returns the chosen candidate. prefixCached says whether any upstream is
// known to have the longest prefix of the request cached.
func (selection *selection) pick(prefixCached bool) (candidate, Reason, bool) {
	if len(selection.request.Keys) > 0 {
		cached, hit := selection.bestCached()
		ranked, found := selection.bestRanked(prefixCached)
		if hit && !(found && selection.worthSpilling(cached, ranked)) {
			return cached, CacheHit, true
		}
		if found && prefixCached {
			return ranked, Spillover, true
		}
		if found {
			return ranked, Rendezvous, true
		}
	}
	if chosen, found := selection.leastLoaded(healthy); found {
		return chosen, LeastLoaded, true
	}
	if chosen, found := selection.leastLoaded(probation); found {
		return chosen, LastResort, true
	}
	chosen, found := selection.leastLoaded(ejected)
	return chosen, LastResort, found
}

// bestCached returns the upstream that answers soonest among those below the
// bound that have the prefix cached.
func (selection *selection) bestCached() (candidate, bool) {
	if selection.predicts {
		return selection.soonestCached(selection.boundOf(true))
	}
	var best candidate
	found := false
	for _, candidate := range selection.candidates {
		if !candidate.cached || !candidate.usable(selection.boundOf(true)) {
			continue
		}
		if !found || answersSooner(candidate.load, best.load) {
			best = candidate
			found = true
		}
	}
	return best, found
}

// answersSooner reports whether an upstream with load a is expected to answer
// sooner than one with load b.
func answersSooner(a, b Load) bool {
	if a.prefillTime() != b.prefillTime() {
		return a.prefillTime() < b.prefillTime()
	}
	return a.Requests < b.Requests
}

// worthSpilling reports whether the request should go to ranked, which has to
// fetch the prefix, rather than wait for the pending prefill at cached.
func (selection *selection) worthSpilling(cached, ranked candidate) bool {
	if selection.predicts {
		target := float64(selection.request.Target.Duration())
		return target > 0 && float64(cached.expected-selection.usual) > maxWaitShare*target &&
			float64(cached.expected-ranked.expected) > minGainShare*target
	}
	target := float64(selection.request.Target)
	wait := float64(cached.load.prefillTime())
	return target > 0 && wait > maxWaitShare*target && wait-float64(ranked.load.prefillTime()) > minGainShare*target
}

// bestRanked returns the upstream with the least pending prefill, or the one that is
// expected to answer first, among the first of the rendezvous order that are at most
// slightly more loaded than the mean. All routers with the same view choose the same
// one. prefixCached says whether the prefix can be fetched.
func (selection *selection) bestRanked(prefixCached bool) (candidate, bool) {
	prefill := selection.request.Prompt
	if prefixCached {
		prefill = selection.request.Own
	}
	var space [maxRankedCandidates]int
	order := space[:]
	if selection.limited > 0 {
		order = make([]int, maxRankedCandidates+min(selection.limited, maxSkippedCandidates))
	}
	bound := selection.boundOf(false)
	var best candidate
	found := false
	for _, index := range selection.pool.Ranking.Rank(selection.request.Keys[0], "", order) {
		candidate := selection.candidates[index]
		if !candidate.usable(bound) {
			continue
		}
		selection.predict(&candidate, prefill)
		if !found || selection.soonerRanked(candidate, best) {
			best = candidate
			found = true
		}
	}
	return best, found
}

// spare returns an upstream below its limit, or its rate while cold, that is far less loaded
// than the chosen one, preferably one that has the prefix cached, and whether there is one.
func (selection *selection) spare(chosen candidate) (candidate, bool) {
	if selection.limited == 0 || chosen.limit != Unlimited {
		return candidate{}, false
	}
	var best candidate
	found := false
	for _, candidate := range selection.candidates {
		if !candidate.limit.leavesSome() || !candidate.usable(float64(chosen.load.Requests)/spareLoadDivisor) {
			continue
		}
		if !found || candidate.cached && !best.cached || candidate.cached == best.cached && answersSooner(candidate.load, best.load) {
			best = candidate
			found = true
		}
	}
	return best, found
}

// leastLoaded returns the least loaded upstream with the given health that is not
// excluded. Among equally loaded ones it prefers the zone of the request
// and then chooses at random.
func (selection *selection) leastLoaded(health healthState) (candidate, bool) {
	var best candidate
	equals := 0
	for _, candidate := range selection.candidates {
		if candidate.exclusion != "" || candidate.health != health {
			continue
		}
		switch {
		case equals == 0 || selection.preferred(candidate, best):
			best = candidate
			equals = 1
		case selection.preferred(best, candidate):
		default:
			equals++
			if selection.random(equals) == 0 {
				best = candidate
			}
		}
	}
	return best, equals > 0
}

// preferred reports whether a has fewer requests in flight than b, or as many
// and only a is in the zone of the request.
func (selection *selection) preferred(a, b candidate) bool {
	if a.load.Requests != b.load.Requests {
		return a.load.Requests < b.load.Requests
	}
	aInZone := selection.pool.Upstreams[a.index].Zone == selection.request.Zone
	bInZone := selection.pool.Upstreams[b.index].Zone == selection.request.Zone
	return aInZone && !bInZone
}
