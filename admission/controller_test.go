package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

var start = time.Unix(1000, 0)

func ExampleController_Offer() {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.25})
	controller.Observe(start, []admission.Sample{{Upstream: "engine-2", Load: 1, SeenAt: start}})
	for i := range 3 {
		decision := controller.Offer(start, admission.Offer{Attempt: ident.AttemptID(fmt.Sprint(i))})
		fmt.Println(decision.Verdict == admission.Admitted, decision.Load, decision.Bound)
	}
	// Output:
	// true 1 1
	// true 2 2
	// false 2 2
}

// fill offers count requests of a workspace and priority, and returns how many
// were admitted.
func fill(controller *admission.Controller, now time.Time, workspace ident.WorkspaceID, priority ident.Priority, count int) int {
	admitted := 0
	for i := range count {
		attempt := ident.AttemptID(fmt.Sprintf("%s-%s-%d-%d", workspace, priority, now.UnixNano(), i))
		decision := controller.Offer(now, admission.Offer{Attempt: attempt, Workspace: workspace, Priority: priority})
		if decision.Verdict == admission.Admitted {
			admitted++
		}
	}
	return admitted
}

func samples(loads ...int) []admission.Sample {
	made := make([]admission.Sample, len(loads))
	for i, load := range loads {
		made[i] = admission.Sample{Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)), Load: load, SeenAt: start}
	}
	return made
}

func TestSmallPoolsDoNotStarve(t *testing.T) {
	for _, test := range []struct {
		name     string
		policy   admission.Policy
		samples  []admission.Sample
		now      time.Time
		admitted int
	}{
		{"nobody heard of", admission.Policy{LoadMultiple: 1.25, EngineLimit: 6}, nil, start, 6},
		{"samples too old", admission.Policy{LoadMultiple: 1.25, EngineLimit: 6}, samples(0, 0, 0), start.Add(4 * time.Second), 6},
		{"an idle pool", admission.Policy{LoadMultiple: 1.25, EngineLimit: 6}, samples(0, 0, 0), start, 1},
		{"a pool all at the mean with a multiple of one", admission.Policy{LoadMultiple: 1, EngineLimit: 6}, samples(2, 2, 2), start, 3},
		{"a loaded pool", admission.Policy{LoadMultiple: 1.5, EngineLimit: 20}, samples(8, 8, 8), start, 15},
		{"no limits", admission.Policy{}, samples(0), start, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			var controller admission.Controller
			controller.SetPolicy(test.policy)
			controller.Observe(start, test.samples)
			if got, want := fill(&controller, test.now, "a", "", 20), test.admitted; got != want {
				t.Errorf("got %d admitted, want %d", got, want)
			}
		})
	}
}

func TestEvidenceRaisesTheMeanOnlyByTheGrowthItShows(t *testing.T) {
	named := func(loads ...int) []admission.Sample { return samples(loads...) }
	for _, test := range []struct {
		name     string
		evidence []admission.Sample
		bound    int
	}{
		{"none", nil, 13},
		{"two upstreams", named(20, 20), 13},
		{"the loads that were sampled", named(10, 10, 10), 13},
		{"a pool that grew by four", named(14, 14, 14), 17},
		{"the same upstream twice", append(named(20, 20), named(20, 20)...), 13},
	} {
		t.Run(test.name, func(t *testing.T) {
			var controller admission.Controller
			controller.SetPolicy(admission.Policy{LoadMultiple: 1.25})
			controller.Observe(start, samples(10, 10, 10, 10))
			fill(&controller, start, "a", "", 10)
			got := controller.Offer(start, admission.Offer{Attempt: "x", Evidence: test.evidence}).Bound
			if want := test.bound; got != want {
				t.Errorf("got bound %d, want %d", got, want)
			}
		})
	}
}

