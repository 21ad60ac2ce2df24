package overload_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/overload"
)

var start = time.Unix(1000, 0)

// enginesWith returns a pool of engines with the given requests in flight, as a router sees it
// that shares it with others.
func enginesWith(routers int, requests ...int) *overload.Pool {
	pool := &overload.Pool{Key: enginesKey, Routers: routers, Heard: routers, Delay: 300 * time.Millisecond}
	for i, count := range requests {
		pool.Upstreams = append(pool.Upstreams, overload.Upstream{ID: engineID(i), Usable: true, Requests: count, Slots: engineSlots, Memory: engineMemory})
	}
	return pool
}

// plainWith returns a pool of a plain service with the given requests in flight.
func plainWith(routers int, requests ...int) *overload.Pool {
	pool := enginesWith(routers, requests...)
	for i := range pool.Upstreams {
		pool.Upstreams[i].Slots, pool.Upstreams[i].Memory = 6, 0
	}
	return pool
}

// seededController returns a controller whose draws are the same each time.
func seededController(seed int) *overload.Controller {
	return &overload.Controller{Random: rand.New(rand.NewPCG(uint64(seed), 0)).Float64}
}

func small(priority int) overload.Request {
	return overload.Request{Prefill: 500, CachedPrefill: 500, Memory: 1000, Priority: priority, Target: 800, Deadline: start.Add(10 * time.Second)}
}

// TestDecide guards against requests that are sent where there is no room, and against refusals
// where there is some.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		pool    *overload.Pool
		request overload.Request
		change  func(pool *overload.Pool, request *overload.Request)
		want    overload.Reason
	}{
		{name: "half used", pool: enginesWith(1, 32, 32, 32), request: small(2)},
		{name: "one idle engine", pool: enginesWith(1, 64, 64, 0), request: small(9)},
		{name: "no free slot", pool: enginesWith(1, 64, 64, 64), request: small(0), want: overload.NoRoom},
		{name: "beyond the slots", pool: enginesWith(1, 200, 90, 64), request: small(0), want: overload.NoRoom},
		{name: "the reserve of more urgent ones", pool: enginesWith(1, 60, 60, 60), request: small(2), want: overload.NoRoom},
		{name: "the most urgent in the reserve", pool: enginesWith(1, 60, 60, 60), request: small(0)},
		{name: "large request at an idle engine", pool: enginesWith(1, 64, 0), request: small(3), change: func(_ *overload.Pool, request *overload.Request) {
			request.Memory = 500_000
		}},
		{name: "prefill beyond the target", pool: enginesWith(1, 50, 50), request: small(0), want: overload.NoRoom, change: func(pool *overload.Pool, _ *overload.Request) {
			for i := range pool.Upstreams {
				pool.Upstreams[i].Pending = 60_000
			}
		}},
		{name: "prefill beyond the deadline", pool: enginesWith(1, 50, 50), request: small(0), want: overload.TooLate, change: func(pool *overload.Pool, request *overload.Request) {
			for i := range pool.Upstreams {
				pool.Upstreams[i].Pending = 60_000
			}
			request.Deadline = start.Add(time.Second)
		}},
		{name: "unusable upstreams only", pool: enginesWith(1, 64, 64), request: small(0), change: func(pool *overload.Pool, _ *overload.Request) {
			for i := range pool.Upstreams {
				pool.Upstreams[i].Usable = false
			}
		}},
		{name: "upstreams that are excluded for the request", pool: enginesWith(1, 64, 64), request: small(0), change: func(pool *overload.Pool, _ *overload.Request) {
			for i := range pool.Upstreams {
				pool.Upstreams[i].Excluded = true
			}
		}},
		{name: "room at an excluded upstream alone", pool: enginesWith(1, 64, 64, 20), request: small(0), want: overload.NoRoom, change: func(pool *overload.Pool, _ *overload.Request) {
			pool.Upstreams[2].Excluded = true
		}},
		{name: "the queue of a plain service", pool: plainWith(1, 9, 9), request: small(3)},
		{name: "a second attempt at a plain service needs a slot", pool: plainWith(1, 9, 9), request: small(0), want: overload.NoRoom, change: func(_ *overload.Pool, request *overload.Request) {
			request.Offered = true
		}},
		{name: "a second attempt where a slot is free", pool: plainWith(1, 9, 5), request: small(0), change: func(_ *overload.Pool, request *overload.Request) {
			request.Offered = true
		}},
		{name: "no other router is heard", pool: enginesWith(10, 6, 6, 6), request: small(0), want: overload.NoRoom, change: func(pool *overload.Pool, _ *overload.Request) {
			pool.Heard = 1
			for i := range pool.Upstreams {
				pool.Upstreams[i].Local = 8
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := test.request
			if test.change != nil {
				test.change(test.pool, &request)
			}
			decision := new(overload.Controller).Decide(start, test.pool, request)
			if decision.Reason != test.want {
				t.Fatalf("got %q, want %q: %+v", decision.Reason, test.want, decision)
			}
			limit := time.Duration(0.34 * float64(request.Deadline.Sub(start)))
			if refused := test.want != "" && !request.Offered; refused != (decision.RetryAfter > 0) || decision.RetryAfter > limit {
				t.Errorf("got Retry-After %v, want one up to %v after a refusal only, and none for a request that an upstream turned away", decision.RetryAfter, limit)
			}
		})
	}
}

