package affinity

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Candidate is one upstream of a pool. A weight that is not a positive finite
// number counts as one.
type Candidate struct {
	Upstream ident.UpstreamID
	Weight   float64
}

// Pool is an immutable set of candidates, prepared for ranking. It is safe for
// concurrent use.
type Pool struct {
	candidates []Candidate
	index      map[ident.UpstreamID]int
	// hashes and weights hold the hash of the upstream ID and the weight of
	// each candidate, in the order of candidates.
	hashes  []uint64
	weights []float64
	// weighted says that the weights are not all equal, so that ranking has to
	// consider them.
	weighted bool
}

// NewPool returns the pool of candidates. It does not retain the slice. Of
// candidates with the same upstream ID only the first one counts.
func NewPool(candidates []Candidate) *Pool {
	pool := &Pool{index: make(map[ident.UpstreamID]int, len(candidates))}
	for _, candidate := range candidates {
		pool.add(candidate)
	}
	return pool
}

func (pool *Pool) add(candidate Candidate) {
	if _, found := pool.index[candidate.Upstream]; found {
		return
	}
	if !(candidate.Weight > 0) || math.IsInf(candidate.Weight, 1) {
		candidate.Weight = 1
	}
	pool.index[candidate.Upstream] = len(pool.candidates)
	pool.candidates = append(pool.candidates, candidate)
	pool.hashes = append(pool.hashes, xxhash.Sum64String(string(candidate.Upstream)))
	pool.weights = append(pool.weights, candidate.Weight)
	pool.weighted = pool.weighted || candidate.Weight != pool.candidates[0].Weight
}

// Len returns the number of candidates.
func (pool *Pool) Len() int { return len(pool.candidates) }

// At returns the candidate at index i, with its weight normalized.
func (pool *Pool) At(i int) Candidate { return pool.candidates[i] }

// Index returns the index of upstream and whether it is in the pool.
func (pool *Pool) Index(upstream ident.UpstreamID) (int, bool) {
	i, found := pool.index[upstream]
	return i, found
}

// Rank writes the indexes of the best candidates for chat into order, best
// first, and returns the part of order that it filled. The upstream hint, which
// served the chat last, comes first if it is in the pool; the weighted
// rendezvous order follows.
func (pool *Pool) Rank(chat ident.ChatID, hint ident.UpstreamID, order []int) []int {
	if len(order) == 0 {
		return order
	}
	hash := xxhash.Sum64String(string(chat))
	hinted, found := pool.index[hint]
	if !found {
		return order[:pool.rankRendezvous(hash, -1, order)]
	}
	order[0] = hinted
	return order[:1+pool.rankRendezvous(hash, hinted, order[1:])]
}

// rankRendezvous writes the indexes of the best candidates for the chat's hash
// into order, best first, without the candidate at index except. It returns how
// many it wrote.
func (pool *Pool) rankRendezvous(hash uint64, except int, order []int) int {
	if len(order) == 0 {
		return 0
	}
	filled, last := 0, 0.0
	for i, upstreamHash := range pool.hashes {
		draw := uniform(mix(hash ^ upstreamHash))
		if i == except || filled == len(order) && pool.certainlyBelow(i, draw, last) {
			continue
		}
		score := pool.score(i, draw)
		if filled < len(order) {
			filled++
		} else if !pool.ranksBefore(score, i, last, order[filled-1]) {
			continue
		}
		pool.insertRanked(hash, score, i, order[:filled])
		last = pool.scoreAt(hash, order[filled-1])
	}
	return filled
}

// insertRanked inserts candidate i into order, which is sorted except for its
// last element, and overwrites that element.
func (pool *Pool) insertRanked(hash uint64, score float64, i int, order []int) {
	index := len(order) - 1
	for index > 0 && pool.ranksBefore(score, i, pool.scoreAt(hash, order[index-1]), order[index-1]) {
		order[index] = order[index-1]
		index--
	}
	order[index] = i
}

// scoreAt returns the score of candidate i for the chat's hash.
func (pool *Pool) scoreAt(hash uint64, i int) float64 {
	return pool.score(i, uniform(mix(hash^pool.hashes[i])))
}

// score returns the rendezvous score of candidate i; a higher score is better.
// With a uniform draw u in (0, 1), weight/-ln(u) is the highest with a
// probability in proportion to the weight; with equal weights u itself gives
// the same order without a logarithm.
func (pool *Pool) score(i int, draw float64) float64 {
	if !pool.weighted {
		return draw
	}
	return pool.weights[i] / -math.Log(draw)
}

// scoreTolerance is a bound on the relative rounding error of a score.
const scoreTolerance = 1e-9

// certainlyBelow reports whether the score of candidate i is certainly below
// last. It needs no logarithm, since weight/(1-u) is never below weight/-ln(u).
func (pool *Pool) certainlyBelow(i int, draw, last float64) bool {
	if !pool.weighted {
		return draw < last
	}
	return pool.weights[i]*(1+scoreTolerance) < last*(1-draw)
}

// ranksBefore reports whether candidate i ranks before candidate j, which has
// the score other. Equal scores are ordered by upstream ID, so that the rank
// does not depend on the order of the candidate list.
func (pool *Pool) ranksBefore(score float64, i int, other float64, j int) bool {
	if score != other {
		return score > other
	}
	return pool.candidates[i].Upstream < pool.candidates[j].Upstream
}

// uniform maps hash to the open interval (0, 1).
func uniform(hash uint64) float64 {
	const mantissaBits = 53
	return (float64(int64(hash>>(64-mantissaBits))) + 0.5) / (1 << mantissaBits)
}

// mix is the finalizer of SplitMix64. Flipping one bit of the input flips each
// bit of the output with a probability of about one half.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