// A priority that stops at a part of the bound by the mean would pull the mean
// down under itself: with a mark of 0.7 of that bound this pool, with batch work
// alone, never got past one request on each upstream.
func TestALowPriorityAloneFillsItsMarkOfTheEngine(t *testing.T) {
	controllers := make([]admission.Controller, 4)
	for i := range controllers {
		controllers[i].SetPolicy(admission.Policy{LoadMultiple: 1.25, EngineLimit: 20, Marks: map[ident.Priority]float64{"batch": 0.7}})
	}
	for round := range 30 {
		now := start.Add(time.Duration(round) * time.Second)
		for i := range controllers {
			var seen []admission.Sample
			for j := range controllers {
				if j != i {
					seen = append(seen, admission.Sample{Upstream: ident.UpstreamID(fmt.Sprint(j)), Load: controllers[j].Load(), SeenAt: now})
				}
			}
			controllers[i].Observe(now, seen)
			fill(&controllers[i], now, "night", "batch", 3)
		}
	}
	for i := range controllers {
		if got, want := controllers[i].Load(), 14; got != want {
			t.Errorf("got load %d, want %d", got, want)
		}
		if got := fill(&controllers[i], start.Add(30*time.Second), "shop", "shelf", 1); got != 1 {
			t.Errorf("got %d shelf questions admitted, want 1", got)
		}
	}
}

func TestAWorkspaceAtItsShareLeavesRoomForTheOthers(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 16})
	if got, want := fill(&controller, start, "large", "", 15), 15; got != want {
		t.Fatalf("got %d admitted alone, want %d", got, want)
	}
	fill(&controller, start, "small", "", 1)
	controller.Done(start, "large--1000000000000-0")
	decision := controller.Offer(start, admission.Offer{Attempt: "x", Workspace: "large"})
	if got, want := decision.Code, result.ShareExceeded; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := fill(&controller, start.Add(time.Second), "small", "", 9), 1; got != want {
		t.Errorf("got %d admitted of the small workspace, want %d", got, want)
	}
}

func TestQueueGivesWayToHigherMarksAndRefusesTheHopeless(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 1, QueueLimit: 4, Marks: map[ident.Priority]float64{"batch": 0.5}})
	fill(&controller, start, "a", "", 1)
	controller.Done(start.Add(2*time.Second), "a--1000000000000-0")
	now := start.Add(2 * time.Second)
	offer := func(attempt ident.AttemptID, priority ident.Priority, left time.Duration) admission.Decision {
		return controller.Offer(now, admission.Offer{Attempt: attempt, Workspace: "a", Priority: priority, Wait: true, Deadline: now.Add(left)})
	}
	if got, want := offer("run", "shelf", time.Minute).Verdict, admission.Admitted; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	offer("batch", "batch", time.Minute)
	offer("shelf", "shelf", time.Minute)
	if got, want := offer("late", "shelf", 3*time.Second).Code, result.DeadlineUnmeetable; got != want {
		t.Errorf("got %s for a second place at 2 s each, want %s", got, want)
	}
	starts := controller.Done(now, "run")
	if len(starts) != 1 || starts[0].Attempt != "shelf" || starts[0].Code != result.OK {
		t.Errorf("got %+v, want the shelf question to start", starts)
	}
	starts = controller.Expire(now.Add(time.Hour))
	if len(starts) != 1 || starts[0].Attempt != "batch" || starts[0].Code != result.DeadlineUnmeetable {
		t.Errorf("got %+v, want the batch request refused", starts)
	}
}

func TestAnAloneOfferRunsWithNothingBesideIt(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 8, QueueLimit: 2})
	controller.Offer(start, admission.Offer{Attempt: "first"})
	if got, want := controller.Offer(start, admission.Offer{Attempt: "alone", Alone: true}).Verdict, admission.Queued; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got, want := controller.Offer(start, admission.Offer{Attempt: "second"}).Code, result.OverBound; got != want {
		t.Errorf("got %s while one waits for the whole upstream, want %s", got, want)
	}
	if starts := controller.Done(start, "first"); len(starts) != 1 || starts[0].Attempt != "alone" {
		t.Errorf("got %+v, want alone to start", starts)
	}
	if got, want := controller.Offer(start, admission.Offer{Attempt: "third"}).Code, result.OverBound; got != want {
		t.Errorf("got %s beside it, want %s", got, want)
	}
	controller.Done(start, "alone")
	if got, want := controller.Offer(start, admission.Offer{Attempt: "fourth"}).Verdict, admission.Admitted; got != want {
		t.Errorf("got %v after it, want %v", got, want)
	}
}

