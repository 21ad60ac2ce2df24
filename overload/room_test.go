package overload_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/overload"
)

// TestNothingIsRefusedWithRoom guards against routers that refuse requests at a small pool with
// room, since their part of it is less than one request.
func TestNothingIsRefusedWithRoom(t *testing.T) {
	for _, pool := range []*overload.Pool{plainWith(47, 2, 1, 0, 2), plainWith(47, 4, 4, 4, 4), enginesWith(103, 40), enginesWith(620, 44, 44, 44)} {
		controller := new(overload.Controller)
		for n := range 30 {
			pool.Upstreams[0].Local = n / 10
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			if got := controller.Decide(now, pool, small(9)); got.Reason != "" || got.Full != nil {
				t.Errorf("got %+v, want the request sent and all upstreams eligible", got)
			}
		}
	}
}

// TestNothingIsRefusedWithRoomInAShortage guards against refusals at pools that are short of room
// by their usage, but where instances have free slots or engines are idle.
func TestNothingIsRefusedWithRoomInAShortage(t *testing.T) {
	for _, pool := range []*overload.Pool{
		plainWith(47, 6, 6, 6, 0), plainWith(47, 5, 5, 5, 5), plainWith(620, 5, 5, 6),
		enginesWith(1, engineSlots, engineSlots, engineSlots, 0), enginesWith(42, slices.Concat(slices.Repeat([]int{engineSlots}, 20), make([]int, 8))...),
	} {
		for seed := range 100 {
			controller := seededController(seed)
			got := controller.Decide(start, pool, small(0))
			if !got.Short || got.Reason != "" {
				t.Errorf("got %+v, want the request sent in a shortage", got)
			}
		}
	}
}

// TestIdleEnginesCountWithAllTheirRoom guards against refusals although engines are idle, which
// counted with the room of a single request.
func TestIdleEnginesCountWithAllTheirRoom(t *testing.T) {
	refused := 0
	for seed := range 400 {
		pool := enginesWith(42, slices.Concat(slices.Repeat([]int{engineSlots}, 7), make([]int, 6))...)
		controller := seededController(seed)
		for i := range 4 {
			controller.TurnedAway(start, enginesKey, engineID(i), time.Second)
		}
		if controller.Decide(start, pool, small(0)).Reason != "" {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("got %d of 400 requests refused beside 6 idle engines, want none", refused)
	}
}

// TestPlainServiceWithAFreeSlotRefusesNothing guards against refusals at a plain service that has
// free slots, since its requests usually take longer than the deadline of this one.
func TestPlainServiceWithAFreeSlotRefusesNothing(t *testing.T) {
	for _, requests := range [][]int{{6, 6, 6, 0}, {5, 5, 5, 5}} {
		controller := new(overload.Controller)
		for range 20 {
			controller.Answered("engines", "p-0", 30*time.Second, 6, 0)
		}
		decision := controller.Decide(start, plainWith(1, requests...), small(0))
		if decision.Reason != "" || decision.Wait != 0 || decision.Full[3] {
			t.Errorf("got %+v with %v of 6 slots taken, want the request sent without a wait to the last one", decision, requests)
		}
	}
}

// TestFewRefusalsLeaveOnlyTheirUpstreamsOut guards against a pool that refuses requests although it
// is nearly idle, since upstreams turned some away.
func TestFewRefusalsLeaveOnlyTheirUpstreamsOut(t *testing.T) {
	for _, test := range []struct{ used, turnedAway int }{{0, 1}, {20, 1}, {25, 1}, {0, 2}, {20, 2}} {
		for seed := range 100 {
			controller := seededController(seed)
			want := make([]bool, 3)
			for i := range test.turnedAway {
				controller.TurnedAway(start, enginesKey, engineID(i), 300*time.Millisecond)
				want[i] = true
			}
			decision := controller.Decide(start, enginesWith(103, slices.Repeat([]int{test.used}, 3)...), small(0))
			if decision.Reason != "" || !slices.Equal(decision.Full, want) {
				t.Fatalf("got %q and %v with %d in flight at each of 3 engines, want the request sent and %v left out", decision.Reason, decision.Full, test.used, want)
			}
		}
	}
}

// TestPlainServiceIgnoresPromptParts guards against refusals at a plain service with idle instances,
// since requests name prompt parts that others share.
func TestPlainServiceIgnoresPromptParts(t *testing.T) {
	request := small(0)
	request.CachedPrefill = 100
	if got := seededController(1).Decide(start, plainWith(1, 6, 6, 6, 0), request); got.Reason != "" || got.Full[3] {
		t.Errorf("got %+v, want the request sent", got)
	}
}

// TestUpstreamWithoutStatedSlotsIsNotFull guards against refusals and upstreams left out where one
// of a pool is idle, but states no slots.
func TestUpstreamWithoutStatedSlotsIsNotFull(t *testing.T) {
	for _, requests := range [][]int{{64, 64, 0}, {60, 50, 0}} {
		pool := enginesWith(1, requests...)
		pool.Upstreams[2].Slots = 0
		controller := seededController(1)
		controller.TurnedAway(start, enginesKey, engineID(0), time.Second)
		got := controller.Decide(start, pool, small(3))
		if got.Reason != "" || !slices.Equal(got.Full, []bool{true, false, false}) {
			t.Errorf("got %+v with %v in flight, want the request sent, with the one that turned another away left out", got, requests)
		}
	}
}

// TestOneLargeRequestDoesNotMakeAPoolShort guards against a pool that is short although it is nearly
// idle, since one caller stated a very long answer, while that request runs and afterwards.
func TestOneLargeRequestDoesNotMakeAPoolShort(t *testing.T) {
	controller := seededController(1)
	for range 100 {
		controller.Ended(start, "engines", controller.Sent(start, "engines", 500, 1000))
	}
	counted := controller.Sent(start, "engines", 500, 2_000_000_000)
	if got := controller.Decide(start, enginesWith(1, 1, 1, 1), small(0)); got.Short || got.Reason != "" {
		t.Errorf("got %+v while the request runs, want a pool that is not short", got)
	}
	controller.Ended(start, "engines", counted)
	if got := controller.Decide(start, enginesWith(1, 1, 1, 1), small(0)); got.Short || got.Reason != "" {
		t.Errorf("got %+v after the request, want a pool that is not short", got)
	}
}

// TestLossAtLowUsageRefusesNothing guards against refusals after a loss of slots although there is
// room for all that comes, since the part of each router is less than one request.
func TestLossAtLowUsageRefusesNothing(t *testing.T) {
	refused := 0
	for seed := range 500 {
		controller := seededController(seed)
		controller.Decide(start, enginesWith(103, 13, 13), small(0))
		if controller.Decide(start.Add(time.Second), enginesWith(103, 13), small(0)).Reason != "" {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("got %d of 500 requests refused with 13 of 64 slots used, want none", refused)
	}
}
