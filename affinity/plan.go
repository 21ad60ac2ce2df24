package affinity

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// MaxTries is the maximum number of upstreams in one plan.
const MaxTries = 5

// Target is one upstream to offer a request to.
type Target struct {
	// Index is the upstream's index in the pool.
	Index int
	// Last says that the plan has no further upstream, so that the request may
	// be queued at this one.
	Last bool
}

// Plan is the order in which one request tries the upstreams of a pool. The
// best ranked one is first. After a refusal follows the upstream that the
// refusing sidecar named as less loaded; if it named none, the less loaded of
// the next two by rank. Pool.Plan creates a Plan. It is not safe for concurrent
// use.
type Plan struct {
	pool   *Pool
	order  [MaxTries]int
	length int
	tried  int
	// preferred says that the next upstream was named by a sidecar, so that the
	// reported loads do not change it.
	preferred bool
}

// Plan returns the plan for chat, which was last served by hint.
func (pool *Pool) Plan(chat ident.ChatID, hint ident.UpstreamID) Plan {
	plan := Plan{pool: pool}
	plan.length = len(pool.Rank(chat, hint, plan.order[:]))
	return plan
}

// Next returns the next upstream to try, and false if none remains. Loads,
// which may be nil, decides after the first try between the next two upstreams
// by rank and excludes leaving ones.
func (plan *Plan) Next(now time.Time, loads *Loads) (Target, bool) {
	plan.dropLeaving(now, loads)
	if plan.tried == plan.length {
		return Target{}, false
	}
	if plan.tried > 0 && plan.tried+1 < plan.length && !plan.preferred {
		plan.preferLessLoaded(now, loads)
	}
	target := Target{Index: plan.order[plan.tried], Last: plan.tried+1 == plan.length}
	plan.tried++
	plan.preferred = false
	return target, true
}

// RecordRefusal records that the last try was refused with code. If the refusing
// sidecar named a less loaded upstream, that one is tried next, provided that
// it is in the pool and was not tried. After PriorityHeld, which applies to the
// whole pool, the next try is the last one, so that the request may be queued
// there.
func (plan *Plan) RecordRefusal(code result.Code, lessLoaded ident.UpstreamID) {
	plan.moveToNext(lessLoaded)
	if code == result.PriorityHeld {
		plan.length = min(plan.length, plan.tried+1)
	}
}

// moveToNext makes upstream the next one to try. If it is not in the plan, it
// replaces the last one.
func (plan *Plan) moveToNext(upstream ident.UpstreamID) {
	i, found := plan.pool.index[upstream]
	if !found || plan.tried == plan.length {
		return
	}
	position := slices.Index(plan.order[:plan.length], i)
	if position >= 0 && position < plan.tried {
		return
	}
	if position < 0 {
		position = plan.length - 1
	}
	copy(plan.order[plan.tried+1:position+1], plan.order[plan.tried:position])
	plan.order[plan.tried] = i
	plan.preferred = true
}

// Len returns the number of upstreams in the plan, including those already
// tried.
func (plan *Plan) Len() int { return plan.length }

// preferLessLoaded swaps the next two upstreams if the second one is known to
// be less loaded.
func (plan *Plan) preferLessLoaded(now time.Time, loads *Loads) {
	first, second := &plan.order[plan.tried], &plan.order[plan.tried+1]
	firstLoad, firstKnown := loads.load(now, plan.pool.candidates[*first].Upstream)
	secondLoad, secondKnown := loads.load(now, plan.pool.candidates[*second].Upstream)
	if firstKnown && secondKnown && secondLoad < firstLoad {
		*first, *second = *second, *first
	}
}

// dropLeaving removes the leaving upstreams that were not tried yet.
func (plan *Plan) dropLeaving(now time.Time, loads *Loads) {
	kept := plan.tried
	for i := plan.tried; i < plan.length; i++ {
		if loads.leaving(now, plan.pool.candidates[plan.order[i]].Upstream) {
			continue
		}
		plan.order[kept] = plan.order[i]
		kept++
	}
	plan.length = kept
}