// TestMemoryOfRunningRequestsIsBounded guards against running requests that take the memory of
// the shared prompt parts, at engines with free slots.
func TestMemoryOfRunningRequestsIsBounded(t *testing.T) {
	controller := new(overload.Controller)
	for range 30 {
		controller.Sent(start, "engines", 500, 12_000)
	}
	request := small(0)
	request.Memory = 12_000
	for _, test := range []struct {
		running int
		want    overload.Reason
	}{{15, ""}, {25, ""}, {30, overload.NoRoom}, {45, overload.NoRoom}} {
		if got := controller.Decide(start, enginesWith(1, test.running, test.running), request).Reason; got != test.want {
			t.Errorf("got %q with %d requests of 12,000 tokens running, want %q", got, test.running, test.want)
		}
	}
}

// TestFullUpstreamsAreNamed guards against a choice of an upstream without room beside one that
// has some, and against a change of the choice while there is ample room.
func TestFullUpstreamsAreNamed(t *testing.T) {
	controller := new(overload.Controller)
	if got := controller.Decide(start, enginesWith(1, 20, 64, 10), small(0)).Full; got != nil {
		t.Errorf("got %v at low load, want nothing", got)
	}
	got := fmt.Sprint(controller.Decide(start, enginesWith(1, 64, 70, 50), small(0)).Full)
	if want := "[true true false]"; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	controller.TurnedAway(start, enginesKey, engineID(0), time.Second)
	got = fmt.Sprint(controller.Decide(start, enginesWith(1, 10, 10, 10, 10), small(0)).Full)
	if want := "[true false false false]"; got != want {
		t.Errorf("got %v after a refusal, want %v", got, want)
	}
	controller.Answered("engines", engineID(0), time.Second, engineSlots, 10)
	if got := controller.Decide(start, enginesWith(1, 10, 10, 10, 10), small(0)).Full; got != nil {
		t.Errorf("got %v after an answer, want nothing", got)
	}
}

// TestRoutersShareTheRoom guards against routers that each use all the room that they see.
func TestRoutersShareTheRoom(t *testing.T) {
	const routers, engines, used = 42, 13, 50
	sent := 0
	for router := range routers {
		controller, local := seededController(router), make([]int, engines)
		inFlight := used*(router+1)/routers - used*router/routers
		for n := range 60 {
			pool := enginesWith(routers, slices.Repeat([]int{used}, engines)...)
			for i := range pool.Upstreams {
				pool.Upstreams[i].Requests += local[i]
				pool.Upstreams[i].Local = inFlight + local[i]
			}
			if n == 0 {
				controller.Decide(start.Add(-time.Second), pool, small(0))
				continue
			}
			decision := controller.Decide(start.Add(time.Duration(n)*time.Millisecond), pool, small(0))
			if decision.Reason != "" {
				continue
			}
			local[slices.Index(decision.Full, false)]++
			sent++
		}
	}
	room := engines * (engineSlots - used)
	if sent > room+engines*engineSlots/10 || sent < room/2 {
		t.Errorf("got %d requests sent into room for %d, want no more than a tenth of the slots beyond it, and at least half", sent, room)
	}
}

// TestQueueOfAPlainServiceIsUsed guards against requests that wait in a queue beyond their
// deadline, and against refusals of those that need not.
func TestQueueOfAPlainServiceIsUsed(t *testing.T) {
	controller := new(overload.Controller)
	key := overload.Key{Service: "plain"}
	for range 20 {
		controller.Answered("plain", "p-0", 60*time.Millisecond, 6, 5)
	}
	decide := func(requests int, deadline time.Duration) overload.Reason {
		pool := plainWith(1, requests, requests)
		pool.Key = key
		request := small(0)
		request.Deadline = start.Add(deadline)
		return controller.Decide(start, pool, request).Reason
	}
	if got := decide(16, time.Second); got != "" {
		t.Errorf("got %q before any refusal, want the queue to be used", got)
	}
	if got, want := decide(60, 500*time.Millisecond), overload.TooLate; got != want {
		t.Errorf("got %q, want %q: ten rounds of 60 ms take longer than 500 ms", got, want)
	}
}

