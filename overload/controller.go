package overload

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// activeUsage is the share of a pool that is used from which on requests are decided
	// on. What arrives before routers know of each other's requests fits into the rest.
	activeUsage = 0.7
	// Up to maxSpare requests pass without a decision within idleTime after one that found
	// the usage below idleUsage.
	idleTime  = 20 * time.Millisecond
	idleUsage = 0.4
	maxSpare  = 16
	// A pool that has lost lostShare of the capacity that it had within peakTime is about
	// to be short.
	lostShare = 0.2
	peakTime  = 5 * time.Second
	// sharedSlack is the share of a pool that all routers together may use beyond their
	// parts: requests vary more at one router than over all. It is at most slackOfRoom
	// times the room that there is.
	sharedSlack = 0.1
	slackOfRoom = 0.25
	// evenShare is the part of the free room that routers share evenly; the rest goes by
	// what they have in flight.
	evenShare = 0.5
	// ampleOvercommit is by how much the parts of all routers exceed the room while there is
	// enough: not all of them have more requests than usual at once.
	ampleOvercommit = 1.5
	// shareTime is the time constant of the mean of what a router has in flight.
	shareTime = 5 * time.Second
	// maxReturnShare is the part of their remaining time up to which callers honour
	// Retry-After. Within minReturnShare a shortage rarely ends, and callers return once.
	maxReturnShare = 0.3
	minReturnShare = 0.15
	// returnJitter is the part by which Retry-After varies.
	returnJitter = 0.3
	// pressureTime is the time constant of the share of requests that are refused.
	pressureTime = time.Second
	// rateTime is the time over which the rate of requests that end is taken.
	rateTime = 2 * time.Second
	// maxTurns limits how far ahead the turns of refused callers are planned.
	maxTurns = 10 * time.Second
	// returnGrace is how much later than Retry-After a caller that returns is recognized,
	// and maxReturns how many callers are.
	returnGrace = 2 * time.Second
	maxReturns  = 8192
	// maxFullShare is the share of the upstreams above which a pool is short of room if these
	// have turned requests away.
	maxFullShare = 0.25
	// minFullTime is how long an upstream that turned a request away counts as full, at
	// least, unless an answer of it comes.
	minFullTime = 20 * time.Millisecond
	// queueProbeTime is the time without refusals after which the queue of a plain
	// service is assumed to be longer by one.
	queueProbeTime = 5 * time.Second
	// smoothing is the weight of a new sample of what is learned.
	smoothing = 0.1
	// turnOvercommit is by how much the parts of all routers of one upstream's room exceed
	// it: most of them don't have a request for it.
	turnOvercommit = 2
	// turnFactor and turnShift make a number of turnShift bits less of a hash.
	turnFactor = 0x9e3779b97f4a7c15
	turnShift  = 11
	// drainShare is the share of its prefill rate that an upstream may spend on prompts whose
	// shared parts are not cached, while the pool is short of room, and idleDrainShare what an
	// idle one may spend in addition. coldAhead is the share of the target that such prompts
	// may be ahead of others.
	drainShare     = 0.12
	idleDrainShare = 0.4
	coldAhead      = 0.1
	// maxViews limits the pools that are known.
	maxViews = 1024
	// memoryWeight is the number of requests in flight at which the mean of these counts
	// as much as the mean of all that were sent.
	memoryWeight = 4
	// defaultPrefillRate is the assumed prefill rate in tokens per millisecond, as in
	// package balance.
	defaultPrefillRate = 45
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
	// request. It is nil if the pool has ample room.
	Full []bool
	// Short is set if the pool is short of room, or about to be.
	Short bool
	// Usage is the share of the pool that is used, Room the number of such requests that
	// the pool has room for, and Part the part of them that this router may send.
	Usage float64
	Room  float64
	Part  float64
	// Wait is the time until the first upstream would begin its answer.
	Wait time.Duration
	// Level is the share of the pool that the request may use.
	Level float64
	// Returned is set if the caller was refused before.
	Returned bool

	// urgency is the part that the request gets of what the most urgent ones get.
	urgency float64
	// rooms holds the room of each upstream.
	rooms []float64
}

