package affinity

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// MaxTries is the most upstreams that one plan holds.
const MaxTries = 5

// Try is one upstream to offer a request to.
type Try struct {
	// Index is the upstream's index in the pool.
	Index int
	// Last says that no further try follows, so that the request may wait
	// there.
	Last bool
}

// Plan is the order in which one request tries the upstreams of a pool: the
// best ranked first, then the less loaded of the next two, then the other one,
// and so on by twos. It is made by Pool.Plan.
type Plan struct {
	pool   *Pool
	order  [MaxTries]int
	length int
	tried  int
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
func (plan *Plan) Next(now time.Time, loads *Loads) (Try, bool) {
	plan.dropLeaving(now, loads)
	if plan.tried == plan.length {
		return Try{}, false
	}
	if plan.tried > 0 && plan.tried+1 < plan.length {
		plan.preferLess(now, loads)
	}
	try := Try{Index: plan.order[plan.tried], Last: plan.tried+1 == plan.length}
	plan.tried++
	return try, true
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
