package balance

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// Candidate describes an upstream that a choice was made among.
type Candidate struct {
	Upstream ident.UpstreamID
	Load     Load
	// Cached is set if the upstream has the longest prefix of the request cached, Healthy
	// if it is neither ejected nor on probation for the request, and Excluded if it is at
	// its limit.
	Cached   bool
	Healthy  bool
	Excluded bool
	// AtBound is set if it has too many requests in flight for one whose prefix it has
	// cached, or else for one whose prefix it hasn't.
	AtBound bool
	// Expected is the predicted time to the first event, or zero if none is predicted.
	Expected time.Duration
}

// Inspect makes the choice that Choose would make, and returns it with all upstreams that it
// was made among.
func (chooser *Chooser) Inspect(now time.Time, pool *registry.Pool, request Request) (Choice, []Candidate, bool) {
	if pool == nil {
		return Choice{}, nil, false
	}
	selection, prefixCached := chooser.newSelection(now, pool, request)
	choice, found := selection.choose(prefixCached)
	candidates := make([]Candidate, 0, len(selection.candidates))
	for _, candidate := range selection.candidates {
		bound := selection.mean + uncachedSlack
		if candidate.cached {
			bound = chooser.Multiple*selection.mean + chooser.Slack
		}
		prefill := request.Prompt
		if prefixCached {
			prefill = request.Own
		}
		selection.predict(&candidate, prefill)
		candidates = append(candidates, Candidate{
			Upstream: pool.Upstreams[candidate.index].ID,
			Load:     candidate.load,
			Cached:   candidate.cached,
			Healthy:  candidate.health == healthy,
			Excluded: candidate.excluded,
			AtBound:  float64(candidate.load.Requests) >= bound,
			Expected: candidate.expected,
		})
	}
	return choice, candidates, found
}