// Controller decides on the requests of one router. The zero value is ready for use. It
// is safe for concurrent use.
type Controller struct {
	// PrefillRate, if set, returns the prefill rate of an upstream in tokens per
	// millisecond, or zero if it is not known. It must not call the controller.
	PrefillRate func(upstream ident.UpstreamID) float64

	mu       sync.Mutex
	services map[ident.ServiceName]*service
	views    map[Key]*view
	// turnedAway holds until when upstreams that turned a request away count as full.
	turnedAway map[ident.UpstreamID]time.Time
	// returns holds until when refused callers are recognized.
	returns map[uint64]time.Time
}

// service is what is known of the requests of one service.
type service struct {
	flow     flow
	fairness fairness
	// shortage is set while a pool of the service is short of room.
	shortage bool
	// inFlight and memory are the requests of this router in flight and their memory,
	// and meanMemory is the mean of those that were sent.
	inFlight   int
	memory     ident.Tokens
	meanMemory float64
	// serviceTime is how long a request takes a slot, and queue how many requests wait at
	// an upstream that turns others away, if queueKnown is set.
	serviceTime time.Duration
	queue       float64
	queueKnown  bool
	queueAt     time.Time
	// nextTurn is when the next caller that is refused should return.
	nextTurn time.Time
	// decided and refused count the requests that were decided on, and those refused.
	decided, refused decayingCount
}

// refusedShare returns the share of the requests decided on lately that were refused.
func (state *service) refusedShare(now time.Time) float64 {
	decided := state.decided.get(now, pressureTime)
	if decided < 1 {
		return 0
	}
	return state.refused.get(now, pressureTime) / decided
}

// view is what is known of one pool.
type view struct {
	// spareCount requests may pass without a decision until spareUntil.
	spareCount int
	spareUntil time.Time
	// peakSlots is the most slots that the pool had lately, at peakAt.
	peakSlots int
	peakAt    time.Time
	// localShare is the mean part of the requests in flight that are this router's, as of
	// sharedAt.
	localShare float64
	sharedAt   time.Time
	// earlier is what the router had in flight before.
	earlier snapshots
	// turnSeed draws whose turn it is, since turnsAt.
	turnsAt  time.Time
	turnSeed uint64
	// draw is the least part with which a request is sent, as drawn at drawnAt.
	draw    float64
	drawnAt time.Time
}

// state returns what is known of a pool and of its service. The caller holds mu.
func (controller *Controller) state(key Key) (*service, *view) {
	if controller.services == nil {
		controller.services = make(map[ident.ServiceName]*service)
		controller.views = make(map[Key]*view)
		controller.turnedAway = make(map[ident.UpstreamID]time.Time)
		controller.returns = make(map[uint64]time.Time)
	}
	if controller.services[key.Service] == nil {
		controller.services[key.Service] = new(service)
	}
	if controller.views[key] == nil {
		if len(controller.views) >= maxViews {
			clear(controller.views)
		}
		controller.views[key] = new(view)
	}
	return controller.services[key.Service], controller.views[key]
}

// service returns what is known of a service. The caller holds mu.
func (controller *Controller) service(name ident.ServiceName) *service {
	state, _ := controller.state(Key{Service: name})
	return state
}

// Arrived counts a new request and reports whether it has to be decided on: the pool of
// the service is not known to have ample room.
func (controller *Controller) Arrived(now time.Time, key Key, workspace ident.WorkspaceID) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state, view := controller.state(key)
	state.fairness.count(now, workspace, state.shortage)
	if view.spareCount > 0 && now.Before(view.spareUntil) {
		view.spareCount--
		return false
	}
	return true
}

// Sent counts a request that is sent to an upstream, which has to prefill the given tokens
// and holds as many as memory says.
func (controller *Controller) Sent(now time.Time, name ident.ServiceName, prefill, memory ident.Tokens) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.service(name)
	slot := state.flow.slot(now)
	slot.sent++
	slot.prefill += prefill
	state.inFlight++
	state.memory += memory
	if state.meanMemory == 0 {
		state.meanMemory = float64(memory)
	}
	state.meanMemory += smoothing * (float64(memory) - state.meanMemory)
}

