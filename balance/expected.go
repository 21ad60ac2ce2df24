package balance

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// minGain and minRelativeGain are by how much sooner an upstream has to be expected
	// to answer than one that comes before it in the rendezvous order. Differences below
	// are within the error of predictions, and routers that disagree on them would
	// prefill the same prefix in several places.
	minGain         = 2 * time.Millisecond
	minRelativeGain = 0.05
)

// Work is the prefill until the first event of a request at an upstream, in tokens.
type Work struct {
	// Prefill is that of the request itself, and Pending that of the requests before it,
	// of which Local are of this router.
	Prefill ident.Tokens
	Pending ident.Tokens
	Local   ident.Tokens
}

// startPredicting finds out whether the times to the first event can be predicted.
func (selection *selection) startPredicting() {
	if selection.chooser.FirstEvent == nil || len(selection.request.Keys) == 0 || len(selection.pool.Upstreams) == 0 {
		return
	}
	mean := registry.Upstream{Service: selection.pool.Upstreams[0].Service}
	selection.usual, selection.predicts = selection.chooser.FirstEvent(selection.now, mean, Work{Prefill: selection.request.Own})
}

// predict sets the expected time to the first event if the request has to prefill so
// many tokens at a candidate.
func (selection *selection) predict(candidate *candidate, prefill ident.Tokens) {
	if !selection.predicts {
		return
	}
	upstream := selection.pool.Upstreams[candidate.index]
	work := Work{Prefill: prefill, Pending: candidate.load.PendingPrefill}
	if work.Pending > 0 {
		work.Local = min(selection.chooser.Loads.LocalPrefill(upstream.ID), work.Pending)
	}
	expected, known := selection.chooser.FirstEvent(selection.now, upstream, work)
	if !known {
		expected = selection.usual
	}
	candidate.expected = expected
}

// soonestCached returns the upstream that is expected to answer first among those below
// the bound that have the prefix cached. Of those that are expected to answer as soon, it
// draws two and takes the less loaded: if all routers took the least loaded one by the
// same late figures, they would overload it together.
func (selection *selection) soonestCached(bound float64) (candidate, bool) {
	var space [maxUpstreamsPerPrefix]candidate
	usable := space[:0]
	var soonest time.Duration
	for _, candidate := range selection.candidates {
		if !candidate.cached || !candidate.usable(bound) {
			continue
		}
		selection.predict(&candidate, selection.request.Own)
		if len(usable) == 0 || candidate.expected < soonest {
			soonest = candidate.expected
		}
		usable = append(usable, candidate)
	}
	latest := soonest + gainOver(soonest)
	usable = slices.DeleteFunc(usable, func(candidate candidate) bool { return candidate.expected > latest })
	switch len(usable) {
	case 0:
		return candidate{}, false
	case 1:
		return usable[0], true
	}
	first := selection.random(len(usable))
	second := selection.random(len(usable) - 1)
	if second >= first {
		second++
	}
	if selection.lessWork(usable[second], usable[first]) {
		first = second
	}
	return usable[first], true
}

// lessWork reports whether a has fewer requests in flight than b, or as many of which this
// router's are to generate less.
func (selection *selection) lessWork(a, b candidate) bool {
	if a.load.Requests != b.load.Requests {
		return a.load.Requests < b.load.Requests
	}
	loads, upstreams := selection.chooser.Loads, selection.pool.Upstreams
	return loads.Generation(upstreams[a.index].ID) < loads.Generation(upstreams[b.index].ID)
}

// gainOver returns by how much sooner than the expected time an answer has to be expected
// to make a difference.
func gainOver(expected time.Duration) time.Duration {
	return max(minGain, time.Duration(minRelativeGain*float64(expected)))
}

// soonerRanked reports whether a, which comes after b in the rendezvous order, is expected
// to answer so much sooner that it is preferred.
func (selection *selection) soonerRanked(a, b candidate) bool {
	if !selection.predicts {
		return a.load.prefillTime() < b.load.prefillTime()
	}
	return b.expected-a.expected > gainOver(b.expected)
}
