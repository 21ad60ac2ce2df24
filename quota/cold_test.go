package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// coldTracker returns a tracker of a fleet of one router that is settled at at(2), and the
// changes that it reports.
func coldTracker(rule quota.ColdRule) (*quota.Tracker, *[]quota.Cold) {
	changes := new([]quota.Cold)
	tracker := &quota.Tracker{
		ColdRule: func(ident.ServiceName) quota.ColdRule { return rule },
		OnCold:   func(_ time.Time, cold quota.Cold) { *changes = append(*changes, cold) },
	}
	tracker.SetFleet(at(0), "router-0", []string{"router-0"}, []string{"router-0"})
	return tracker, changes
}

// row returns the upstream as a version of its row describes it.
func row(version ident.Revision) registry.Upstream {
	listed := upstream
	listed.Version = version
	return listed
}

func remaining(milliseconds ident.Milliseconds) *ident.Milliseconds { return &milliseconds }

// TestColdSources checks from what an upstream is known to be cold, and that the latest
// information wins. It guards against a restart that is noticed only once requests have
// crashed the upstream again, and against one that stays cold although it says otherwise.
func TestColdSources(t *testing.T) {
	tests := []struct {
		name string
		play func(tracker *quota.Tracker)
		// until is when the upstream is cold no longer in seconds after the start, and
		// waiting is set if it is cold until it answers.
		until   float64
		waiting bool
		// reported is how many states the next messages carry.
		reported int
	}{
		{"never heard of", func(*quota.Tracker) {}, 0, false, 0},
		{"first row says so", func(tracker *quota.Tracker) { tracker.ObserveRow(at(3), at(3), row(1), remaining(2000)) }, 5, false, 0},
		{"first row says no", func(tracker *quota.Tracker) { tracker.ObserveRow(at(3), at(3), row(1), remaining(0)) }, 0, false, 0},
		{"cold again", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(3), at(3), row(1), remaining(0))
			tracker.ObserveRow(at(4), at(4), row(2), remaining(2000))
		}, 6, false, 1},
		{"no message for each heartbeat", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(3), at(3), row(1), remaining(4000))
			tracker.ObserveRow(at(4.2), at(4.2), row(2), remaining(2900))
			tracker.ObserveRow(at(5.4), at(5.4), row(3), remaining(1600))
		}, 7, false, 0},
		{"start, its row not read yet", func(tracker *quota.Tracker) { tracker.Started(at(3), row(1)) }, 6, false, 0},
		{"start, its row says more exactly", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(3), at(3), row(1), remaining(1000))
			tracker.Started(at(3), row(1))
		}, 4, false, 0},
		{"start, its row says no", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(3), at(3), row(1), remaining(0))
			tracker.Started(at(3), row(1))
		}, 6, false, 0},
		{"start, a later row says no", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(3), at(3), row(1), remaining(0))
			tracker.Started(at(3), row(1))
			tracker.ObserveRow(at(4.2), at(4.2), row(2), remaining(0))
		}, 0, false, 1},
		{"failure", func(tracker *quota.Tracker) { tracker.Failed(at(3), row(1), at(3)) }, 0, true, 1},
		{"failure, answered after", func(tracker *quota.Tracker) {
			tracker.Failed(at(3), row(1), at(2.9))
			tracker.Answered(at(4), row(1), at(3.9), nil)
		}, 7, false, 1},
		{"failure, answer to a request from before long after", func(tracker *quota.Tracker) {
			tracker.Failed(at(3), row(1), at(2.9))
			tracker.Answered(at(4), row(1), at(2.8), nil)
		}, 0, false, 1},
		{"failure, answer to a request from before that was on its way", func(tracker *quota.Tracker) {
			tracker.Failed(at(3), row(1), at(2.9))
			tracker.Answered(at(3.1), row(1), at(2.8), nil)
		}, 0, true, 1},
		{"failure known late, the process had come back before", func(tracker *quota.Tracker) {
			tracker.Failed(at(3), row(1), at(2.6))
			tracker.Answered(at(3.5), row(1), at(2.8), nil)
		}, 6.5, false, 1},
		{"failure, a row written after says no", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(2), at(2), row(1), remaining(0))
			tracker.Failed(at(3), row(1), at(3))
			tracker.ObserveRow(at(3.2), at(3.2), row(2), remaining(0))
			tracker.ObserveRow(at(4.4), at(4.4), row(3), remaining(0))
		}, 0, false, 1},
		{"failure, a row that may have been written before says no", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(2), at(2), row(1), remaining(0))
			tracker.Failed(at(3), row(1), at(3))
			tracker.ObserveRow(at(3.2), at(3.2), row(2), remaining(0))
		}, 0, true, 1},
		{"failure, a row that is not new", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(2), at(2), row(1), remaining(0))
			tracker.Failed(at(3), row(1), at(3))
			tracker.ObserveRow(at(9), at(9), row(1), remaining(0))
		}, 0, true, 1},
		{"failure, a row that may have been written before, from a slow store", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(3.4), at(2), row(1), remaining(0))
			tracker.Failed(at(3.1), row(1), at(3.1))
			tracker.ObserveRow(at(4), at(3.41), row(2), remaining(0))
		}, 0, true, 1},
		{"header", func(tracker *quota.Tracker) { tracker.Answered(at(3), row(1), at(2.9), remaining(1500)) }, 4.5, false, 1},
		{"header says no", func(tracker *quota.Tracker) {
			tracker.Started(at(3), row(1))
			tracker.Answered(at(4), row(1), at(3.9), remaining(0))
		}, 0, false, 1},
		{"header of an answer from before says no", func(tracker *quota.Tracker) {
			tracker.Started(at(3), row(1))
			tracker.Answered(at(4), row(1), at(2.9), remaining(0))
		}, 6, false, 0},
		{"end of an evacuation", func(tracker *quota.Tracker) {
			tracker.MarkCold(at(3), []registry.Upstream{row(1)})
		}, 6, false, 0},
		{"another router", func(tracker *quota.Tracker) {
			tracker.ApplyColds(at(3), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Until: at(5), SeenAt: at(2.9)}})
		}, 5, false, 0},
		{"failure at another router, answered here since", func(tracker *quota.Tracker) {
			tracker.Answered(at(3), row(1), at(2.9), nil)
			tracker.ApplyColds(at(3.1), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Failed: true, SeenAt: at(2.9)}})
		}, 6, false, 1},
		{"failure at another router, answer here since that was on its way", func(tracker *quota.Tracker) {
			tracker.Answered(at(3.002), row(1), at(2.6), nil)
			tracker.ApplyColds(at(3.1), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Failed: true, SeenAt: at(3)}})
		}, 0, true, 0},
		{"failure at another router, answer here after that was on its way", func(tracker *quota.Tracker) {
			tracker.ApplyColds(at(3.1), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Failed: true, SeenAt: at(3)}})
			tracker.Answered(at(3.15), row(1), at(2.6), nil)
		}, 0, true, 0},
		{"failure at another router, later answer to a request from before", func(tracker *quota.Tracker) {
			tracker.Answered(at(3.3), row(1), at(2.6), nil)
			tracker.ApplyColds(at(3.4), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Failed: true, SeenAt: at(3)}})
		}, 6.3, false, 1},
		{"failure at another router, an answer since and one from before", func(tracker *quota.Tracker) {
			tracker.Answered(at(3.1), row(1), at(3.05), nil)
			tracker.Answered(at(3.12), row(1), at(2.6), nil)
			tracker.ApplyColds(at(3.2), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Failed: true, SeenAt: at(3)}})
		}, 6.12, false, 1},
		{"failure, answer of a stream that began before it broke", func(tracker *quota.Tracker) {
			tracker.Failed(at(3), row(1), at(1))
			tracker.Answered(at(3.01), row(1), at(2.8), nil)
		}, 0, true, 1},
		{"old message", func(tracker *quota.Tracker) {
			tracker.Started(at(3), row(1))
			tracker.ApplyColds(at(4), []quota.Cold{{Upstream: upstream.ID, Incarnation: upstream.Incarnation, SeenAt: at(2)}})
		}, 6, false, 0},
		{"a router that can't reach it fails again", func(tracker *quota.Tracker) {
			tracker.ObserveRow(at(2), at(2), row(1), remaining(0))
			tracker.Failed(at(3), row(1), at(3))
			tracker.TakeColds(500)
			tracker.ObserveRow(at(4), at(4), row(2), remaining(0))
			tracker.ObserveRow(at(5), at(5), row(3), remaining(0))
			tracker.TakeColds(500)
			tracker.TakeColds(500)
			tracker.Retain(at(5), []registry.Upstream{row(3)})
			tracker.Failed(at(6), row(3), at(6))
		}, 0, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker, _ := coldTracker(coldRuleOf(7.8))
			test.play(tracker)
			if got := len(tracker.TakeColds(500)); got != test.reported {
				t.Errorf("got %d states for other routers, want %d", got, test.reported)
			}
			for _, after := range []float64{9, 6.9, 6.4, 5.9, 4.9, 4.45} {
				_, got := tracker.ColdUntil(at(after), row(9))
				if want := test.waiting || after < test.until; got != want {
					t.Errorf("got cold %t after %v s, want %t", got, after, want)
				}
			}
		})
	}
}