// Ended counts the end of a request that Sent counted.
func (controller *Controller) Ended(now time.Time, name ident.ServiceName, memory ident.Tokens) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.service(name)
	state.flow.slot(now).ended++
	state.inFlight = max(state.inFlight-1, 0)
	state.memory = max(state.memory-memory, 0)
}

// Answered records that an upstream with the given slots answered a request completely,
// which took so long while as many requests were in flight there when it was sent.
func (controller *Controller) Answered(name ident.ServiceName, upstream ident.UpstreamID, took time.Duration, slots, inFlight int) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.service(name)
	delete(controller.turnedAway, upstream)
	if slots <= 0 {
		return
	}
	// The part of the time in which the request waited for a slot is left out.
	sample := time.Duration(float64(took) * min(1, float64(slots)/float64(inFlight+1)))
	if state.serviceTime == 0 {
		state.serviceTime = sample
	}
	state.serviceTime += time.Duration(smoothing * float64(sample-state.serviceTime))
}

// TurnedAway records that an upstream turned a request away while as many were waiting
// there, if that is known (not negative). It counts as full until it answers or for the
// time that others need to tell what they know.
func (controller *Controller) TurnedAway(now time.Time, name ident.ServiceName, upstream ident.UpstreamID, waiting int, delay time.Duration) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.service(name)
	controller.turnedAway[upstream] = now.Add(max(min(delay, state.serviceTime/2), minFullTime))
	for key, view := range controller.views {
		if key.Service == name {
			view.spareCount = 0
		}
	}
	if waiting < 0 {
		return
	}
	if !state.queueKnown {
		state.queue, state.queueKnown = float64(waiting), true
	}
	state.queue += smoothing * (float64(waiting) - state.queue)
	state.queueAt = now
}

// estimates returns what is known of the requests of a service. The caller holds mu.
func (controller *Controller) estimates(now time.Time, state *service) estimates {
	known := estimates{prefillRate: controller.prefillRate, serviceTime: state.serviceTime, queue: -1}
	known.memory = (float64(state.memory) + memoryWeight*state.meanMemory) / float64(state.inFlight+memoryWeight)
	if state.queueKnown {
		known.queue = state.queue + math.Floor(max(now.Sub(state.queueAt).Seconds()/queueProbeTime.Seconds(), 0))
	}
	return known
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
	state, view := controller.state(pool.Key)
	estimates := controller.estimates(now, state)
	view.earlier.setAdded(now, pool)
	pool.addUnheard()
	sums := pool.sum(estimates)
	decision := Decision{Usage: sums.usage(), Level: 1}
	if sums.usable == 0 {
		return decision
	}
	sums.share = view.share(now, pool, sums)
	full := controller.full(now, pool)
	decision.Short = view.lostCapacity(now, sums) || decision.Usage >= activeUsage || float64(full) > maxFullShare*float64(sums.usable) || pool.busyPrefilling(&request, estimates)
	decision.Part = pool.part(sums, ampleOvercommit*sums.room)
	state.shortage = decision.Short
	if !decision.Short && decision.Part >= view.threshold(now, pool.Delay) {
		if full > 0 {
			decision.Full = controller.turnedAwayOf(now, pool)
		} else {
			view.spare(now, decision)
		}
		return decision
	}
	view.spareCount = 0
	state.decided.add(now, pressureTime)
	decision.Returned = controller.returned(now, request.Fingerprint)
	excess := !decision.Returned && rand.Float64() < state.fairness.excess(now, request.Workspace)
	decision.urgency = request.urgency(state.refusedShare(now), decision.Returned, excess)
	decision.Level = level(request.Priority, decision.Returned, excess)
	controller.fill(now, view, pool, sums, &request, estimates, &decision)
	decision.Part = pool.part(sums, decision.urgency*decision.Room)
	state.preferCached(now, view, pool, sums, &request, estimates, &decision)
	switch {
	case now.Add(decision.Wait).After(request.Deadline):
		decision.Reason = TooLate
	case decision.Room < 1 || decision.Part < view.threshold(now, pool.Delay):
		decision.Reason = NoRoom
		if excess {
			decision.Reason = WorkspaceExcess
		}
	default:
		return decision
	}
	state.refused.add(now, pressureTime)
	decision.RetryAfter = controller.refuse(now, state, &request)
	return decision
}

