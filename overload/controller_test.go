package overload_test

import (
	"fmt"
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

func small(priority int) overload.Request {
	return overload.Request{Prefill: 500, CachedPrefill: 500, Memory: 1000, Priority: priority, Target: 800, Deadline: start.Add(10 * time.Second), Fingerprint: 7}
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
			if refused := test.want != ""; refused != (decision.RetryAfter > 0) || decision.RetryAfter > limit {
				t.Errorf("got Retry-After %v, want one up to %v after a refusal only", decision.RetryAfter, limit)
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
	controller.TurnedAway(start, "engines", engineID(0), -1, time.Second)
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
	for range routers {
		controller, local := new(overload.Controller), 0
		for n := range 60 {
			pool := enginesWith(routers, slicesOf(engines, used)...)
			pool.Upstreams[0].Requests += local
			pool.Upstreams[0].Local = local
			if controller.Decide(start.Add(time.Duration(n)*time.Millisecond), pool, small(0)).Reason == "" {
				local++
				controller.Sent(start, "engines", 500, 1000)
			}
		}
		sent += local
	}
	room := engines * (engineSlots - used)
	if sent > room+engines*engineSlots/10 || sent < room/2 {
		t.Errorf("got %d requests sent into room for %d, want no more than a tenth of the slots beyond it, and at least half", sent, room)
	}
}

func slicesOf(count, value int) []int {
	values := make([]int, count)
	for i := range values {
		values[i] = value
	}
	return values
}

// TestQueueOfAPlainServiceIsLearned guards against requests that wait in a queue beyond their
// deadline, or are turned away again and again.
func TestQueueOfAPlainServiceIsLearned(t *testing.T) {
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
	controller.TurnedAway(start, "plain", "p-9", 8, time.Second)
	if got := decide(11, time.Second); got != "" {
		t.Errorf("got %q with 11 of 14 places taken, want none", got)
	}
	if got, want := decide(14, time.Second), overload.NoRoom; got != want {
		t.Errorf("got %q with all 14 places taken, want %q", got, want)
	}
}

// TestCallerThatReturnsGoesFirst guards against a caller that is refused again in favour of a
// newcomer of the same kind.
func TestCallerThatReturnsGoesFirst(t *testing.T) {
	controller := new(overload.Controller)
	if got, want := controller.Decide(start, enginesWith(1, 64), small(0)).Reason, overload.NoRoom; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	newcomer := small(0)
	newcomer.Fingerprint = 8
	later := start.Add(time.Second)
	if got, want := controller.Decide(later, enginesWith(1, 62), newcomer).Reason, overload.NoRoom; got != want {
		t.Errorf("got %q for a newcomer, want %q", got, want)
	}
	if got := controller.Decide(later, enginesWith(1, 62), small(0)).Reason; got != "" {
		t.Errorf("got %q for the caller that returns, want none", got)
	}
}

// TestTurnsOfRefusedCallers guards against callers that all return at once: more of them return
// later than fewer.
func TestTurnsOfRefusedCallers(t *testing.T) {
	controller := new(overload.Controller)
	for range 100 {
		controller.Sent(start, "engines", 500, 1000)
		controller.Ended(start, "engines", 1000)
	}
	deadline := start.Add(30 * time.Second)
	early, late := time.Duration(0), time.Duration(0)
	for n := range 400 {
		after := controller.RetryAfter(start, "engines", deadline)
		switch {
		case n < 10:
			early = max(early, after)
		case n >= 390:
			late = max(late, after)
		}
	}
	if early >= late || late > 10*time.Second {
		t.Errorf("got up to %v first and up to %v last, want a rise within a third of 30 s", early, late)
	}
}

// TestWorkspaceAboveItsUsual guards against a workspace that takes the room of the others by sending
// eight times its usual.
func TestWorkspaceAboveItsUsual(t *testing.T) {
	controller := new(overload.Controller)
	now := start
	arrive := func(workspace string, count int) {
		for range count {
			controller.Arrived(now, enginesKey, ident.WorkspaceID(workspace))
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
			request.Workspace, request.Fingerprint = ident.WorkspaceID(workspace), 0
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