// TestExpiredColdStateIsRemoved guards against a limit, or a place among the limited
// upstreams of package balance, that outlasts the deadline: no message comes then.
func TestExpiredColdStateIsRemoved(t *testing.T) {
	tracker, changes := coldTracker(coldRuleOf(7.8))
	tracker.Started(at(3), row(1))
	if got := tracker.State(at(5.99), row(1)); got == quota.Unlimited {
		t.Error("got no limit before the deadline, want one")
	}
	for range 100 {
		if !tracker.Take(at(6), row(1)) {
			t.Fatal("got a request refused at the deadline, want none")
		}
	}
	if got := tracker.State(at(6), row(1)); got != quota.Unlimited {
		t.Errorf("got state %d at the deadline, want %d", got, quota.Unlimited)
	}
	if !tracker.NextAt(at(6), row(1)).IsZero() || tracker.CountCold(at(6)) != 0 || tracker.Pending() {
		t.Error("got a rest of the state at the deadline, want none")
	}
	if got := len(*changes); got != 1 {
		t.Errorf("got %d changes, want that it became cold", got)
	}
}

// TestWithoutColdRuleNothingIsCold guards against deployments without cold-per-s, or without
// the bounds in their settings, that are served otherwise than before.
func TestWithoutColdRuleNothingIsCold(t *testing.T) {
	none := func(ident.ServiceName) quota.ColdRule { return quota.ColdRule{} }
	for name, tracker := range map[string]*quota.Tracker{"nil": nil, "zero": {}, "no rule": {ColdRule: none}} {
		t.Run(name, func(t *testing.T) {
			tracker.ObserveRow(at(1), at(1), row(1), remaining(5000))
			tracker.Started(at(1), row(1))
			tracker.Failed(at(1), row(1), at(1))
			tracker.Answered(at(1.5), row(1), at(1.4), remaining(5000))
			tracker.MarkCold(at(1.5), []registry.Upstream{row(1)})
			for range 100 {
				if !tracker.Take(at(2), row(1)) {
					t.Fatal("got a request refused, want none")
				}
			}
			if got := tracker.State(at(2), row(1)); got != quota.Unlimited {
				t.Errorf("got state %d, want %d", got, quota.Unlimited)
			}
			if got := len(tracker.TakeColds(500)) + len(tracker.AllColds(at(2))); got != 0 || tracker.Pending() {
				t.Errorf("got %d states for other routers, want none", got)
			}
		})
	}
}

