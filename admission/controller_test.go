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

// fill offers count requests of a workspace and priority and returns the number
// admitted.
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

// samples returns one sample of each load, taken at start, of the upstreams
// engine-0, engine-1 and so on.
func samples(loads ...int) []admission.Sample {
	list := make([]admission.Sample, len(loads))
	for i, load := range loads {
		list[i] = admission.Sample{Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)), Load: load, SeenAt: start}
	}
	return list
}

func TestSmallPoolsAreNotStarved(t *testing.T) {
	for _, test := range []struct {
		name     string
		policy   admission.Policy
		samples  []admission.Sample
		now      time.Time
		admitted int
	}{
		{"no samples", admission.Policy{LoadMultiple: 1.25, EngineLimit: 6}, nil, start, 6},
		{"expired samples", admission.Policy{LoadMultiple: 1.25, EngineLimit: 6}, samples(0, 0, 0), start.Add(4 * time.Second), 6},
		{"idle pool", admission.Policy{LoadMultiple: 1.25, EngineLimit: 6}, samples(0, 0, 0), start, 1},
		{"all upstreams at the mean with a multiple of one", admission.Policy{LoadMultiple: 1, EngineLimit: 6}, samples(2, 2, 2), start, 3},
		{"loaded pool", admission.Policy{LoadMultiple: 1.5, EngineLimit: 20}, samples(8, 8, 8), start, 15},
		{"no limits", admission.Policy{}, samples(0), start, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			var controller admission.Controller
			controller.SetPolicy(test.policy)
			controller.Observe(start, test.samples)
			if got, want := fill(&controller, test.now, "a", "", 20), test.admitted; got != want {
				t.Errorf("got %d requests admitted, want %d", got, want)
			}
		})
	}
}

func TestEvidenceRaisesMeanByObservedGrowth(t *testing.T) {
	for _, test := range []struct {
		name     string
		evidence []admission.Sample
		bound    int
	}{
		{"none", nil, 13},
		{"two upstreams", samples(20, 20), 13},
		{"loads as sampled", samples(10, 10, 10), 13},
		{"growth by four", samples(14, 14, 14), 17},
		{"same two upstreams twice", append(samples(20, 20), samples(20, 20)...), 13},
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

// A mark that limited a priority to a fraction of the bound by the mean would
// keep the mean low: with a mark of 0.7 of that bound, this pool with batch
// work alone would never run more than one request on each upstream.
func TestLowPriorityAloneFillsItsMark(t *testing.T) {
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
			t.Errorf("engine %d: got load %d, want %d", i, got, want)
		}
		if got := fill(&controllers[i], start.Add(30*time.Second), "shop", "shelf", 1); got != 1 {
			t.Errorf("engine %d: got %d shelf requests admitted, want 1", i, got)
		}
	}
}

func TestWorkspaceAtItsShareLeavesRoomForOthers(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 16})
	if got, want := fill(&controller, start, "large", "", 15), 15; got != want {
		t.Fatalf("got %d requests of the only workspace admitted, want %d", got, want)
	}
	fill(&controller, start, "small", "", 1)
	controller.Done(start, "large--1000000000000-0")
	decision := controller.Offer(start, admission.Offer{Attempt: "x", Workspace: "large"})
	if got, want := decision.Code, result.ShareExceeded; got != want {
		t.Errorf("got code %s for a workspace at its share, want %s", got, want)
	}
	if got, want := fill(&controller, start.Add(time.Second), "small", "", 9), 1; got != want {
		t.Errorf("got %d requests of the small workspace admitted, want %d", got, want)
	}
}

func TestQueueOrdersByMarkAndRefusesUnmeetableDeadlines(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 1, QueueLimit: 4, Marks: map[ident.Priority]float64{"batch": 0.5}})
	fill(&controller, start, "a", "", 1)
	controller.Done(start.Add(2*time.Second), "a--1000000000000-0")
	now := start.Add(2 * time.Second)
	offer := func(attempt ident.AttemptID, priority ident.Priority, remaining time.Duration) admission.Decision {
		return controller.Offer(now, admission.Offer{Attempt: attempt, Workspace: "a", Priority: priority, MayQueue: true, Deadline: now.Add(remaining)})
	}
	if got, want := offer("run", "shelf", time.Minute).Verdict, admission.Admitted; got != want {
		t.Fatalf("got verdict %v, want %v", got, want)
	}
	offer("batch", "batch", time.Minute)
	offer("shelf", "shelf", time.Minute)
	if got, want := offer("late", "shelf", 3*time.Second).Code, result.DeadlineUnmeetable; got != want {
		t.Errorf("got code %s for the second place in the queue at 2 s per request, want %s", got, want)
	}
	dequeued := controller.Done(now, "run")
	if len(dequeued) != 1 || dequeued[0].Attempt != "shelf" || dequeued[0].Code != result.OK {
		t.Errorf("got %+v, want the shelf request started", dequeued)
	}
	dequeued = controller.Expire(now.Add(time.Hour))
	if len(dequeued) != 1 || dequeued[0].Attempt != "batch" || dequeued[0].Code != result.DeadlineUnmeetable {
		t.Errorf("got %+v, want the batch request refused", dequeued)
	}
}

