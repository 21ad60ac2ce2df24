package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// sharedSlack is the share of a pool that all routers together may use beyond their
	// parts: requests vary more at one router than over all. It is at most slackOfRoom
	// times the room that there is.
	sharedSlack = 0.1
	slackOfRoom = 0.25
	// shareOvercommit is by how much the parts of all routers of one upstream's room exceed
	// it: most of them don't have a request for it.
	shareOvercommit = 2
	// drainShare is the share of its prefill rate that an upstream may spend on prompts whose
	// shared parts are not cached, while the pool is short of room, and idleDrainShare what an
	// idle one may spend in addition. More of such prompts would delay those whose parts are
	// cached, which are served for less. uncachedAhead is the share of the target that such
	// prompts may be ahead of others.
	drainShare     = 0.12
	idleDrainShare = 0.4
	uncachedAhead  = 0.1
)

// fill sets the figures of decision that depend on each upstream's room. The caller holds
// mu.
func (controller *Controller) fill(now time.Time, view *view, pool *Pool, sums sums, request *Request, estimates estimates, decision *Decision) bool {
	found := false
	decision.Full = make([]bool, len(pool.Upstreams))
	decision.rooms = make([]float64, len(pool.Upstreams))
	decision.Wait = time.Duration(math.MaxInt64)
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.Usable || upstream.Excluded || upstream.Slots <= 0 {
			decision.Full[i] = true
			continue
		}
		found = true
		wait := upstream.wait(request, estimates)
		decision.Wait = min(decision.Wait, wait)
		room := upstream.room(request, estimates, decision.Level)
		decision.rooms[i] = room
		if room < 1 || upstream.Memory > 0 && !decision.few && !view.mayAdd(pool, sums.share, decision.urgency, upstream, room) || controller.countsAsFull(now, upstream.ID) || now.Add(wait).After(request.Deadline) {
			decision.Full[i] = true
			continue
		}
		decision.Room += room
	}
	return found
}

// mayAdd reports whether this router may send a request to an upstream with the given room. Routers
// that see the same room each take a part of it, so that they don't fill it several times before
// they know of each other's requests.
func (view *view) mayAdd(pool *Pool, share, urgency float64, upstream *Upstream, room float64) bool {
	if pool.Routers <= 1 || math.IsInf(room, 1) {
		return true
	}
	added := float64(upstream.added)
	return shareOvercommit*urgency*share*max(room+added, 0)-added > view.threshold(upstream.ID)
}

// preferCached marks upstreams that would prefill the shared parts of the prompt again as
// full, if one that has them cached has room, or if this router has used up its part of
// the time for prefill.
func (service *service) preferCached(now time.Time, view *view, pool *Pool, sums sums, request *Request, estimates estimates, decision *Decision) {
	if request.Prefill <= request.CachedPrefill || !pool.anyEngine() {
		return
	}
	bound := math.Inf(1)
	if pool.LoadMultiple > 0 {
		bound = pool.LoadMultiple*float64(sums.requests)/float64(sums.usable) + pool.LoadSlack
	}
	cached := 0.0
	for i := range pool.Upstreams {
		if pool.Upstreams[i].Cached && !decision.Full[i] && float64(pool.Upstreams[i].Requests) < bound {
			cached += decision.rooms[i]
		}
	}
	if cached < 1 && service.prefillPart(now, pool, sums, request, estimates, decision.urgency) >= view.threshold("")*float64(request.Prefill) {
		return
	}
	decision.Room = cached
	for i := range pool.Upstreams {
		if !pool.Upstreams[i].Cached {
			decision.Full[i] = true
		}
	}
}

// anyEngine reports whether a usable upstream is an engine, which prefills prompts.
func (pool *Pool) anyEngine() bool {
	return slices.ContainsFunc(pool.Upstreams, func(upstream Upstream) bool { return upstream.Usable && upstream.Memory > 0 })
}

// prefillPart returns how many more prompt tokens this router may send: its part of what
// the upstreams can prefill in time for the target, and while the others don't know yet
// what was sent.
func (service *service) prefillPart(now time.Time, pool *Pool, sums sums, request *Request, estimates estimates, urgency float64) float64 {
	ahead := float64(min(request.target(), defaultTarget)) * uncachedAhead
	delay := float64(pool.Delay) / float64(time.Millisecond)
	room := 0.0
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if upstream.Usable && upstream.Memory > 0 {
			rate := estimates.prefillRate(upstream.ID)
			idle := max(1-upstream.usage(estimates), 0)
			room += max(ahead*rate-float64(upstream.Pending), 0) + delay*rate*(drainShare+idleDrainShare*idle*idle)
		}
	}
	return urgency*sums.share*room - float64(service.flow.since(now, pool.Delay).prefill)
}

// part returns how many more requests this router may send into the room of the pool. It
// may add its share of the room to what it had in flight when the others last heard of it.
func (pool *Pool) part(sums sums, room float64) float64 {
	if math.IsInf(room, 1) || pool.Routers <= 1 {
		return room
	}
	added := float64(sums.added)
	slack := min(sharedSlack*sums.capacity, slackOfRoom*room) / float64(pool.Routers)
	return sums.share*max(room+added, 0) - added + slack
}
