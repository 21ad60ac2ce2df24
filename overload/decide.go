package overload

import (
	"math"
	"time"
)

// decider decides on one request. The lock of the controller is held meanwhile.
type decider struct {
	controller *Controller
	now        time.Time
	random     func() float64
	service    *service
	view       *view
	pool       *Pool
	sums       sums
	request    *Request
	estimates  estimates
	decision   Decision

	// turnedAway is how many usable upstreams count as full since they turned requests away.
	turnedAway int
	// excess is set if the request is in excess of its workspace's usual.
	excess bool
	// urgency is the part that the request gets of what the most urgent ones get.
	urgency float64
	// rooms holds the room of each upstream.
	rooms []float64
}

// decide sets the decision.
func (decider *decider) decide() {
	decider.prepare()
	decision, view := &decider.decision, decider.view
	decision.Short = decider.short()
	view.short = decision.Short
	if !decision.Short {
		decider.leaveOutTurnedAway()
		return
	}
	view.draw(decider.now, decider.pool.Delay, decider.random)
	if !decider.request.Offered {
		view.decided.add(decider.now, pressureTime)
	}
	decider.excess = decider.random() < decider.service.fairness.excess(decider.now, decider.request.Arrival.Workspace)
	decider.urgency = decider.request.urgency(view.refusedShare(decider.now), decider.excess)
	decision.Level = level(decider.request.Priority, decider.excess)
	if !decider.fill() {
		decision.Full = nil
		return
	}
	decision.Part = decider.pool.part(decider.sums, decider.urgency*decision.Room)
	decider.preferCached()
	decision.Reason = decider.reason()
	// TurnedAway has counted the refusal of a request that was offered to an upstream, and
	// RetryAfter plans the caller's return.
	if decision.Reason != "" && !decider.request.Offered {
		view.refused.add(decider.now, pressureTime)
		decision.RetryAfter = view.retryAfter(decider.now, decider.service, decider.request.Deadline, decider.random)
	}
}

// prepare sets what is known of the service and of the pool.
func (decider *decider) prepare() {
	controller, pool := decider.controller, decider.pool
	decider.service, decider.view = controller.state(pool.Key)
	decider.estimates = controller.estimates(decider.service)
	decider.view.earlier.setAdded(decider.now, pool)
	pool.addUnheard()
	decider.sums = pool.sum(decider.estimates)
	decider.decision = Decision{Usage: decider.sums.usage(), Level: 1}
	decider.turnedAway = controller.full(decider.now, pool)
	if decider.known() {
		decider.sums.share = decider.view.share(decider.now, pool, decider.sums)
	}
}

// known reports whether the room of the pool is known: upstreams serve, and all of them state
// their slots.
func (decider *decider) known() bool { return decider.sums.usable > 0 && decider.sums.unknown == 0 }

// short reports whether the pool is short of room, or about to be.
func (decider *decider) short() bool {
	if !decider.known() {
		return false
	}
	return decider.decision.Usage >= decider.view.shortUsage(decider.now) || decider.view.afterLoss(decider.now, decider.sums) >= stillShortUsage ||
		manyFull(decider.turnedAway, decider.sums) || decider.pool.busyPrefilling(decider.request, decider.estimates)
}

// leaveOutTurnedAway names the upstreams that turned requests away, in a pool that isn't short of
// room, or lets the next requests pass if there are none.
func (decider *decider) leaveOutTurnedAway() {
	switch {
	case decider.turnedAway > 0:
		decider.decision.Full = decider.controller.turnedAwayOf(decider.now, decider.pool)
	case decider.known():
		decider.view.skipDecisions(decider.now, decider.decision.Usage)
	}
}

// fill sets the figures of the decision that depend on each upstream's room, and reports whether
// there is any upstream for the request.
func (decider *decider) fill() bool {
	found, decision, upstreams := false, &decider.decision, decider.pool.Upstreams
	decision.Full = make([]bool, len(upstreams))
	decider.rooms = make([]float64, len(upstreams))
	decision.Wait = time.Duration(math.MaxInt64)
	for i := range upstreams {
		upstream := &upstreams[i]
		if !upstream.Usable || upstream.Excluded || upstream.Slots <= 0 {
			decision.Full[i] = true
			continue
		}
		found = true
		wait := upstream.wait(decider.request, decider.estimates)
		decision.Wait = min(decision.Wait, wait)
		decider.rooms[i] = upstream.room(decider.request, decider.estimates, decision.Level)
		if !decider.takes(upstream, decider.rooms[i], wait) {
			decision.Full[i] = true
			continue
		}
		decision.Room += decider.rooms[i]
	}
	return found
}

// takes reports whether the request may be sent to an upstream with the given room and wait.
func (decider *decider) takes(upstream *Upstream, room float64, wait time.Duration) bool {
	if room < 1 || decider.now.Add(wait).After(decider.request.Deadline) || decider.controller.countsAsFull(decider.now, upstream.ID) {
		return false
	}
	return upstream.Memory == 0 || decider.view.mayAdd(decider.pool, decider.sums.share, decider.urgency, upstream, room)
}

// preferCached marks upstreams that would prefill the shared parts of the prompt again as
// full, if one that has them cached has room, or if this router has used up its part of
// the time for prefill.
func (decider *decider) preferCached() {
	pool, sums, request, decision := decider.pool, decider.sums, decider.request, &decider.decision
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
			cached += decider.rooms[i]
		}
	}
	if cached < 1 && decider.prefillPart() >= decider.view.threshold("")*float64(request.Prefill) {
		return
	}
	decision.Room = cached
	for i := range pool.Upstreams {
		if !pool.Upstreams[i].Cached {
			decision.Full[i] = true
		}
	}
}

// reason returns why the request is refused, or nothing if it may be sent.
func (decider *decider) reason() Reason {
	decision := &decider.decision
	switch {
	case decider.now.Add(decision.Wait).After(decider.request.Deadline):
		return TooLate
	case decision.Room >= 1 && decision.Part >= decider.view.threshold(""):
		return ""
	case decider.excess:
		return WorkspaceExcess
	}
	return NoRoom
}

// manyFull reports whether a pool is short of room since so many of its upstreams turned requests
// away.
func manyFull(full int, sums sums) bool {
	return full >= minFull && float64(full) > maxFullShare*float64(sums.usable) && sums.usage() >= stillShortUsage
}
