package overload

import (
	"math"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// A pool that is used by stillShortUsage is short of room if more than maxFullShare of its
	// upstreams turned requests away, and at least minFull: a single one may have reasons of
	// its own.
	maxFullShare = 0.25
	minFull      = 2
	// minFullTime is the shortest time for which an upstream that refused a request counts as
	// full, unless it answers one earlier.
	minFullTime = 20 * time.Millisecond
	// maxViews limits the pools that are known, and maxTurnedAway the upstreams that count as
	// full.
	maxViews      = 1024
	maxTurnedAway = 4096
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

// Decision says whether a request may be sent and where, with the figures behind it.
type Decision struct {
	// Reason is empty if the request may be sent.
	Reason Reason
	// RetryAfter is when room is likely for a request that is refused, unless an upstream has
	// turned it away: then Controller.RetryAfter says so.
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
	state.fairness.count(now, arrival.Workspace, view.short)
	return !now.Before(view.idleUntil)
}

// Sent counts a request that is sent to an upstream, which has to prefill the given tokens
// and holds as many as memory says. It returns the memory that was counted, for Ended: at most
// maxMemoryFactor times the mean.
func (controller *Controller) Sent(now time.Time, name ident.ServiceName, prefill, memory ident.Tokens) ident.Tokens {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.service(name)
	slot := state.flow.slot(now)
	slot.sent++
	slot.prefill += prefill
	state.inFlight++
	if state.meanMemory == 0 {
		state.meanMemory = float64(memory)
	}
	memory = min(memory, ident.Tokens(math.Ceil(maxMemoryFactor*state.meanMemory)))
	state.memory += memory
	state.meanMemory += smoothing * (float64(memory) - state.meanMemory)
	return memory
}

// Ended counts the end of a request that Sent counted, with the memory that it returned.
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

// TurnedAway records that an upstream refused a request. The upstream counts as full until it
// answers a request, or until half of the mean service time has passed, but at least for
// minFullTime and otherwise at most for delay, the time within which routers learn of each
// other's requests.
func (controller *Controller) TurnedAway(now time.Time, key Key, upstream ident.UpstreamID, delay time.Duration) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state, view := controller.state(key)
	if len(controller.turnedAway) >= maxTurnedAway {
		clear(controller.turnedAway)
	}
	controller.turnedAway[upstream] = now.Add(max(min(delay, state.serviceTime/2), minFullTime))
	view.refused.add(now, pressureTime)
}

func (controller *Controller) prefillRate(upstream ident.UpstreamID) float64 {
	if controller.PrefillRate != nil {
		if rate := controller.PrefillRate(upstream); rate > 0 {
			return rate
		}
	}
	return defaultPrefillRate
}

// Decide decides whether a request may be sent to an upstream of the pool, which it doesn't change.
func (controller *Controller) Decide(now time.Time, pool *Pool, request Request) Decision {
	decider := decider{controller: controller, now: now, random: randomOf(controller.Random), pool: pool.clone(), request: &request}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	decider.decide()
	return decider.decision
}

// RetryAfter returns when a caller should return whose request upstreams have turned away.
func (controller *Controller) RetryAfter(now time.Time, key Key, deadline time.Time) time.Duration {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state, view := controller.state(key)
	return view.retryAfter(now, state, deadline, randomOf(controller.Random))
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