// TestColdRowsBeforeTheConfiguration guards against a router that starts among cold upstreams
// and reads their rows before the configuration.
func TestColdRowsBeforeTheConfiguration(t *testing.T) {
	rule := quota.ColdRule{Overage: 1.5, Slack: 5}
	tracker := &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule { return rule }}
	tracker.ObserveRow(at(1), at(1), row(1), remaining(3000))
	rule = coldRuleOf(7.8)
	if _, cold := tracker.ColdUntil(at(2), row(1)); !cold {
		t.Error("got an upstream that is not cold, want it cold")
	}
}

// taken returns how many requests the tracker allows at once.
func taken(tracker *quota.Tracker, now time.Time) int {
	count := 0
	for tracker.Take(now, row(1)) {
		count++
	}
	return count
}

// TestRouterThatDoesNotKnowTheFleetSendsNothing guards against routers that take themselves
// for the only ones, or use a share that others have used in the same second.
func TestRouterThatDoesNotKnowTheFleetSendsNothing(t *testing.T) {
	rule := coldRuleOf(7.8)
	tracker := &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule { return rule }}
	tracker.Started(at(0), row(1))
	if got := taken(tracker, at(2)); got != 0 {
		t.Errorf("got %d requests before the router is registered, want none", got)
	}
	tracker.SetFleet(at(2), "router-0", []string{"router-0"}, []string{"router-0"})
	tracker.MarkCold(at(2), []registry.Upstream{row(1)})
	if got := taken(tracker, at(3)); got != 0 {
		t.Errorf("got %d requests before other routers know of this one, want none", got)
	}
	if got := taken(tracker, at(4)) + taken(tracker, at(4.2)); got == 0 {
		t.Error("got no request after that, want some")
	}
}

