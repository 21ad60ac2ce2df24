package affinity_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

var start = time.Unix(1000, 0)

func ExamplePlan() {
	pool := affinity.NewPool(candidates(4, equalWeight))
	now := time.Unix(1000, 0)
	var loads affinity.Loads
	loads.Add(affinity.Report{Upstream: "engine-2", Load: 9, SeenAt: now})
	loads.Add(affinity.Report{Upstream: "engine-0", Load: 4, SeenAt: now})
	plan := pool.Plan("chat-7", "engine-1")
	for {
		target, more := plan.Next(now, &loads)
		if !more {
			break
		}
		fmt.Println(pool.At(target.Index).Upstream, target.Last)
	}
	// Output:
	// engine-1 false
	// engine-0 false
	// engine-2 false
	// engine-3 true
}

func TestPlanTriesEachUpstreamOnceAndNoLeavingOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := drawCandidates(t)
		pool := affinity.NewPool(listed)
		var loads affinity.Loads
		leaving := make(map[ident.UpstreamID]bool)
		for _, candidate := range listed {
			report := affinity.Report{Upstream: candidate.Upstream, Load: rapid.IntRange(0, 9).Draw(t, "load"), SeenAt: start}
			report.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			leaving[candidate.Upstream] = report.Leaving
			loads.Add(report)
		}
		plan := pool.Plan(ident.ChatID(rapid.String().Draw(t, "chat")), listed[0].Upstream)
		var tried []int
		last := false
		for target, more := plan.Next(start, &loads); more; target, more = plan.Next(start, &loads) {
			if slices.Contains(tried, target.Index) || leaving[pool.At(target.Index).Upstream] {
				t.Fatalf("got upstream %d after %v, want one that is not tried and not leaving", target.Index, tried)
			}
			if last {
				t.Fatalf("got upstream %d after the one marked as last", target.Index)
			}
			tried, last = append(tried, target.Index), target.Last
		}
		if len(tried) > 0 && !last {
			t.Fatalf("got no upstream marked as last among %v", tried)
		}
		if len(tried) > 0 && !leaving[listed[0].Upstream] && tried[0] != 0 {
			t.Fatalf("got upstream %d first, want the hint, upstream 0", tried[0])
		}
	})
}

func TestRefusalChangesFollowingTries(t *testing.T) {
	pool := affinity.NewPool(candidates(9, equalWeight))
	ranked := rank(pool, "chat", "", 9)
	for _, test := range []struct {
		name       string
		code       result.Code
		lessLoaded ident.UpstreamID
		want       []ident.UpstreamID
	}{
		{"no upstream named", result.OverBound, "", ranked[:5]},
		{"upstream in the plan named", result.OverBound, ranked[3], []ident.UpstreamID{ranked[0], ranked[3], ranked[1], ranked[2], ranked[4]}},
		{"upstream outside the plan named", result.OverBound, ranked[8], []ident.UpstreamID{ranked[0], ranked[8], ranked[1], ranked[2], ranked[3]}},
		{"tried upstream named", result.OverBound, ranked[0], ranked[:5]},
		{"upstream outside the pool named", result.OverBound, "stranger", ranked[:5]},
		{"priority held in the whole pool", result.PriorityHeld, "", ranked[:2]},
	} {
		t.Run(test.name, func(t *testing.T) {
			plan := pool.Plan("chat", "")
			var got []ident.UpstreamID
			for target, more := plan.Next(start, nil); more; target, more = plan.Next(start, nil) {
				got = append(got, pool.At(target.Index).Upstream)
				if len(got) == 1 {
					plan.RecordRefusal(test.code, test.lessLoaded)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got upstreams %v, want %v", got, test.want)
			}
		})
	}
}

func TestRecentReturnsLatestReportOfEachUpstream(t *testing.T) {
	var loads affinity.Loads
	for i := range 30 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		loads.Add(affinity.Report{Upstream: ident.UpstreamID(fmt.Sprint(i % 5)), Load: i, SeenAt: at})
	}
	got := loads.Recent(start.Add(2900*time.Millisecond), 350*time.Millisecond, nil)
	if len(got) != 4 {
		t.Fatalf("got %d reports, want the 4 of the last 350 ms", len(got))
	}
	for _, report := range got {
		if report.Load < 26 {
			t.Errorf("got load %d of upstream %s, want that of its latest report", report.Load, report.Upstream)
		}
	}
}

func TestLaterReportEndsLeaving(t *testing.T) {
	pool := affinity.NewPool(candidates(1, equalWeight))
	var loads affinity.Loads
	loads.Add(affinity.Report{Upstream: "engine-0", Leaving: true, SeenAt: start})
	loads.Add(affinity.Report{Upstream: "engine-0", SeenAt: start.Add(-time.Second)})
	plan := pool.Plan("chat", "")
	if _, got := plan.Next(start, &loads); got {
		t.Errorf("got a leaving upstream to try, want none")
	}
	loads.Add(affinity.Report{Upstream: "engine-0", SeenAt: start.Add(time.Second)})
	plan = pool.Plan("chat", "")
	if _, got := plan.Next(start.Add(time.Second), &loads); !got {
		t.Errorf("got no upstream to try after a later report, want one")
	}
}

// Measures one routing decision: the plan, the first try, a refusal and the
// second try.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{18, 210, 2300} {
		pool := affinity.NewPool(candidates(count, equalWeight))
		var loads affinity.Loads
		for i := range count {
			loads.Add(affinity.Report{Upstream: pool.At(i).Upstream, Load: i % 9, SeenAt: start})
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan := pool.Plan("chat-0123456789", "engine-3")
				plan.Next(start, &loads)
				plan.RecordRefusal(result.OverBound, "engine-5")
				plan.Next(start, &loads)
			}
		})
	}
}

func TestRoutingDecisionDoesNotAllocate(t *testing.T) {
	pool := affinity.NewPool(candidates(210, equalWeight))
	var loads affinity.Loads
	loads.Add(affinity.Report{Upstream: "engine-5", Load: 3, SeenAt: start})
	got := testing.AllocsPerRun(100, func() {
		plan := pool.Plan("chat-0123456789", "engine-3")
		plan.Next(start, &loads)
		plan.RecordRefusal(result.OverBound, "engine-5")
		plan.Next(start, &loads)
	})
	if want := 0.0; got != want {
		t.Errorf("got %v allocations, want %v", got, want)
	}
}
