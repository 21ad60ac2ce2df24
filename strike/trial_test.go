package strike_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/strike"
)

// twoCrashes returns two routers that know of two crashes of request 1.
func twoCrashes() (first, second *strike.Guard) {
	first, second = &strike.Guard{Router: "first"}, &strike.Guard{Router: "second"}
	for n := range 2 {
		first.Broken(crashOf(n).At, requestOf(crashOf(n)), crashOf(n))
	}
	second.Apply(crashOf(1).At, first.TakeReport(crashOf(1).At, false))
	return first, second
}

// TestTrialKeepsOthersFromRunning guards against a second crash by a request that runs alone
// at one router while another one does not know yet that it crashed its upstream.
func TestTrialKeepsOthersFromRunning(t *testing.T) {
	request := strike.Request{Fingerprint: 1}
	began := crashOf(1).At.Add(time.Second)
	tests := []struct {
		name string
		end  func(guard *strike.Guard, trial strike.Trial)
		want strike.Allowance
		wait bool
	}{
		{"no result yet", func(*strike.Guard, strike.Trial) {}, strike.Alone, true},
		{"has not run", func(guard *strike.Guard, trial strike.Trial) { guard.EndTrial(began, trial) }, strike.Alone, false},
		{"succeeded", func(guard *strike.Guard, _ strike.Trial) { guard.Succeeded(began, request, "e9", 1) }, strike.Free, false},
		{"crashed", func(guard *strike.Guard, _ strike.Trial) {
			run := crashOf(2)
			run.Upstream = "e9"
			guard.Broken(run.At, request, run)
		}, strike.Refused, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := twoCrashes()
			trial, proposed := first.ProposeTrial(began, request, "e9", 1)
			if !proposed || !first.MayBegin(began, trial) {
				t.Fatal("got a trial that does not take place, want one that does")
			}
			second.Apply(began, first.TakeReport(began, false))
			if _, proposed := second.ProposeTrial(began, request, "e9", 1); proposed {
				t.Error("got a second trial, want one")
			}
			test.end(first, trial)
			now := began.Add(500 * time.Millisecond)
			second.Apply(now, first.TakeReport(now, false))
			standing := second.Standing(now, request)
			if waits := standing.NotBefore.After(now); standing.Allowance != test.want || waits != test.wait {
				t.Errorf("got %v that waits: %t, want %v and %t", standing.Allowance, waits, test.want, test.wait)
			}
			if later := began.Add(5 * time.Second); second.Standing(later, request).NotBefore.After(later) {
				t.Error("got a request that waits 5 s after the trial began, want none")
			}
		})
	}
}

// TestOneOfSeveralProposedTrialsTakesPlace guards against copies of a request that run alone
// at several routers at once.
func TestOneOfSeveralProposedTrialsTakesPlace(t *testing.T) {
	request := strike.Request{Fingerprint: 1}
	for _, lag := range []time.Duration{-60 * time.Millisecond, 0, 60 * time.Millisecond} {
		first, second := twoCrashes()
		began := crashOf(1).At.Add(time.Second)
		one, _ := first.ProposeTrial(began, request, "e8", 1)
		other, _ := second.ProposeTrial(began.Add(lag), request, "e9", 1)
		first.Apply(began, second.TakeReport(began, false))
		second.Apply(began, strike.Report{Trials: []strike.Trial{one}})
		if first.MayBegin(began, one) == second.MayBegin(began, other) {
			t.Errorf("got %t for both of two trials %v apart, want one that takes place", first.MayBegin(began, one), lag)
		}
	}
}

// TestUnreachableUpstreamCountsRunsThatWait guards against a request whose upstreams fall
// silent, so that the crash would count only once the row of the upstream has expired.
func TestUnreachableUpstreamCountsRunsThatWait(t *testing.T) {
	var guard strike.Guard
	run := crashOf(1)
	guard.Waiting(requestOf(run), run)
	count := func() int { return len(guard.TakeReport(run.At, false).Strikes) }
	guard.Ejected(run.At, run.Upstream)
	if got := count(); got != 0 {
		t.Errorf("got %d strikes for a run that waits at an ejected upstream, want none", got)
	}
	guard.Ended(run.At, run.Upstream, 0)
	if got := count(); got != 1 {
		t.Errorf("got %d strikes for a run that waits at an upstream that can't be reached, want one", got)
	}
	guard.Succeeded(run.At.Add(time.Second), requestOf(run), run.Upstream, run.Incarnation)
	if got := guard.Standing(run.At.Add(time.Second), requestOf(run)).Crashes; got != 0 {
		t.Errorf("got %d crashes after the answer came, want none", got)
	}
	var other ident.Fingerprint = 2
	if got := guard.Standing(run.At, strike.Request{Fingerprint: other}).Allowance; got != strike.Free {
		t.Errorf("got allowance %v for another request, want %v", got, strike.Free)
	}
}

// TestTrialsOfTwoRequestsAreAtDifferentUpstreams guards against a sound request that runs alone
// beside one that crashes their upstream, so that the crash counts against both.
func TestTrialsOfTwoRequestsAreAtDifferentUpstreams(t *testing.T) {
	first, second := twoCrashes()
	other := strike.Request{Fingerprint: 2}
	for n := range 2 {
		run := crashOf(n)
		second.Broken(run.At, other, run)
	}
	began := crashOf(1).At.Add(time.Second)
	first.Apply(began, second.TakeReport(began, false))
	one, _ := first.ProposeTrial(began, strike.Request{Fingerprint: 1}, "e9", 1)
	two, _ := second.ProposeTrial(began, other, "e9", 1)
	first.Apply(began, second.TakeReport(began, false))
	second.Apply(began, strike.Report{Trials: []strike.Trial{one}})
	if first.MayBegin(began, one) == second.MayBegin(began, two) {
		t.Errorf("got %t for both of two trials at one upstream, want one that takes place", first.MayBegin(began, one))
	}
	if _, proposed := first.ProposeTrial(began.Add(time.Second), other, "e9", 1); proposed {
		t.Error("got a second trial proposed at an upstream with one, want none")
	}
}

// TestTrialThatSucceededLeavesItsUpstream guards against sound requests that are refused for
// seconds because others have run alone at their upstream.
func TestTrialThatSucceededLeavesItsUpstream(t *testing.T) {
	first, second := twoCrashes()
	other := strike.Request{Fingerprint: 2}
	for n := range 2 {
		second.Broken(crashOf(n).At, other, crashOf(n))
	}
	began := crashOf(1).At.Add(time.Second)
	first.ProposeTrial(began, strike.Request{Fingerprint: 1}, "e9", 1)
	first.Succeeded(began, strike.Request{Fingerprint: 1}, "e9", 1)
	second.Apply(began, first.TakeReport(began, false))
	later := began.Add(time.Second)
	trial, proposed := second.ProposeTrial(later, other, "e9", 1)
	if !proposed || !second.MayBegin(later, trial) {
		t.Errorf("got a trial at an upstream where another one succeeded that is proposed: %t, want one that takes place", proposed)
	}
}
