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
	// CacheHit has the shared prompt cached.
	CacheHit Reason = "holder"
	// Rendezvous comes early in the rendezvous order of a prompt that no usable
	// upstream has cached.
	Rendezvous Reason = "home"
	// Spillover takes a prompt whose holders are at the bound or not healthy.
	Spillover Reason = "spill"
	// LeastLoaded is the least loaded one.
	LeastLoaded Reason = "least-loaded"
	// LastResort is one that is set aside, because no other one is left.
	LastResort Reason = "distrusted"
)

// Request is what the choice depends on.
type Request struct {
	// Keys are the shared parts of the prompt, the deepest first; empty for a
	// request without any. A part is of use only behind those that follow here.
	Keys []ident.ChatID
	// Tried are the upstreams that the request was offered to before.
	Tried []ident.UpstreamID
	Zone  ident.Zone
	// Target is the time to the first byte that the request is worth most in.
	Target ident.Milliseconds
	// Retryable says that the request may run more than once.
	Retryable bool
}

// Choice is a chosen upstream, with the figures that decided.
type Choice struct {
	Upstream registry.Upstream
	Reason   Reason
	Load     Load
	Mean     float64
	// Source has more of the shared prompt cached than the chosen one; empty
	// where none has.
	Source ident.UpstreamID
}

// Chooser chooses upstreams. Its fields are set before use.
type Chooser struct {
	Loads      *Loads
	CacheIndex *CacheIndex
	// Ejected reports whether an upstream is set aside.
	Ejected func(now time.Time, upstream ident.UpstreamID) bool
	// OnProbation reports whether an upstream is tried with requests alone that
	// may be repeated; nil holds none back.
	OnProbation func(now time.Time, upstream ident.UpstreamID) bool
	// Multiple and Slack bound the load of an upstream that takes another
	// request: Multiple times the mean of its pool, and Slack.
	Multiple float64
	Slack    float64
}

// spillSlack is how far above the mean of its pool an upstream may be loaded
// that takes a prompt which it has not cached.
const spillSlack = 1

const (
	// readPerMs is how many prompt tokens an upstream is taken to read in a
	// millisecond.
	readPerMs = 45
	// waitShare is the part of its target that a request may wait behind the
	// unread prompts of a holder before another upstream is looked for, and
	// gainShare the part that it has to gain there.
	waitShare = 0.3
	gainShare = 0.2
)

// wait returns how long the prompts that are unread at an upstream take.
func (load Load) wait() ident.Milliseconds {
	return ident.Milliseconds(load.PendingPrefill / readPerMs)
}

// standing says how far an upstream is trusted with a request.
type standing int

const (
	trusted standing = iota
	heldBack
	aside
)

// candidate is an upstream with its load.
type candidate struct {
	index    int
	load     Load
	standing standing
	tried    bool
	holds    bool
}

// usable reports whether the upstream may take a request below bound.
func (c candidate) usable(bound float64) bool {
	return !c.tried && c.standing == trusted && float64(c.load.Requests) < bound
}

// choice is one choice in the making.
type choice struct {
	chooser    *Chooser
	pool       *registry.Pool
	request    Request
	candidates []candidate
	mean       float64
}

// Choose returns an upstream of pool for request, and false if none is left.
func (chooser *Chooser) Choose(now time.Time, pool *registry.Pool, request Request) (Choice, bool) {
	if pool == nil {
		return Choice{}, false
	}
	var holders []ident.UpstreamID
	if len(request.Keys) > 0 {
		holders = chooser.CacheIndex.Upstreams(now, request.Keys[0])
	}
	making := &choice{chooser: chooser, pool: pool, request: request, candidates: make([]candidate, len(pool.Upstreams))}
	total := 0
	for i, upstream := range pool.Upstreams {
		making.candidates[i] = candidate{
			index:    i,
			load:     chooser.Loads.Estimate(now, upstream.ID),
			standing: chooser.standing(now, upstream.ID, request.Retryable),
			tried:    slices.Contains(request.Tried, upstream.ID),
			holds:    slices.Contains(holders, upstream.ID),
		}
		total += making.candidates[i].load.Requests
	}
	making.mean = float64(total) / float64(max(len(pool.Upstreams), 1))
	chosen, reason, found := making.pick(len(holders) > 0)
	if !found {
		return Choice{}, false
	}
	made := Choice{Upstream: pool.Upstreams[chosen.index], Reason: reason, Load: chosen.load, Mean: making.mean}
	if !chosen.holds {
		made.Source = chooser.source(now, request.Keys, made.Upstream.ID)
	}
	return made, true
}

