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
	// Cached is set if the upstream has the longest prefix of the request cached, and
	// Healthy if it is neither ejected nor on probation for the request. Health says which.
	Cached  bool
	Healthy bool
	Health  string
	// Exclusion is why it gets no request, or empty if it may.
	Exclusion Exclusion
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
		prefill := request.Prompt
		if prefixCached {
			prefill = request.Own
		}
		selection.predict(&candidate, prefill)
		candidates = append(candidates, Candidate{
			Upstream:  pool.Upstreams[candidate.index].ID,
			Load:      candidate.load,
			Cached:    candidate.cached,
			Healthy:   candidate.health == healthy,
			Health:    candidate.health.String(),
			Exclusion: candidate.exclusion,
			AtBound:   !candidate.below(selection.boundOf(candidate.cached)),
			Expected:  candidate.expected,
		})
	}
	return choice, candidates, found
}
