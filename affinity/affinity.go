package affinity

import "github.com/hickoryhead/hickoryhead/ident"

// Candidate is one upstream of a pool. A weight of zero counts as one.
type Candidate struct {
	Upstream ident.UpstreamID
	Weight   float64
}

// Pool is an immutable set of candidates, prepared for ranking.
type Pool struct {
	candidates []Candidate
	index      map[ident.UpstreamID]int
}

// NewPool returns the pool of candidates.
func NewPool(candidates []Candidate) *Pool {
	pool := &Pool{candidates: candidates, index: make(map[ident.UpstreamID]int, len(candidates))}
	for i, candidate := range candidates {
		pool.index[candidate.Upstream] = i
	}
	return pool
}

// Len returns the number of candidates.
func (pool *Pool) Len() int { return len(pool.candidates) }

// At returns the candidate at index i.
func (pool *Pool) At(i int) Candidate { return pool.candidates[i] }

// Rank writes the indexes of the best candidates for chat into order, best
// first, and returns the part of order that it filled: at most len(order).
// The upstream hint, where the chat was served last, comes first if it is in
// the pool; the weighted rendezvous order follows.
func (pool *Pool) Rank(chat ident.ChatID, hint ident.UpstreamID, order []int) []int {
	filled := 0
	first, found := pool.index[hint]
	if found && filled < len(order) {
		order[filled] = first
		filled++
	}
	for i := 0; i < len(pool.candidates) && filled < len(order); i++ {
		if found && i == first {
			continue
		}
		order[filled] = i
		filled++
	}
	return order[:filled]
}
