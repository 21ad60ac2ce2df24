package affinity

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// MaxTries is the most upstreams that one plan holds.
const MaxTries = 5

// Target is one upstream to offer a request to.
type Target struct {
	// Index is the upstream's index in the pool.
	Index int
	// Last says that no further try follows, so that the request may wait
	// there.
	Last bool
}

// Plan is the order in which one request tries the upstreams of a pool: the
// best ranked first; after a refusal the upstream that the refusing sidecar
// named as less loaded, or else the less loaded of the next two by rank. It is
// made by Pool.Plan.
type Plan struct {
	pool   *Pool
	order  [MaxTries]int
	length int
	tried  int
	// preferred says that the next try was named by a sidecar.
	preferred bool
}

// Plan returns the order of tries for chat, which was last served by hint.
func (pool *Pool) Plan(chat ident.ChatID, hint ident.UpstreamID) Plan {
	plan := Plan{pool: pool}
	plan.length = len(pool.Rank(chat, hint, plan.order[:]))
	return plan
}

// Next returns the next upstream to try, and false when none is left. What
// loads remembers only chooses between two upstreams that are as good by rank,
// and leaves out those that said that they leave; it may be nil.
func (plan *Plan) Next(now time.Time, loads *Loads) (Target, bool) {
	plan.dropLeaving(now, loads)
	if plan.tried == plan.length {
		return Target{}, false
	}
	if plan.tried > 0 && plan.tried+1 < plan.length && !plan.preferred {
		plan.preferLess(now, loads)
	}
	target := Target{Index: plan.order[plan.tried], Last: plan.tried+1 == plan.length}
	plan.tried++
	plan.preferred = false
	return target, true
}

// Refused tells that the last try was refused with code, and which upstream the
// refusing sidecar named as less loaded, if any. That one is tried next, if it
// is in the pool and was not tried. A code that speaks for the whole pool makes
// the next try the last one, where the request may wait.
func (plan *Plan) Refused(code result.Code, lighter ident.UpstreamID) {
	plan.prefer(lighter)
	if code == result.PriorityHeld {
		plan.length = min(plan.length, plan.tried+1)
	}
}

func (plan *Plan) prefer(upstream ident.UpstreamID) {
	i, found := plan.pool.index[upstream]
	if !found || plan.tried == plan.length {
		return
	}
	place := slices.Index(plan.order[:plan.length], i)
	if place >= 0 && place < plan.tried {
		return
	}
	if place < 0 {
		place = plan.length - 1
	}
	copy(plan.order[plan.tried+1:place+1], plan.order[plan.tried:place])
	plan.order[plan.tried] = i
	plan.preferred = true
}

// Len returns the number of upstreams that the plan still holds, tried or not.
func (plan *Plan) Len() int { return plan.length }

// preferLess puts the less loaded of the next two first.
func (plan *Plan) preferLess(now time.Time, loads *Loads) {
	first, second := &plan.order[plan.tried], &plan.order[plan.tried+1]
	here, known := loads.load(now, plan.pool.candidates[*first].Upstream)
	there, alsoKnown := loads.load(now, plan.pool.candidates[*second].Upstream)
	if known && alsoKnown && there < here {
		*first, *second = *second, *first
	}
}

// dropLeaving removes the upstreams that are known to leave from what is left.
func (plan *Plan) dropLeaving(now time.Time, loads *Loads) {
	kept := plan.tried
	for place := plan.tried; place < plan.length; place++ {
		if loads.leaving(now, plan.pool.candidates[plan.order[place]].Upstream) {
			continue
		}
		plan.order[kept] = plan.order[place]
		kept++
	}
	plan.length = kept
}
