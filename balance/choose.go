package balance

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// maxRankedCandidates is how many upstreams of the rendezvous order are
// considered before the least loaded one of the pool is taken.
const maxRankedCandidates = 8

// spareLoadDivisor is how many times as many requests as an upstream below its limit
// another one has in flight before the limited one gets a prompt that it hasn't cached.
const spareLoadDivisor = 3

// maxSkippedCandidates is how many more are considered to make up for those that are
// at their limits, so that a prompt has the same upstreams as long as these are.
const maxSkippedCandidates = 64

// Reason says why an upstream was chosen.
type Reason string

// The reasons of a choice.
const (
	// CacheHit means that the upstream has the shared prompt prefix cached.
	CacheHit Reason = "holder"
	// Rendezvous means that the upstream comes early in the rendezvous order of a
	// prefix that no upstream is known to have cached.
	Rendezvous Reason = "home"
	// Spillover means that the upstreams that have the prefix cached are at the
	// load bound, too busy with prefill, unhealthy or tried already, and that the
	// chosen one comes early in the rendezvous order.
	Spillover Reason = "spill"
	// LeastLoaded means that the upstream has the fewest requests in flight.
	LeastLoaded Reason = "least-loaded"
	// LastResort means that no healthy upstream remains: the chosen one is on
	// probation or ejected.
	LastResort Reason = "distrusted"
	// Designated means that upstreams crashed while they ran the request, which
	// may now run on this one only.
	Designated Reason = "designated"
)

// Request describes the request that an upstream is chosen for.
type Request struct {
	// Keys identify the shared prefixes of the prompt, longest first. It is empty
	// for a request without any. A prefix can be reused only together with the
	// shorter ones that follow it in the list.
	Keys []ident.ChatID
	// Tried lists the upstreams that the request was offered to before.
	Tried []ident.UpstreamID
	// Full, unless it is nil, says for each upstream of the pool whether it has no room for
	// the request. These are left out.
	Full []bool
	Zone ident.Zone
	// Target is the time to first byte that the route aims at; zero means none.
	Target ident.Milliseconds
	// Retryable is set if the request may run more than once.
	Retryable bool
	// MayFetch, unless nil, reports whether the chosen upstream may fetch a cached prefix
	// from another one.
	MayFetch func(upstream ident.UpstreamID) bool
	// Own is the length of the request's own part of the prompt, and Prompt that of the
	// whole prompt.
	Own    ident.Tokens
	Prompt ident.Tokens
}

// full reports whether the upstream at an index of the pool has no room for the request.
func (request *Request) full(index int) bool { return index < len(request.Full) && request.Full[index] }

// Choice is the chosen upstream with the figures behind the decision.
type Choice struct {
	Upstream registry.Upstream
	Reason   Reason
	// Load is the load of the chosen upstream, and Mean the mean number of
	// requests in flight at the upstreams of the pool that name no limit.
	Load Load
	Mean float64
	// Local is the part of the pending prefill that is of this router's requests, and
	// Expected the predicted time to the first event. They are zero without FirstEvent,
	// and Expected also where it predicts nothing.
	Local    ident.Tokens
	Expected time.Duration
	// Source is an upstream that has a longer prefix of the prompt cached than the
	// chosen one. It is empty if there is none.
	Source ident.UpstreamID
}

// LimitState is how an upstream stands to the limit of requests that it names.
type LimitState int

// The states, from free to excluded.
const (
	// Unlimited means that the upstream names no limit.
	Unlimited LimitState = iota
	// BelowLimit means that the limit leaves this router a request now, which is
	// lost to the fleet if it is not used.
	BelowLimit
	// AtLimit means that it leaves none.
	AtLimit
	// BelowColdRate and AtColdRate mean the same of the rate of a cold upstream. It counts
	// in the mean of its pool, since it takes its part of the load within seconds.
	BelowColdRate
	AtColdRate
)

// leavesNone reports whether the upstream takes no request now.
func (state LimitState) leavesNone() bool { return state == AtLimit || state == AtColdRate }