func TestAloneOfferRunsExclusively(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 8, QueueLimit: 2})
	controller.Offer(start, admission.Offer{Attempt: "first"})
	if got, want := controller.Offer(start, admission.Offer{Attempt: "alone", Exclusive: true}).Verdict, admission.Queued; got != want {
		t.Fatalf("got verdict %v, want %v", got, want)
	}
	if got, want := controller.Offer(start, admission.Offer{Attempt: "second"}).Code, result.OverBound; got != want {
		t.Errorf("got code %s while an exclusive offer is queued, want %s", got, want)
	}
	if dequeued := controller.Done(start, "first"); len(dequeued) != 1 || dequeued[0].Attempt != "alone" {
		t.Errorf("got %+v, want the exclusive offer started", dequeued)
	}
	if got, want := controller.Offer(start, admission.Offer{Attempt: "third"}).Code, result.OverBound; got != want {
		t.Errorf("got code %s while the exclusive offer runs, want %s", got, want)
	}
	controller.Done(start, "alone")
	if got, want := controller.Offer(start, admission.Offer{Attempt: "fourth"}).Verdict, admission.Admitted; got != want {
		t.Errorf("got verdict %v after the exclusive offer, want %v", got, want)
	}
}

func TestRetryTimesAreJittered(t *testing.T) {
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
		t.Errorf("got %v and %v, want two different times after %v, the first one earlier", early, late, start)
	}
}

func TestColdWorkLeavesRoomForCachedChats(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.5, EngineLimit: 64})
	controller.Observe(start, samples(10, 10, 10, 10))
	fill(&controller, start, "a", "", 15)
	offer := admission.Offer{Attempt: "cold", Cold: true}
	if got, want := controller.Offer(start, offer).Code, result.OverBound; got != want {
		t.Errorf("got code %s for cold work, want %s", got, want)
	}
	offer.MayQueue = true
	if got, want := controller.Offer(start, offer).Verdict, admission.Admitted; got != want {
		t.Errorf("got verdict %v for cold work without another upstream to try, want %v", got, want)
	}
	if got, want := controller.Offer(start, admission.Offer{Attempt: "warm"}).Verdict, admission.Admitted; got != want {
		t.Errorf("got verdict %v for a cached chat, want %v", got, want)
	}
}

func TestRefusalNamesUpstreamBelowMean(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.25, EngineLimit: 64})
	controller.Observe(start, samples(12, 12, 3, 12))
	fill(&controller, start, "a", "", 40)
	named := make(map[ident.UpstreamID]bool)
	for i := range 50 {
		named[controller.Offer(start, admission.Offer{Attempt: ident.AttemptID(fmt.Sprint(i))}).LessLoaded] = true
	}
	delete(named, "") // A refusal names none if no sample drawn is below the mean.
	if len(named) != 1 || !named["engine-2"] {
		t.Errorf("got upstreams %v named, want only engine-2", named)
	}
}

func TestQueueStartsWorkspaceThatRunsLeast(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 4, QueueLimit: 20})
	fill(&controller, start, "large", "", 4)
	controller.Offer(start, admission.Offer{Attempt: "first", Workspace: "large", MayQueue: true})
	controller.Offer(start, admission.Offer{Attempt: "second", Workspace: "small", MayQueue: true})
	dequeued := controller.Done(start, "large--1000000000000-0")
	if len(dequeued) != 1 || dequeued[0].Attempt != "second" {
		t.Errorf("got %+v, want the request of the small workspace started", dequeued)
	}
}

func TestOnlyActiveWorkspaceFillsUpstream(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{EngineLimit: 16, QueueLimit: 4})
	fill(&controller, start, "small", "", 1)
	controller.Done(start, "small--1000000000000-0")
	later := start.Add(time.Minute)
	if got, want := fill(&controller, later, "large", "", 20), 16; got != want {
		t.Errorf("got %d requests admitted a minute after the last offer of another workspace, want %d", got, want)
	}
}

// While load ramps up, the first requests are queued and later ones carry
// evidence that there is room. The evidence raises the bound only for the
// request that carries it, so that a queued request that still cannot run must
// not block that one.
func TestQueuedRequestThatCannotRunDoesNotBlockOthers(t *testing.T) {
	var controller admission.Controller
	controller.SetPolicy(admission.Policy{LoadMultiple: 1.25, EngineLimit: 64, QueueLimit: 8})
	controller.Observe(start, samples(0, 0, 0, 0, 0, 0))
	fill(&controller, start, "a", "", 1)
	if got, want := controller.Offer(start, admission.Offer{Attempt: "waits", Workspace: "a", MayQueue: true}).Verdict, admission.Queued; got != want {
		t.Fatalf("got verdict %v, want %v", got, want)
	}
	later := start.Add(100 * time.Millisecond)
	evidence := samples(1, 1, 1)
	for i := range evidence {
		evidence[i].SeenAt = later
	}
	offer := admission.Offer{Attempt: "brings evidence", Workspace: "a", Evidence: evidence}
	if got, want := controller.Offer(later, offer).Verdict, admission.Admitted; got != want {
		t.Errorf("got verdict %v, want %v", got, want)
	}
}

// Measures one admission with the maximum number of samples.
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