// spare lets requests pass for a moment without a decision, if the pool is nearly idle: as
// many as this router's part of the room allows with certainty.
func (view *view) spare(now time.Time, decision Decision) {
	if decision.Usage >= idleUsage {
		return
	}
	view.spareUntil = now.Add(idleTime)
	view.spareCount = int(min(decision.Part/2, maxSpare))
}

// share returns the part of the pool that is this router's: in part an even one, in part by
// what it had in flight lately.
func (view *view) share(now time.Time, pool *Pool, sums sums) float64 {
	current := sums.localShare(pool)
	if view.sharedAt.IsZero() {
		view.localShare = current
	}
	weight := 1 - math.Exp(-float64(now.Sub(view.sharedAt))/float64(shareTime))
	view.localShare += max(weight, 0) * (current - view.localShare)
	view.sharedAt = now
	return evenShare/float64(max(pool.Routers, 1)) + (1-evenShare)*view.localShare
}

// lostCapacity reports whether much of the capacity that the pool had lately is gone. The
// requests in flight show that only when they have moved to the rest.
func (view *view) lostCapacity(now time.Time, sums sums) bool {
	if sums.slots >= view.peakSlots || now.Sub(view.peakAt) > peakTime {
		view.peakSlots, view.peakAt = sums.slots, now
	}
	return float64(sums.slots) < (1-lostShare)*float64(view.peakSlots)
}

// fill sets the figures of decision that depend on each upstream's room. The caller holds
// mu.
func (controller *Controller) fill(now time.Time, view *view, pool *Pool, sums sums, request *Request, estimates estimates, decision *Decision) {
	decision.Full = make([]bool, len(pool.Upstreams))
	decision.rooms = make([]float64, len(pool.Upstreams))
	decision.Wait = time.Duration(math.MaxInt64)
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.Usable || upstream.Slots <= 0 {
			decision.Full[i] = !upstream.Usable
			continue
		}
		wait := upstream.wait(request, estimates)
		decision.Wait = min(decision.Wait, wait)
		room := upstream.room(request, estimates, decision.Level)
		decision.rooms[i] = room
		if room < 1 || !view.turn(now, pool, sums.share, decision.urgency, upstream, room) || controller.countsAsFull(now, upstream.ID) || now.Add(wait).After(request.Deadline) {
			decision.Full[i] = true
			continue
		}
		decision.Room += room
	}
}

// turn reports whether this router may send a request to an upstream with the given room.
// Routers that see the same room take turns, so that they don't fill it several times
// before they know of each other's requests.
func (view *view) turn(now time.Time, pool *Pool, share, urgency float64, upstream *Upstream, room float64) bool {
	if pool.Routers <= 1 || math.IsInf(room, 1) {
		return true
	}
	if now.Sub(view.turnsAt) >= pool.Delay {
		view.turnsAt = now
		view.turnSeed = rand.Uint64()
	}
	draw := float64((xxhash.Sum64String(string(upstream.ID))^view.turnSeed)*turnFactor>>turnShift) / (1 << (64 - turnShift))
	added := float64(upstream.added)
	return turnOvercommit*urgency*share*max(room+added, 0)-added > draw
}