// leavesSome reports whether the upstream takes a request now, but has a limit or is cold.
func (state LimitState) leavesSome() bool { return state == BelowLimit || state == BelowColdRate }

// Chooser chooses upstreams. Its fields must be set before use.
type Chooser struct {
	Loads      *Loads
	CacheIndex *CacheIndex
	// Ejected reports whether an upstream is ejected.
	Ejected func(now time.Time, upstream ident.UpstreamID) bool
	// OnProbation reports whether an upstream should get retryable requests only.
	// If it is nil, no upstream is on probation.
	OnProbation func(now time.Time, upstream ident.UpstreamID) bool
	// Limit returns how an upstream stands to the limit that it names, or to its rate while
	// it is cold. If it is nil, no upstream names one and none is cold.
	Limit func(now time.Time, upstream registry.Upstream) LimitState
	// FirstEvent returns the predicted time to the first event of a request that finds
	// the given work at an upstream, and false if too little is known of its service. An
	// upstream without an ID stands for the mean of its service. If it is nil, or returns
	// false, the wait is that for the pending prefill at an assumed rate.
	FirstEvent func(now time.Time, upstream registry.Upstream, work Work) (time.Duration, bool)
	// Random returns a random number from 0 to n-1; with nil it is that of math/rand.
	Random func(n int) int
	// An upstream that has the prefix cached takes another request while it has
	// fewer than Multiple times the mean of its pool plus Slack in flight.
	Multiple float64
	Slack    float64
}

// uncachedSlack is how many requests above the mean of its pool an upstream may
// have in flight and still take a prompt whose prefix it has not cached.
const uncachedSlack = 1

const (
	// PrefillTokensPerMs is the assumed prefill rate of an upstream, in prompt
	// tokens per millisecond.
	PrefillTokensPerMs = 45
	// maxWaitShare is the share of its target that a request may wait for pending
	// prefill at an upstream that has its prefix cached, before another upstream
	// is considered. minGainShare is the share of the target by which the wait
	// there has to be shorter.
	maxWaitShare = 0.3
	minGainShare = 0.2
)

// prefillTime returns the time that the pending prefill of an upstream takes.
func (load Load) prefillTime() ident.Milliseconds {
	return ident.Milliseconds(load.PendingPrefill / PrefillTokensPerMs)
}

// Exclusion is why an upstream of the pool gets no request, whatever its load and health.
type Exclusion string

// The reasons of an exclusion.
const (
	// Tried means that the request was offered to the upstream before.
	Tried Exclusion = "tried"
	// LimitReached means that its limit, or its rate while it is cold, leaves this router no
	// request now.
	LimitReached Exclusion = "at its limit"
	// NoRoom means that admission control found no room for the request there.
	NoRoom Exclusion = "no room"
)

// exclusionOf returns why the upstream at an index of the pool gets no request, or an empty
// string if it may.
func exclusionOf(request Request, index int, upstream ident.UpstreamID, limit LimitState) Exclusion {
	switch {
	case slices.Contains(request.Tried, upstream):
		return Tried
	case limit.leavesNone():
		return LimitReached
	case request.full(index):
		return NoRoom
	}
	return ""
}

// healthState is the health of an upstream with regard to one request.
type healthState int

const (
	healthy healthState = iota
	// probation means that the upstream is on probation and that the request is
	// not retryable.
	probation
	ejected
)

// String returns the health as it is printed.
func (health healthState) String() string {
	switch health {
	case probation:
		return "on probation"
	case ejected:
		return "ejected"
	}
	return "healthy"
}

// Choose returns an upstream of pool for request, and false if there is none
// that was not tried yet and is below its limit.
func (chooser *Chooser) Choose(now time.Time, pool *registry.Pool, request Request) (Choice, bool) {
	if pool == nil {
		return Choice{}, false
	}
	selection, prefixCached := chooser.newSelection(now, pool, request)
	return selection.choose(prefixCached)
}