// TestShareOfASilentRouterIsKept guards against a partition in which each side uses the whole
// rate, and against the share of a router that is gone for good.
func TestShareOfASilentRouterIsKept(t *testing.T) {
	names := []string{"router-0", "router-1", "router-2", "router-3"}
	tests := []struct {
		name        string
		known, live []string
		// share is the part of the rate that router-0 gets.
		share float64
	}{
		{"all run", names, names, 0.25},
		{"all are silent", names, names[:1], 0.25},
		{"all were dropped, this one may be cut off", names[:1], names[:1], 0.25},
		{"one has left", names[:3], names[:3], 1.0 / 3},
		{"two were dropped, half is no majority", names[:2], names[:2], 0.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker, _ := coldTracker(quota.ColdRule{Start: time.Minute, PerSecond: 4, Overage: 3, Slack: 5})
			tracker.SetFleet(at(0), "router-0", names, names)
			tracker.SetFleet(at(5), "router-0", names, names[:1])
			if test.share > 0.3 {
				tracker.SetFleet(at(5), "router-0", names, names)
			}
			tracker.SetFleet(at(6), "router-0", test.known, test.live)
			tracker.MarkCold(at(10), []registry.Upstream{row(1)})
			count := 0
			for now := at(10); now.Before(at(40)); now = now.Add(10 * time.Millisecond) {
				count += taken(tracker, now)
			}
			if got, want := float64(count)/30, 4*test.share; got < want-0.1 || got > want+0.1 {
				t.Errorf("got %.2f requests a second, want %.2f", got, want)
			}
		})
	}
}

// TestNextRequestToAColdUpstream guards against a Retry-After at which no request is possible.
func TestNextRequestToAColdUpstream(t *testing.T) {
	for _, routers := range []int{1, 40} {
		names := newFleet(routers).names
		for _, name := range names {
			rule := coldRuleOf(7.8)
			tracker := &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule { return rule }}
			tracker.SetFleet(at(0), name, names, names)
			tracker.MarkCold(at(3), []registry.Upstream{row(1)})
			taken(tracker, at(3.1))
			next := tracker.NextAt(at(3.1), row(1))
			if !next.After(at(3.1)) || next.After(at(5)) {
				t.Errorf("got the next request after %v, want it within 2 s", next.Sub(at(3.1)))
			}
			if got := tracker.State(next.Add(time.Millisecond), row(1)); routers == 1 && got != quota.BelowColdRate {
				t.Error("got no request possible then, want one")
			}
		}
	}
}

