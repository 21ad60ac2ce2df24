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
	// A pool is short of room from shortUsage on, and until stillShortUsage while requests are
	// refused.
	shortUsage      = 0.7
	stillShortUsage = 0.4
	// idleTime is how long requests pass without a decision after one that found less than
	// idleUsage of the pool used.
	idleTime  = 20 * time.Millisecond
	idleUsage = 0.4
	// A pool may be about to be short that has lost lostShare of the slots that it had within
	// peakTime: what was in flight there comes to the rest.
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
	// shareTime is the time constant of the mean of what a router has in flight.
	shareTime = 5 * time.Second
	// maxReturnShare is the part of their remaining time up to which callers honour
	// Retry-After. Within minReturnShare a shortage rarely ends, and callers return once.
	maxReturnShare = 0.3
	minReturnShare = 0.15
	// returnJitter is the part by which Retry-After varies.
	returnJitter = 0.2
	// pressureTime is the time constant of the share of requests that are refused.
	pressureTime = time.Second
	// rateTime is the time over which the rate of requests that end is taken.
	rateTime = 2 * time.Second
	// maxTurns limits how far ahead the turns of refused callers are planned.
	maxTurns = 10 * time.Second
	// maxFullShare is the share of the upstreams above which a pool is short of room if these
	// have turned requests away.
	maxFullShare = 0.25
	// minFullTime is how long an upstream that turned a request away counts as full, at
	// least, unless an answer of it comes.
	minFullTime = 20 * time.Millisecond
	// smoothing is the weight of a new sample of what is learned.
	smoothing = 0.1
	// turnOvercommit is by how much the parts of all routers of one upstream's room exceed
	// it: most of them don't have a request for it.
	turnOvercommit = 2
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

	// Random, if set, returns the random numbers from 0 to 1 that are used.
	Random func() float64

	mu       sync.Mutex
	services map[ident.ServiceName]*service
	views    map[Key]*view
	// turnedAway holds until when upstreams that turned a request away count as full.
	turnedAway map[ident.UpstreamID]time.Time
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
	// serviceTime is how long a request takes a slot.
	serviceTime time.Duration
	// nextTurn is when the next caller that is refused should return.
	nextTurn time.Time
	// decided and refused count the requests that were decided on, and those refused.
	decided, refused decayingCount
}

// shortUsage returns the share of a pool that is used from which on it is short of room. It is
// lower while requests are refused: without that, all that are refused now would be sent as soon
// as there is some room, before the routers know of each other's.
func (service *service) shortUsage(now time.Time) float64 {
	if service.refused.get(now, pressureTime) >= 1 {
		return stillShortUsage
	}
	return shortUsage
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
	// idleUntil is until when requests pass without a decision.
	idleUntil time.Time
	// peakSlots is the most slots that the pool had lately, at peakAt.
	peakSlots int
	peakAt    time.Time
	// localShare is the mean part of the requests in flight that are this router's, as of
	// sharedAt.
	localShare float64
	sharedAt   time.Time
	// earlier is what the router had in flight before.
	earlier snapshots
	// seed draws the least parts with which requests are sent, since drawnAt.
	seed    uint64
	drawnAt time.Time
}