// newSelection returns the state of a call of Choose, and whether any upstream is known to
// have the longest prefix of the request cached.
func (chooser *Chooser) newSelection(now time.Time, pool *registry.Pool, request Request) (*selection, bool) {
	var cachedAt []ident.UpstreamID
	if len(request.Keys) > 0 {
		cachedAt = chooser.CacheIndex.Upstreams(now, request.Keys[0])
	}
	selection := &selection{chooser: chooser, pool: pool, request: request, candidates: make([]candidate, len(pool.Upstreams)), now: now}
	total, counted := 0, 0
	for i, upstream := range pool.Upstreams {
		limit := chooser.limitOf(now, upstream)
		selection.candidates[i] = candidate{
			index:     i,
			load:      chooser.Loads.Estimate(now, upstream.ID),
			health:    chooser.healthOf(now, upstream.ID, request.Retryable),
			exclusion: exclusionOf(request, i, upstream.ID, limit),
			limit:     limit,
			cached:    slices.Contains(cachedAt, upstream.ID),
		}
		if limit != Unlimited {
			selection.limited++
		}
		if limit == BelowLimit || limit == AtLimit {
			continue
		}
		total += selection.candidates[i].load.Requests
		counted++
	}
	selection.mean = float64(total) / float64(max(counted, 1))
	for _, upstream := range pool.Withheld {
		total += chooser.Loads.Estimate(now, upstream.ID).Requests
		counted++
	}
	selection.bound = chooser.Multiple*float64(total)/float64(max(counted, 1)) + chooser.Slack
	selection.startPredicting()
	return selection, len(cachedAt) > 0
}

// choose does the work of Choose.
func (selection *selection) choose(prefixCached bool) (Choice, bool) {
	chooser, pool := selection.chooser, selection.pool
	chosen, reason, found := selection.pick(prefixCached)
	if !found {
		return Choice{}, false
	}
	if spare, better := selection.spare(chosen); better {
		chosen, reason = spare, Spillover
	}
	choice := Choice{Upstream: pool.Upstreams[chosen.index], Reason: reason, Load: chosen.load, Mean: selection.mean, Expected: chosen.expected}
	if chooser.FirstEvent != nil {
		choice.Local = min(chooser.Loads.LocalPrefill(choice.Upstream.ID), choice.Load.PendingPrefill)
	}
	if !chosen.cached {
		choice.Source = chooser.source(selection.now, selection.request, choice.Upstream.ID)
	}
	return choice, true
}

// Eligible reports whether the upstream is healthy with regard to the request and below its
// limit.
func (chooser *Chooser) Eligible(now time.Time, upstream registry.Upstream, retryable bool) bool {
	return chooser.healthOf(now, upstream.ID, retryable) == healthy && !chooser.limitOf(now, upstream).leavesNone()
}

func (chooser *Chooser) limitOf(now time.Time, upstream registry.Upstream) LimitState {
	if chooser.Limit == nil {
		return Unlimited
	}
	return chooser.Limit(now, upstream)
}

func (chooser *Chooser) healthOf(now time.Time, upstream ident.UpstreamID, retryable bool) healthState {
	switch {
	case chooser.Ejected(now, upstream):
		return ejected
	case !retryable && chooser.OnProbation != nil && chooser.OnProbation(now, upstream):
		return probation
	}
	return healthy
}

// source returns an upstream that has a longer prefix of the prompt cached than
// chosen and may be asked for it, or an empty ID. It prefers one that is not ejected.
func (chooser *Chooser) source(now time.Time, request Request, chosen ident.UpstreamID) ident.UpstreamID {
	for _, key := range request.Keys {
		cachedAt := chooser.CacheIndex.Upstreams(now, key)
		if slices.Contains(cachedAt, chosen) {
			return ""
		}
		if request.MayFetch != nil {
			cachedAt = slices.DeleteFunc(cachedAt, func(upstream ident.UpstreamID) bool { return !request.MayFetch(upstream) })
		}
		for _, upstream := range slices.Backward(cachedAt) {
			if !chooser.Ejected(now, upstream) {
				return upstream
			}
		}
		if len(cachedAt) > 0 {
			return cachedAt[len(cachedAt)-1]
		}
	}
	return ""
}
