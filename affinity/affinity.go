package affinity

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Candidate is one upstream of a pool. A weight of zero counts as one.
type Candidate struct {
	Upstream ident.UpstreamID
	Weight   float64
}

// Pool is an immutable set of candidates, prepared for ranking. It is safe for
// concurrent use.
type Pool struct {
	candidates []Candidate
	index      map[ident.UpstreamID]int
	// seeds holds the hash of each candidate's name, and weights its weight.
	seeds   []uint64
	weights []float64
	// weighted says that the weights differ, so that ranking needs them.
	weighted bool
}

// NewPool returns the pool of candidates. It does not keep the slice. A name
// that is given twice counts once, with its first weight.
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
	pool.seeds = append(pool.seeds, xxhash.Sum64String(string(candidate.Upstream)))
	pool.weights = append(pool.weights, candidate.Weight)
	pool.weighted = pool.weighted || candidate.Weight != pool.candidates[0].Weight
}

// Len returns the number of candidates.
func (pool *Pool) Len() int { return len(pool.candidates) }

// At returns the candidate at index i.
func (pool *Pool) At(i int) Candidate { return pool.candidates[i] }

// Index returns the index of upstream and whether it is in the pool.
func (pool *Pool) Index(upstream ident.UpstreamID) (int, bool) {
	i, found := pool.index[upstream]
	return i, found
}

// Rank writes the indexes of the best candidates for chat into order, best
// first, and returns the part of order that it filled: at most len(order).
// The upstream hint, where the chat was served last, comes first if it is in
// the pool; the weighted rendezvous order follows.
func (pool *Pool) Rank(chat ident.ChatID, hint ident.UpstreamID, order []int) []int {
	if len(order) == 0 {
		return order
	}
	hash := xxhash.Sum64String(string(chat))
	hinted, found := pool.index[hint]
	if !found {
		return order[:pool.rendezvous(hash, -1, order)]
	}
	order[0] = hinted
	return order[:1+pool.rendezvous(hash, hinted, order[1:])]
}

// rendezvous fills order with the best candidates for hash but for the one at
// index except, and returns how many it filled.
func (pool *Pool) rendezvous(hash uint64, except int, order []int) int {
	if len(order) == 0 {
		return 0
	}
	filled, last := 0, 0.0
	for i, seed := range pool.seeds {
		draw := uniform(mix(hash ^ seed))
		if i == except || filled == len(order) && pool.below(i, draw, last) {
			continue
		}
		score := pool.score(i, draw)
		if filled < len(order) {
			filled++
		} else if !pool.before(score, i, last, order[filled-1]) {
			continue
		}
		pool.insert(hash, score, i, order[:filled])
		last = pool.scoreAt(hash, order[filled-1])
	}
	return filled
}

// insert places candidate i into order, which is sorted but for its last
// place, and drops what stood there.
func (pool *Pool) insert(hash uint64, score float64, i int, order []int) {
	place := len(order) - 1
	for place > 0 && pool.before(score, i, pool.scoreAt(hash, order[place-1]), order[place-1]) {
		order[place] = order[place-1]
		place--
	}
	order[place] = i
}

// scoreAt returns the score of candidate i for hash.
func (pool *Pool) scoreAt(hash uint64, i int) float64 {
	return pool.score(i, uniform(mix(hash^pool.seeds[i])))
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

// slack covers the rounding of a score, as a part of it.
const slack = 1e-9

// below reports, without a logarithm, that the score of candidate i is surely
// below last: weight/(1-u) is never under weight/-ln(u).
func (pool *Pool) below(i int, draw, last float64) bool {
	if !pool.weighted {
		return draw < last
	}
	return pool.weights[i]*(1+slack) < last*(1-draw)
}

// before reports whether candidate i comes before candidate j. Equal scores
// are ordered by name, so that the order of the candidate list has no say.
func (pool *Pool) before(score float64, i int, other float64, j int) bool {
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

// mix is the finalizer of SplitMix64: each bit of the input changes half of the
// bits of the output.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