func (chooser *Chooser) standing(now time.Time, upstream ident.UpstreamID, repeatable bool) standing {
	switch {
	case chooser.Ejected(now, upstream):
		return aside
	case !repeatable && chooser.OnProbation != nil && chooser.OnProbation(now, upstream):
		return heldBack
	}
	return trusted
}

// source returns an upstream that has more of the prompt cached than chosen.
func (chooser *Chooser) source(now time.Time, keys []ident.ChatID, chosen ident.UpstreamID) ident.UpstreamID {
	for _, key := range keys {
		holders := chooser.CacheIndex.Upstreams(now, key)
		if slices.Contains(holders, chosen) {
			return ""
		}
		if len(holders) > 0 {
			return holders[len(holders)-1]
		}
	}
	return ""
}

func (making *choice) pick(held bool) (candidate, Reason, bool) {
	if len(making.request.Keys) > 0 {
		holder, holds := making.leastHolder()
		other, found := making.byRank()
		if holds && !(found && making.worthMoving(holder, other)) {
			return holder, CacheHit, true
		}
		if found && held {
			return other, Spillover, true
		}
		if found {
			return other, Rendezvous, true
		}
	}
	if chosen, found := making.leastLoaded(trusted); found {
		return chosen, LeastLoaded, true
	}
	if chosen, found := making.leastLoaded(heldBack); found {
		return chosen, LastResort, true
	}
	chosen, found := making.leastLoaded(aside)
	return chosen, LastResort, found
}

// leastHolder returns the least loaded upstream below the bound that has the
// prompt cached.
func (making *choice) leastHolder() (candidate, bool) {
	bound := making.chooser.Multiple*making.mean + making.chooser.Slack
	var best candidate
	found := false
	for _, rival := range making.candidates {
		if !rival.holds || !rival.usable(bound) {
			continue
		}
		if !found || quicker(rival.load, best.load) {
			best = rival
			found = true
		}
	}
	return best, found
}

// quicker reports whether an upstream with load a answers sooner than one with
// load b.
func quicker(a, b Load) bool {
	if a.wait() != b.wait() {
		return a.wait() < b.wait()
	}
	return a.Requests < b.Requests
}

// worthMoving reports whether a request had better wait for its prompt to be
// fetched by other than behind the unread prompts of holder.
func (making *choice) worthMoving(holder, other candidate) bool {
	target := float64(making.request.Target)
	wait := float64(holder.load.wait())
	return target > 0 && wait > waitShare*target && wait-float64(other.load.wait()) > gainShare*target
}

// byRank returns the upstream with the fewest unread prompts among the first of
// the rendezvous order that are about as loaded as the others or less. All
// routers with the same view agree on it.
func (making *choice) byRank() (candidate, bool) {
	var order [rankedUpstreams]int
	var best candidate
	found := false
	for _, index := range making.pool.Ranking.Rank(making.request.Keys[0], "", order[:]) {
		ranked := making.candidates[index]
		if !ranked.usable(making.mean + spillSlack) {
			continue
		}
		if !found || ranked.load.wait() < best.load.wait() {
			best = ranked
			found = true
		}
	}
	return best, found
}

// leastLoaded returns the least loaded upstream of a standing that was not
// tried, one of the caller's zone first among equals.
func (making *choice) leastLoaded(wanted standing) (candidate, bool) {
	var best candidate
	equals := 0
	for _, rival := range making.candidates {
		if rival.tried || rival.standing != wanted {
			continue
		}
		switch {
		case equals == 0 || making.before(rival, best):
			best = rival
			equals = 1
		case making.before(best, rival):
		default:
			equals++
			if rand.IntN(equals) == 0 {
				best = rival
			}
		}
	}
	return best, equals > 0
}

func (making *choice) before(a, b candidate) bool {
	if a.load.Requests != b.load.Requests {
		return a.load.Requests < b.load.Requests
	}
	aNear := making.pool.Upstreams[a.index].Zone == making.request.Zone
	bNear := making.pool.Upstreams[b.index].Zone == making.request.Zone
	return aNear && !bNear
}