// preferCached marks upstreams that would prefill the shared parts of the prompt again as
// full, if one that has them cached has room, or if this router has used up its part of
// the time for prefill.
func (state *service) preferCached(now time.Time, view *view, pool *Pool, sums sums, request *Request, estimates estimates, decision *Decision) {
	if request.Prefill <= request.CachedPrefill {
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
	if cached < 1 && state.prefillPart(now, pool, sums, request, estimates, decision.urgency) >= view.threshold(now, pool.Delay)*float64(request.Prefill) {
		return
	}
	decision.Room = cached
	for i := range pool.Upstreams {
		if !pool.Upstreams[i].Cached {
			decision.Full[i] = true
		}
	}
}

// prefillPart returns how many more prompt tokens this router may send: its part of what
// the upstreams can prefill in time for the target, and while the others don't know yet
// what was sent.
func (state *service) prefillPart(now time.Time, pool *Pool, sums sums, request *Request, estimates estimates, urgency float64) float64 {
	ahead := float64(min(request.target(), defaultTarget)) * coldAhead
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
	return urgency*sums.share*room - float64(state.flow.since(now, pool.Delay).prefill)
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

// threshold returns the least part with which a request is sent. It is random, so that
// routers with parts below one send as many as their parts together, and stays for as long
// as the others don't know what was sent.
func (view *view) threshold(now time.Time, delay time.Duration) float64 {
	if now.Sub(view.drawnAt) >= delay {
		view.drawnAt = now
		view.draw = 1 - rand.Float64()
	}
	return view.draw
}

// refuse plans when a refused caller should return. The caller holds mu.
func (controller *Controller) refuse(now time.Time, state *service, request *Request) time.Duration {
	after := controller.retryAfter(now, state, request.Deadline)
	if request.Fingerprint != 0 {
		if len(controller.returns) >= maxReturns {
			controller.forgetReturns(now)
		}
		controller.returns[request.Fingerprint] = now.Add(after + returnGrace)
	}
	return after
}

// RetryAfter returns when a caller should return whom upstreams have turned away.
func (controller *Controller) RetryAfter(now time.Time, name ident.ServiceName, deadline time.Time) time.Duration {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.retryAfter(now, controller.service(name), deadline)
}

// retryAfter gives each refused caller a turn when a request of this router is expected to
// end, within the time for which callers wait. The caller holds mu.
func (controller *Controller) retryAfter(now time.Time, state *service, deadline time.Time) time.Duration {
	remaining := max(deadline.Sub(now), 0)
	latest := time.Duration(maxReturnShare * float64(remaining))
	earliest := time.Duration(minReturnShare * float64(remaining))
	after := latest
	if ended := state.flow.since(now, rateTime).ended; ended > 0 {
		turn := now
		if state.nextTurn.After(now) {
			turn = state.nextTurn
		}
		state.nextTurn = turn.Add(rateTime / time.Duration(ended))
		if limit := now.Add(maxTurns); state.nextTurn.After(limit) {
			state.nextTurn = limit
		}
		after = min(max(state.nextTurn.Sub(now), earliest), latest)
	}
	return time.Duration(float64(after) * (1 - returnJitter*rand.Float64()))
}

// returned reports whether a caller was refused before. The caller holds mu.
func (controller *Controller) returned(now time.Time, fingerprint uint64) bool {
	until, found := controller.returns[fingerprint]
	return found && fingerprint != 0 && now.Before(until)
}

// forgetReturns removes the callers that no longer return, and, if that leaves too many,
// all. The caller holds mu.
func (controller *Controller) forgetReturns(now time.Time) {
	for fingerprint, until := range controller.returns {
		if !now.Before(until) {
			delete(controller.returns, fingerprint)
		}
	}
	if len(controller.returns) >= maxReturns {
		clear(controller.returns)
	}
}

// turnedAwayOf returns which upstreams of the pool count as full since they turned requests
// away. The caller holds mu.
func (controller *Controller) turnedAwayOf(now time.Time, pool *Pool) []bool {
	full := make([]bool, len(pool.Upstreams))
	for i := range pool.Upstreams {
		full[i] = controller.countsAsFull(now, pool.Upstreams[i].ID)
	}
	return full
}

// full returns how many usable upstreams count as full since they turned requests away.
// The caller holds mu.
func (controller *Controller) full(now time.Time, pool *Pool) int {
	if len(controller.turnedAway) == 0 {
		return 0
	}
	count := 0
	for i := range pool.Upstreams {
		if pool.Upstreams[i].Usable && controller.countsAsFull(now, pool.Upstreams[i].ID) {
			count++
		}
	}
	return count
}

// countsAsFull reports whether an upstream turned a request away lately. The caller holds
// mu.
func (controller *Controller) countsAsFull(now time.Time, upstream ident.UpstreamID) bool {
	until, found := controller.turnedAway[upstream]
	if found && !now.Before(until) {
		delete(controller.turnedAway, upstream)
		return false
	}
	return found
}