// TestRetryAfterFollowsTheWorkAhead guards against callers that return into the same shortage,
// and against ones that wait for long although room is near.
func TestRetryAfterFollowsTheWorkAhead(t *testing.T) {
	for _, test := range []struct {
		refused     int
		least, most time.Duration
	}{{10, time.Second, 5 * time.Second}, {1000, 7 * time.Second, 10 * time.Second}} {
		controller := new(overload.Controller)
		for range 20 {
			controller.Sent(start, "engines", 500, 1000)
			controller.Ended(start, "engines", 1000)
		}
		request := small(0)
		request.Deadline = start.Add(30 * time.Second)
		for range test.refused {
			controller.Decide(start, enginesWith(1, 64), request)
		}
		if got := controller.RetryAfter(start, enginesKey, request.Deadline); got < test.least || got > test.most {
			t.Errorf("got %v after %d refusals, want %v to %v", got, test.refused, test.least, test.most)
		}
	}
}

// TestWorkspaceAboveItsUsual guards against a workspace that takes the room of the others by sending
// eight times its usual.
func TestWorkspaceAboveItsUsual(t *testing.T) {
	controller := seededController(0)
	now := start
	arrive := func(workspace string, count int) {
		for range count {
			controller.Arrived(now, enginesKey, overload.Arrival{Workspace: ident.WorkspaceID(workspace)})
		}
	}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		arrive("a", 1)
		arrive("b", 1)
	}
	reasons := make(map[string]map[overload.Reason]int)
	for step := range 60 {
		now = now.Add(100 * time.Millisecond)
		for workspace, count := range map[string]int{"a": 8, "b": 1} {
			arrive(workspace, count)
			request := small(0)
			request.Arrival.Workspace = ident.WorkspaceID(workspace)
			request.Deadline = now.Add(10 * time.Second)
			reason := controller.Decide(now, enginesWith(1, 58), request).Reason
			if step < 20 {
				continue
			}
			if reasons[workspace] == nil {
				reasons[workspace] = make(map[overload.Reason]int)
			}
			reasons[workspace][reason]++
		}
	}
	if got := reasons["b"][""]; got != 40 {
		t.Errorf("got %d of 40 requests of the other workspace sent, want all: %v", got, reasons)
	}
	if got := reasons["a"][overload.WorkspaceExcess]; got < 20 {
		t.Errorf("got %d of 40 requests refused, want at least half: %v", got, reasons)
	}
}

// TestRestrictedPoolIsNoLossOfSlots guards against a restricted pool that counts as what is left of
// the whole one after a loss.
func TestRestrictedPoolIsNoLossOfSlots(t *testing.T) {
	refused, short := 0, 0
	for seed := range 20 {
		controller := seededController(seed)
		for step := range 100 {
			now := start.Add(time.Duration(step) * 25 * time.Millisecond)
			controller.Decide(now, enginesWith(103, slices.Repeat([]int{16}, 12)...), small(2))
			restricted := enginesWith(103, 16, 16)
			restricted.Key.Regions = "west"
			decision := controller.Decide(now.Add(time.Millisecond), restricted, small(2))
			if decision.Short {
				short++
			}
			if decision.Reason != "" {
				refused++
			}
		}
	}
	if short > 0 || refused > 0 {
		t.Errorf("got %d of 2000 requests refused and the pool short %d times at a quarter of the slots, want neither", refused, short)
	}
}

// TestVersionsAreShortForThemselves guards against refusals at a pool with room, since those of
// another version of the service's software are full.
func TestVersionsAreShortForThemselves(t *testing.T) {
	refused, short := 0, 0
	for seed := range 50 {
		controller := seededController(seed)
		for step := range 100 {
			now := start.Add(time.Duration(step) * 25 * time.Millisecond)
			other := enginesWith(103, engineSlots)
			other.Key.Version = "v2"
			controller.Decide(now, other, small(0))
			decision := controller.Decide(now.Add(time.Millisecond), enginesWith(103, 30, 30, 30), small(0))
			if decision.Short {
				short++
			}
			if decision.Reason != "" {
				refused++
			}
		}
	}
	if short > 0 || refused > 0 {
		t.Errorf("got %d of 5000 requests refused and the pool short %d times at 0.47 of the slots, want neither", refused, short)
	}
}

