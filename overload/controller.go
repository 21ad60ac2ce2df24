package overload

import (
	"math"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// maxFullShare is the share of the upstreams that have turned requests away above which
	// a pool is short of room.
	maxFullShare = 0.25
	// minFullTime is how long an upstream that turned a request away counts as full, at
	// least, unless an answer of it comes.
	minFullTime = 20 * time.Millisecond
	// maxViews limits the pools that are known, and maxFull the upstreams that count as full.
	maxViews = 1024
	maxFull  = 4096
)

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// NoRoom means that the pool has no room for the request.
	NoRoom Reason = "no room"
	// TooLate means that no upstream could answer before the deadline of the request.
	TooLate Reason = "too late"
	// WorkspaceExcess means that the pool has no room for what the workspace sends beyond
	// its usual.
	WorkspaceExcess Reason = "workspace above its usual"
)

// Decision is what becomes of a request, with the figures behind it.
type Decision struct {
	// Reason is empty if the request may be sent.
	Reason Reason
	// RetryAfter is when room is likely for a request that is refused.
	RetryAfter time.Duration
	// Full has a value for each upstream of the pool: whether it has no room for the
	// request. It is nil if all have.
	Full []bool
	// Short is set if the pool is short of room, or about to be.
	Short bool
	// Usage is the share of the pool that is used, and Room the number of such requests
	// that the upstreams which are not full have room for.
	Usage float64
	Room  float64
	// Wait is the time until the first upstream would begin its answer.
	Wait time.Duration
	// Level is how many levels less urgent than the most urgent requests this one is, and
	// Share the part of the room that is this router's for it.
	Level float64
	Share float64
	// Returned is set if the caller was refused before.
	Returned bool
}

// Controller decides on the requests of one router. The zero value is ready for use. It
// is safe for concurrent use.
type Controller struct {
	// PrefillRate, if set, returns the prefill rate of an upstream in tokens per
	// millisecond, or zero if it is not known. It must not call the controller.
	PrefillRate func(upstream ident.UpstreamID) float64
	// Random, if set, returns the random numbers from 0 to 1 that are used.
	Random func() float64

	mu       sync.Mutex
	services map[ident.ServiceName]*service
	views    map[Key]*view
	// fullUntil holds until when upstreams that turned a request away count as full.
	fullUntil map[ident.UpstreamID]time.Time
}

// service returns what is known of a service. The caller holds mu.
func (controller *Controller) service(name ident.ServiceName) *service {
	if controller.services == nil {
		controller.services = make(map[ident.ServiceName]*service)
		controller.fullUntil = make(map[ident.UpstreamID]time.Time)
	}
	if controller.services[name] == nil {
		controller.services[name] = &service{waits: make(usualWaits)}
	}
	return controller.services[name]
}

// view returns what is known of a pool. The caller holds mu.
func (controller *Controller) view(key Key) *view {
	if controller.views == nil || len(controller.views) >= maxViews {
		controller.views = make(map[Key]*view)
	}
	if controller.views[key] == nil {
		controller.views[key] = new(view)
	}
	return controller.views[key]
}

// Arrived counts a new request and reports whether it has to be decided on: the pool is not
// known to be nearly idle.
func (controller *Controller) Arrived(now time.Time, key Key, arrival Arrival) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	service := controller.service(key.Service)
	service.fairness.count(now, arrival.Workspace, service.shortage)
	if !service.shortage {
		service.waits.learn(arrival)
	}
	return !now.Before(controller.view(key).idleUntil)
}

// Sent counts a request that is sent to an upstream, which has to prefill the given tokens
// and holds as many as memory says.
func (controller *Controller) Sent(now time.Time, name ident.ServiceName, prefill, memory ident.Tokens) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.service(name).sent(now, prefill, memory)
}

// Ended counts the end of a request that Sent counted.
func (controller *Controller) Ended(now time.Time, name ident.ServiceName, memory ident.Tokens) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.service(name).ended(now, memory)
}

// Answered records that an upstream with the given slots answered a request completely,
// which took so long while as many requests were in flight there when it was sent.
func (controller *Controller) Answered(name ident.ServiceName, upstream ident.UpstreamID, took time.Duration, slots, inFlight int) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.service(name).answered(took, slots, inFlight)
	delete(controller.fullUntil, upstream)
}

// TurnedAway records that an upstream turned a request away while as many were waiting
// there, if that is known (not negative). It counts as full until it answers or for the
// time that others need to tell what they know.
func (controller *Controller) TurnedAway(now time.Time, name ident.ServiceName, upstream ident.UpstreamID, waiting int, delay time.Duration) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	service := controller.service(name)
	if len(controller.fullUntil) >= maxFull {
		clear(controller.fullUntil)
	}
	controller.fullUntil[upstream] = now.Add(max(min(delay, service.serviceTime/2), minFullTime))
	service.refused.add(now, refusedTime)
	if waiting >= 0 {
		service.turnedAway(now, waiting)
	}
}

// RetryAfter returns when a caller should return whom upstreams have turned away.
func (controller *Controller) RetryAfter(now time.Time, name ident.ServiceName, deadline time.Time) time.Duration {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.service(name).retryAfter(now, deadline, randomOf(controller.Random))
}

func (controller *Controller) prefillRate(upstream ident.UpstreamID) float64 {
	if controller.PrefillRate != nil {
		if rate := controller.PrefillRate(upstream); rate > 0 {
			return rate
		}
	}
	return defaultPrefillRate
}