// TestRequestIsCountedAgainWhenItsUpstreamBecomesCold guards against requests that were allowed
// before their upstream was found to have ended, and are sent together after.
func TestRequestIsCountedAgainWhenItsUpstreamBecomesCold(t *testing.T) {
	tracker, _ := coldTracker(coldRuleOf(7.8))
	for range 20 {
		tracker.Take(at(3), row(1))
	}
	if !tracker.MaySend(at(3.1), row(1), at(3)) {
		t.Error("got a request to a warm upstream refused, want it sent")
	}
	tracker.Closed(at(3.1), row(1), 2)
	sent := 0
	for range 20 {
		if tracker.MaySend(at(3.3), row(1), at(3)) {
			sent++
		}
	}
	if sent > 1 {
		t.Errorf("got %d requests sent, want at most one", sent)
	}
	if !tracker.Take(at(8.5), row(1)) || !tracker.MaySend(at(8.6), row(1), at(8.5)) {
		t.Error("got a request that was counted while cold refused, want it sent")
	}
}

// TestRoutersThatNeverRanHaveNoShareForLong guards against a router that has just started and
// keeps the shares of all addresses that were ever registered for the life of its process,
// where fewer than half of them run.
func TestRoutersThatNeverRanHaveNoShareForLong(t *testing.T) {
	registered := []string{"router-0", "router-1", "router-2", "router-3"}
	for _, heard := range []bool{false, true} {
		tracker, _ := coldTracker(quota.ColdRule{Start: time.Minute, PerSecond: 4, Overage: 3, Slack: 5})
		tracker.SetFleet(at(0), "router-0", registered, registered[:1])
		if heard {
			tracker.SetFleet(at(1), "router-0", registered, registered)
		}
		tracker.SetFleet(at(5), "router-0", registered, registered[:1])
		tracker.SetFleet(at(125), "router-0", registered[:1], registered[:1])
		tracker.SetFleet(at(130), "router-0", registered[:1], registered[:1])
		tracker.MarkCold(at(130), []registry.Upstream{row(1)})
		count := 0
		for now := at(130); now.Before(at(160)); now = now.Add(10 * time.Millisecond) {
			count += taken(tracker, now)
		}
		want := 4.0
		if heard {
			want = 1
		}
		if got := float64(count) / 30; got < want-0.2 || got > want+0.1 {
			t.Errorf("got %.2f requests a second, want %.2f (the others were heard: %t)", got, want, heard)
		}
	}
}

// TestNewReaderReportsListedUpstream guards against other routers that never learn the deadline
// of an upstream, since the router that reads its row had not read it before.
func TestNewReaderReportsListedUpstream(t *testing.T) {
	for _, listed := range []bool{true, false} {
		tracker, _ := coldTracker(coldRuleOf(7.8))
		if listed {
			tracker.Take(at(2), row(1))
			tracker.Retain(at(2), []registry.Upstream{row(1)})
		}
		tracker.ObserveRow(at(3), at(3), row(2), remaining(2000))
		if got := len(tracker.TakeColds(500)) > 0; got != listed {
			t.Errorf("got a state for other routers: %t, want %t", got, listed)
		}
	}
}

// TestFullStateHasTheLatest guards against a router that starts and is not told the latest
// states, since there are more than a message holds.
func TestFullStateHasTheLatest(t *testing.T) {
	tracker, _ := coldTracker(coldRuleOf(7.8))
	for n := range 600 {
		other := row(1)
		other.ID = ident.UpstreamID(fmt.Sprint("i-", n))
		tracker.MarkCold(at(3+float64(n)/1000), []registry.Upstream{other})
	}
	colds := tracker.AllColds(at(4))
	if len(colds) != 500 {
		t.Fatalf("got %d states, want 500", len(colds))
	}
	for _, cold := range colds {
		if cold.SeenAt.Before(at(3.0999)) {
			t.Errorf("got the state of %s from %v, want later ones", cold.Upstream, cold.SeenAt)
		}
	}
}