// TestSnapshotsOutlastAChangeOfTheDelay guards against a router that takes all that it has in flight
// for unknown to the others, when the delay grows or after a time without decisions.
func TestSnapshotsOutlastAChangeOfTheDelay(t *testing.T) {
	for _, test := range []struct{ delay, pause time.Duration }{{2 * time.Second, 0}, {300 * time.Millisecond, 5 * time.Second}} {
		refused := 0
		for seed := range 100 {
			controller := seededController(seed)
			decide := func(at time.Duration, delay time.Duration, local int) overload.Decision {
				pool := enginesWith(10, slices.Repeat([]int{50}, 13)...)
				pool.Delay = delay
				for i := range pool.Upstreams {
					pool.Upstreams[i].Local = local
				}
				request := small(0)
				request.Deadline = start.Add(at + 10*time.Second)
				return controller.Decide(start.Add(at), pool, request)
			}
			for n := range 200 {
				decide(time.Duration(n)*10*time.Millisecond, 300*time.Millisecond, 5)
			}
			for n := range 30 {
				if decide(2*time.Second+test.pause+time.Duration(n)*10*time.Millisecond, test.delay, 5).Reason != "" {
					refused++
				}
			}
		}
		if refused > 0 {
			t.Errorf("got %d of 3000 requests refused with a delay of %v after %v without decisions, want none", refused, test.delay, test.pause)
		}
	}
}

// TestOldSnapshotsAreNotUsed guards against a router that counts what it has sent over a long time
// without decisions as not known to the others.
func TestOldSnapshotsAreNotUsed(t *testing.T) {
	for seed := range 100 {
		controller := seededController(seed)
		controller.Decide(start, enginesWith(10, slices.Repeat([]int{50}, 13)...), small(0))
		pool := enginesWith(10, slices.Repeat([]int{50}, 13)...)
		for i := range pool.Upstreams {
			pool.Upstreams[i].Local = 5
		}
		request := small(0)
		request.Deadline = start.Add(20 * time.Second)
		if got := controller.Decide(start.Add(10*time.Second), pool, request); got.Reason != "" {
			t.Fatalf("got %+v, want the request sent", got)
		}
	}
}

// TestRefusalByAnUpstreamCountsOnce guards against a Retry-After beyond the time that the work
// ahead takes, since a refusal by an upstream took the time of two.
func TestRefusalByAnUpstreamCountsOnce(t *testing.T) {
	controller := seededController(1)
	for range 20 {
		controller.Ended(start, "engines", controller.Sent(start, "engines", 500, 1000))
	}
	request := small(0)
	request.Offered, request.Deadline = true, start.Add(13*time.Second)
	var last time.Duration
	for n := range 20 {
		controller.TurnedAway(start, enginesKey, engineID(n%2), time.Second)
		if got := controller.Decide(start, enginesWith(1, 64, 64), request).Reason; got != overload.NoRoom {
			t.Fatalf("got %q, want %q", got, overload.NoRoom)
		}
		last = controller.RetryAfter(start, enginesKey, request.Deadline)
	}
	if want := 2 * time.Second; last > want {
		t.Errorf("got Retry-After %v for the 20th caller while a request ends each 0.1 s, want at most %v", last, want)
	}
}

// TestFewDecisionsWhileThereIsRoom guards against a decision on each request at a pool that is not
// short of room, and against requests that pass for long where it may become short soon.
func TestFewDecisionsWhileThereIsRoom(t *testing.T) {
	for _, test := range []struct {
		used int
		// passes is how long a request passes at least, and decided when one doesn't.
		passes, decided time.Duration
	}{{10, 15 * time.Millisecond, 25 * time.Millisecond}, {32, 5 * time.Millisecond, 20 * time.Millisecond}, {40, time.Millisecond, 10 * time.Millisecond}, {44, 0, 2 * time.Millisecond}, {50, -1, 0}} {
		controller := new(overload.Controller)
		controller.Decide(start, enginesWith(1, test.used, test.used), small(0))
		if test.passes >= 0 && controller.Arrived(start.Add(test.passes), enginesKey, overload.Arrival{}) {
			t.Errorf("got a decision after %v with %d of 64 slots used, want none", test.passes, test.used)
		}
		if !controller.Arrived(start.Add(test.decided), enginesKey, overload.Arrival{}) {
			t.Errorf("got no decision after %v with %d of 64 slots used, want one", test.decided, test.used)
		}
	}
}

// TestDecideLeavesThePoolAsItIs guards against figures that grow with each decision on the same pool
// while other routers are not heard.
func TestDecideLeavesThePoolAsItIs(t *testing.T) {
	pool := enginesWith(10, 20, 20)
	pool.Heard = 4
	want := fmt.Sprint(*pool)
	seededController(1).Decide(start, pool, small(0))
	if got := fmt.Sprint(*pool); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