// state returns what is known of a pool and of its service. The caller holds mu.
func (controller *Controller) state(key Key) (*service, *view) {
	if controller.services == nil {
		controller.services = make(map[ident.ServiceName]*service)
		controller.views = make(map[Key]*view)
		controller.turnedAway = make(map[ident.UpstreamID]time.Time)
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
func (controller *Controller) Arrived(now time.Time, key Key, arrival Arrival) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state, view := controller.state(key)
	state.fairness.count(now, arrival.Workspace, state.shortage)
	return !now.Before(view.idleUntil)
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

// TurnedAway records that an upstream turned a request away. It counts as full until it answers or
// for the time that others need to tell what they know.
func (controller *Controller) TurnedAway(now time.Time, name ident.ServiceName, upstream ident.UpstreamID, delay time.Duration) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.service(name)
	controller.turnedAway[upstream] = now.Add(max(min(delay, state.serviceTime/2), minFullTime))
	state.refused.add(now, pressureTime)
}

// estimates returns what is known of the requests of a service. The caller holds mu.
func (controller *Controller) estimates(state *service) estimates {
	known := estimates{prefillRate: controller.prefillRate, serviceTime: state.serviceTime}
	known.memory = (float64(state.memory) + memoryWeight*state.meanMemory) / float64(state.inFlight+memoryWeight)
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
	random := randomOf(controller.Random)
	estimates := controller.estimates(state)
	view.earlier.setAdded(now, pool)
	pool.addUnheard()
	sums := pool.sum(estimates)
	decision := Decision{Usage: sums.usage(), Level: 1}
	if sums.usable == 0 {
		return decision
	}
	sums.share = view.share(now, pool, sums)
	full := controller.full(now, pool)
	decision.Short = decision.Usage >= state.shortUsage(now) || view.afterLoss(now, sums) >= stillShortUsage ||
		float64(full) > maxFullShare*float64(sums.usable) || pool.busyPrefilling(&request, estimates)
	state.shortage = decision.Short
	if !decision.Short && full > 0 {
		decision.Full = controller.turnedAwayOf(now, pool)
		return decision
	}
	if !decision.Short {
		view.passIdle(now, decision.Usage)
		return decision
	}
	view.draw(now, pool.Delay, random)
	state.decided.add(now, pressureTime)
	excess := random() < state.fairness.excess(now, request.Arrival.Workspace)
	decision.urgency = request.urgency(state.refusedShare(now), excess)
	decision.Level = level(request.Priority, excess)
	if !controller.fill(now, view, pool, sums, &request, estimates, &decision) {
		decision.Full = nil
		return decision
	}
	decision.Part = pool.part(sums, decision.urgency*decision.Room)
	state.preferCached(now, view, pool, sums, &request, estimates, &decision)
	switch {
	case now.Add(decision.Wait).After(request.Deadline):
		decision.Reason = TooLate
	case decision.Room < 1 || decision.Part < view.least(""):
		decision.Reason = NoRoom
		if excess {
			decision.Reason = WorkspaceExcess
		}
	default:
		return decision
	}
	state.refused.add(now, pressureTime)
	decision.RetryAfter = state.retryAfter(now, request.Deadline, random)
	return decision
}

// passIdle lets requests pass for a moment without a decision if the pool is nearly idle.
func (view *view) passIdle(now time.Time, usage float64) {
	if usage < idleUsage {
		view.idleUntil = now.Add(idleTime)
	}
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

// afterLoss returns which share of the pool will be used once what was in flight at slots that
// are gone has come to the rest, or zero if few are gone.
func (view *view) afterLoss(now time.Time, sums sums) float64 {
	if sums.slots >= view.peakSlots || now.Sub(view.peakAt) > peakTime {
		view.peakSlots, view.peakAt = sums.slots, now
	}
	if float64(sums.slots) >= (1-lostShare)*float64(view.peakSlots) {
		return 0
	}
	return sums.usage() * float64(view.peakSlots) / float64(sums.slots)
}

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
		if room < 1 || upstream.Memory > 0 && !view.turn(pool, sums.share, decision.urgency, upstream, room) || controller.countsAsFull(now, upstream.ID) || now.Add(wait).After(request.Deadline) {
			decision.Full[i] = true
			continue
		}
		decision.Room += room
	}
	return found
}

// turn reports whether this router may send a request to an upstream with the given room.
// Routers that see the same room take turns, so that they don't fill it several times
// before they know of each other's requests.
func (view *view) turn(pool *Pool, share, urgency float64, upstream *Upstream, room float64) bool {
	if pool.Routers <= 1 || math.IsInf(room, 1) {
		return true
	}
	added := float64(upstream.added)
	return turnOvercommit*urgency*share*max(room+added, 0)-added > view.least(upstream.ID)
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
	if cached < 1 && state.prefillPart(now, pool, sums, request, estimates, decision.urgency) >= view.least("")*float64(request.Prefill) {
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

// draw draws the least parts anew once the other routers know what was sent with the last.
func (view *view) draw(now time.Time, delay time.Duration, random func() float64) {
	if now.Sub(view.drawnAt) >= delay {
		view.drawnAt = now
		view.seed = math.Float64bits(random())
	}
}

// least returns the least part with which a request is sent, between zero and one. It differs
// between routers, so that parts below one add up to the room. It is that of the pool for an
// empty ID.
func (view *view) least(upstream ident.UpstreamID) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(view.seed)
	// A digest's writes return no error.
	_, _ = digest.WriteString(string(upstream))
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// RetryAfter returns when a caller should return whom upstreams have turned away.
func (controller *Controller) RetryAfter(now time.Time, name ident.ServiceName, deadline time.Time) time.Duration {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.service(name).retryAfter(now, deadline, randomOf(controller.Random))
}

// retryAfter gives each refused caller a turn when a request of this router is expected to
// end, within the time for which callers wait.
func (service *service) retryAfter(now, deadline time.Time, random func() float64) time.Duration {
	remaining := max(deadline.Sub(now), 0)
	latest := time.Duration(maxReturnShare * float64(remaining))
	earliest := time.Duration(minReturnShare * float64(remaining))
	after := latest
	if ended := service.flow.since(now, rateTime).ended; ended > 0 {
		turn := now
		if service.nextTurn.After(now) {
			turn = service.nextTurn
		}
		service.nextTurn = turn.Add(rateTime / time.Duration(ended))
		if limit := now.Add(maxTurns); service.nextTurn.After(limit) {
			service.nextTurn = limit
		}
		after = min(max(service.nextTurn.Sub(now), earliest), latest)
	}
	return time.Duration(float64(after) * (1 - returnJitter*random()))
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

// randomOf returns random, or the default source of random numbers from 0 to 1.
func randomOf(random func() float64) func() float64 {
	if random == nil {
		return rand.Float64
	}
	return random
}
