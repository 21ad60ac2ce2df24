package retry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
)

var start = time.Unix(1000, 0)

func ExampleBudget_Spend() {
	budget := retry.Budget{Share: 0.2}
	for range 10 {
		budget.CountRequest(start)
	}
	retries := 0
	for budget.Spend(start) {
		retries++
	}
	fmt.Println(retries)
	// Output: 5
}

func TestNext(t *testing.T) {
	later := start.Add(time.Minute)
	for _, test := range []struct {
		name    string
		attempt retry.Attempt
		want    retry.Action
	}{
		{"declined", retry.Attempt{Code: result.OverBound, Deadline: later, Tried: 1, Candidates: 3}, retry.Unbudgeted},
		{"leaving", retry.Attempt{Code: result.Leaving, Deadline: later, Tried: 1, Candidates: 3}, retry.Unbudgeted},
		{"unreachable", retry.Attempt{Code: result.UpstreamUnreachable, Deadline: later, Tried: 2, Candidates: 3}, retry.Unbudgeted},
		{"every candidate tried", retry.Attempt{Code: result.OverBound, Deadline: later, Tried: 3, Candidates: 3}, retry.Stop},
		{"maximum tries reached", retry.Attempt{Code: result.OverBound, Deadline: later, Tried: retry.MaxTries, Candidates: 18}, retry.Stop},
		{"deadline passed", retry.Attempt{Code: result.OverBound, Deadline: start, Tried: 1, Candidates: 3}, retry.Stop},
		{"failed, idempotent", retry.Attempt{Code: result.UpstreamFailed, Idempotent: true, Deadline: later, Tried: 1, Candidates: 3}, retry.Budgeted},
		{"failed, not idempotent", retry.Attempt{Code: result.UpstreamFailed, Deadline: later, Tried: 1, Candidates: 3}, retry.Stop},
		{"unknown, idempotent", retry.Attempt{Code: result.OutcomeUnknown, Idempotent: true, Deadline: later, Tried: 1, Candidates: 3}, retry.Budgeted},
		{"unknown, not idempotent", retry.Attempt{Code: result.OutcomeUnknown, Deadline: later, Tried: 1, Candidates: 3}, retry.Stop},
		{"truncated answer, idempotent", retry.Attempt{Code: result.AnswerCut, Idempotent: true, Deadline: later, Tried: 1, Candidates: 3}, retry.Stop},
		{"crashes upstreams", retry.Attempt{Code: result.CrashingRequest, Idempotent: true, Deadline: later, Tried: 1, Candidates: 3}, retry.Stop},
		{"bad input", retry.Attempt{Code: result.MalformedBody, Idempotent: true, Deadline: later, Tried: 1, Candidates: 3}, retry.Stop},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := retry.Next(start, test.attempt); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestNonIdempotentRetriedOnlyIfNotRun checks every registered code: a request
// that is not idempotent is sent again only after a code with outcome NotRun.
func TestNonIdempotentRetriedOnlyIfNotRun(t *testing.T) {
	for _, entry := range result.Entries() {
		attempt := retry.Attempt{Code: entry.Code, Deadline: start.Add(time.Minute), Tried: 1, Candidates: 3}
		if got := retry.Next(start, attempt); got != retry.Stop && entry.Outcome != result.NotRun {
			t.Errorf("got %v after %s, want Stop", got, entry.Name)
		}
	}
}

// TestRetriesStayWithinBudget lets every upstream fail, so that each request is
// retried as often as the budget allows, and checks the limit on all attempts.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.Budget{Share: rapid.SampledFrom([]float64{0, 0.1, 0.2, 1}).Draw(t, "share")}
		maxGapMs := rapid.SampledFrom([]int{10, 300, 3000}).Draw(t, "maxGapMs")
		now, attempts := start, 0
		for requests := range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, maxGapMs).Draw(t, "gapMs")) * time.Millisecond)
			budget.CountRequest(now)
			attempts++
			for tried := 1; tried < retry.MaxTries && budget.Spend(now); tried++ {
				attempts++
			}
			windows := 1 + now.Sub(start).Seconds()/retry.Window.Seconds()
			maxAttempts := float64(requests+1)*(1+budget.Share) + retry.DefaultSlack*windows
			if float64(attempts) > maxAttempts {
				t.Fatalf("got %d attempts for %d requests in %v, want at most %v", attempts, requests+1, now.Sub(start), maxAttempts)
			}
		}
	})
}

// TestRetriesOfAnyWindowStayWithinBudget guards against retries that are forgotten before they are a
// Window old, so that more than the budget come in a period of that length.
func TestRetriesOfAnyWindowStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.Budget{Share: 0.2, Slack: 5}
		maxGapMs := rapid.SampledFrom([]int{20, 300, 3000}).Draw(t, "maxGapMs")
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, maxGapMs).Draw(t, "gapMs")) * time.Millisecond)
			budget.CountRequest(now)
			requests = append(requests, now)
			for rapid.Bool().Draw(t, "failed") && budget.Spend(now) {
				retries = append(retries, now)
				from := now.Add(-retry.Window)
				most := budget.Share*float64(countFrom(requests, from)) + budget.Slack
				if got := countFrom(retries, from); float64(got) > most {
					t.Fatalf("got %d retries in the window up to %v, want at most %v", got, now.Sub(start), most)
				}
			}
		}
	})
}

// countFrom returns how many times are not before from.
func countFrom(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// TestFailureBurst checks that requests that all fail at the same time get their
// share of retries plus the slack, and no more.
func TestFailureBurst(t *testing.T) {
	budget := retry.Budget{Share: 0.2}
	attempts := 0
	for range 1000 {
		budget.CountRequest(start)
		attempts++
		for budget.Spend(start) {
			attempts++
		}
	}
	if got, want := attempts, 1000+200+retry.DefaultSlack; got != want {
		t.Errorf("got %d attempts, want %d", got, want)
	}
}