func TestTimesToComeBackAreSpread(t *testing.T) {
	draws := []float64{0, 0.99}
	controller := admission.Controller{Random: func() float64 {
		draw := draws[0]
		draws = draws[1:]
		return draw
	}}
	controller.Leave()
	early := controller.Offer(start, admission.Offer{Attempt: "a"}).RetryAt
	late := controller.Offer(start, admission.Offer{Attempt: "b"}).RetryAt
	if !early.After(start) || !late.After(early) {
		t.Errorf("got %v and %v, want both after %v and apart", early, late, start)
	}
}

func TestColdWorkLeavesTheRoomNearTheBoundToChatsCachedHere(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.5, EngineLimit: 64})
	controller.Observe(start, samples(10, 10, 10, 10))
	fill(&controller, start, "a", "", 15)
	offer := admission.Offer{Attempt: "cold", Cold: true}
	if got, want := controller.Offer(start, offer).Code, result.OverBound; got != want {
		t.Errorf("got %s for cold work, want %s", got, want)
	}
	offer.Wait = true
	if got, want := controller.Offer(start, offer).Verdict, admission.Admitted; got != want {
		t.Errorf("got %v for cold work that may go nowhere else, want %v", got, want)
	}
	if got, want := controller.Offer(start, admission.Offer{Attempt: "warm"}).Verdict, admission.Admitted; got != want {
		t.Errorf("got %v for a chat cached here, want %v", got, want)
	}
}

func TestARefusalNamesAnUpstreamBelowTheMean(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.25, EngineLimit: 64})
	controller.Observe(start, samples(12, 12, 3, 12))
	fill(&controller, start, "a", "", 40)
	named := make(map[ident.UpstreamID]bool)
	for i := range 50 {
		named[controller.Offer(start, admission.Offer{Attempt: ident.AttemptID(fmt.Sprint(i))}).LessLoaded] = true
	}
	delete(named, "") // None of the samples drawn was below the mean.
	if len(named) != 1 || !named["engine-2"] {
		t.Errorf("got %v named, want engine-2 alone", named)
	}
}

func TestTheQueueStartsTheWorkspaceThatRunsLeast(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 4, QueueLimit: 20})
	fill(&controller, start, "large", "", 4)
	controller.Offer(start, admission.Offer{Attempt: "first", Workspace: "large", Wait: true})
	controller.Offer(start, admission.Offer{Attempt: "second", Workspace: "small", Wait: true})
	starts := controller.Done(start, "large--1000000000000-0")
	if len(starts) != 1 || starts[0].Attempt != "second" {
		t.Errorf("got %+v, want the request of the small workspace", starts)
	}
}

func TestAWorkspaceAloneMayFillTheUpstream(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 16, QueueLimit: 4})
	fill(&controller, start, "small", "", 1)
	controller.Done(start, "small--1000000000000-0")
	later := start.Add(time.Minute)
	if got, want := fill(&controller, later, "large", "", 20), 16; got != want {
		t.Errorf("got %d admitted a minute after another workspace asked, want %d", got, want)
	}
}

// In a ramp the first requests queue, and later ones bring the evidence that
// there is room. It is theirs alone: a queued request that could run only by it
// must not keep them out.
func TestAQueuedRequestThatMayNotRunIsNoReasonToRefuse(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.25, EngineLimit: 64, QueueLimit: 8})
	controller.Observe(start, samples(0, 0, 0, 0, 0, 0))
	fill(&controller, start, "a", "", 1)
	if got, want := controller.Offer(start, admission.Offer{Attempt: "waits", Workspace: "a", Wait: true}).Verdict, admission.Queued; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	later := start.Add(100 * time.Millisecond)
	evidence := samples(1, 1, 1)
	for i := range evidence {
		evidence[i].SeenAt = later
	}
	offer := admission.Offer{Attempt: "brings evidence", Workspace: "a", Evidence: evidence}
	if got, want := controller.Offer(later, offer).Verdict, admission.Admitted; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// One admission at a sidecar that holds as many samples as it can.
func BenchmarkOffer(b *testing.B) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.25, EngineLimit: 64})
	loads := make([]int, 2*admission.MaxPartners*int(admission.SampleLifetime/admission.SamplePeriod))
	for i := range loads {
		loads[i] = 10
	}
	controller.Observe(start, samples(loads...))
	fill(&controller, start, "a", "", 8)
	b.ReportAllocs()
	for b.Loop() {
		controller.Offer(start, admission.Offer{Attempt: "x", Workspace: "a"})
		controller.Done(start, "x")
	}
}