// Decide decides whether a request may be sent to an upstream of the pool. It changes the
// figures of the pool if this router hears too few others.
func (controller *Controller) Decide(now time.Time, pool *Pool, request Request) Decision {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	service, view, random := controller.service(pool.Key.Service), controller.view(pool.Key), randomOf(controller.Random)
	learned := service.learned(now, controller.prefillRate)
	view.earlier.setAdded(now, pool)
	pool.addUnheard()
	sums := pool.sum(learned)
	if sums.upstreams == 0 {
		return Decision{}
	}
	share := view.share(now, pool, sums)
	full := controller.full(now, pool)
	decision := Decision{Usage: sums.usage()}
	decision.Short = decision.Usage >= service.shortUsage(now) || view.afterLoss(now, sums) >= stillShortUsage ||
		float64(full) > maxFullShare*float64(sums.upstreams) || pool.busyPrefilling(&request, learned)
	service.shortage = decision.Short
	if !decision.Short && full > 0 {
		decision.Full = controller.fullOf(now, pool)
		return decision
	}
	if !decision.Short {
		view.passIdle(now, decision.Usage)
		return decision
	}
	service.decided.add(now, refusedTime)
	decision.Returned = service.waits.returned(request.Arrival)
	excess := random() < service.fairness.excess(now, request.Arrival.Workspace)
	decision.Level = request.level(decision.Returned, excess)
	decision.Share = share * part(decision.Level, service.refusedShare(now))
	view.draw(now, pool.Delay, random)
	if !controller.findRoom(now, view, pool, &request, learned, &decision) {
		decision.Full = nil
		return decision
	}
	sent := service.flow.since(now, pool.Delay)
	switch {
	case request.Prefill > request.CachedPrefill:
		preferCached(pool, sums, view.mayPrefill(pool, decision.Share, &request, learned, sent.prefill), &decision)
	case sums.memory == 0 && !view.mayQueue(pool, decision.Share, learned, sent.sent):
		decision.Room = 0
	}
	switch {
	case now.Add(decision.Wait).After(request.Deadline):
		decision.Reason = TooLate
	case decision.Room >= 1:
		return decision
	case excess:
		decision.Reason = WorkspaceExcess
	default:
		decision.Reason = NoRoom
	}
	service.refused.add(now, refusedTime)
	decision.RetryAfter = service.retryAfter(now, request.Deadline, random)
	return decision
}

// findRoom sets which upstreams have no room for the request, the room of the others, and the
// time until the first one would begin its answer. It reports whether there is an upstream to
// which the request may be sent. The caller holds mu.
func (controller *Controller) findRoom(now time.Time, view *view, pool *Pool, request *Request, learned learned, decision *Decision) bool {
	found := false
	decision.Full = controller.fullOf(now, pool)
	decision.Wait = time.Duration(math.MaxInt64)
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.counted() || upstream.Excluded {
			decision.Full[i] = true
			continue
		}
		found = true
		wait := upstream.wait(request, learned)
		decision.Wait = min(decision.Wait, wait)
		room := upstream.room(request, learned, reserved(decision.Level))
		if room < 1 || now.Add(wait).After(request.Deadline) {
			decision.Full[i] = true
		}
		upstream.hasRoom = !decision.Full[i]
		if upstream.hasRoom && upstream.Memory > 0 && !view.mayAdd(pool, decision.Share, upstream, room) {
			decision.Full[i] = true
		}
		if !decision.Full[i] {
			decision.Room += room
		}
	}
	return found
}

// preferCached marks upstreams that would prefill the shared parts of the prompt again as full,
// if one that has them cached has room below the load bound, be it for other routers now, or if
// this router may not have them prefilled.
func preferCached(pool *Pool, sums sums, mayPrefill bool, decision *Decision) {
	bound := math.Inf(1)
	if pool.LoadMultiple > 0 {
		bound = pool.LoadMultiple*float64(sums.requests)/float64(sums.upstreams) + pool.LoadSlack
	}
	cached, eligible := false, false
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if upstream.Cached && upstream.hasRoom && float64(upstream.Requests) < bound {
			cached = true
			eligible = eligible || !decision.Full[i]
		}
	}
	if !cached && mayPrefill {
		return
	}
	for i := range pool.Upstreams {
		if !pool.Upstreams[i].Cached {
			decision.Full[i] = true
		}
	}
	if !eligible {
		decision.Room = 0
	}
}

// full returns how many usable upstreams count as full since they turned requests away.
// The caller holds mu.
func (controller *Controller) full(now time.Time, pool *Pool) int {
	if len(controller.fullUntil) == 0 {
		return 0
	}
	count := 0
	for i, full := range controller.fullOf(now, pool) {
		if full && pool.Upstreams[i].Usable {
			count++
		}
	}
	return count
}

// fullOf returns which upstreams count as full since they turned requests away. The caller holds
// mu.
func (controller *Controller) fullOf(now time.Time, pool *Pool) []bool {
	full := make([]bool, len(pool.Upstreams))
	for i := range pool.Upstreams {
		until, found := controller.fullUntil[pool.Upstreams[i].ID]
		if found && !now.Before(until) {
			delete(controller.fullUntil, pool.Upstreams[i].ID)
			found = false
		}
		full[i] = found
	}
	return full
}
