package retry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/result"
)

// Attempt describes how the last attempt of a request ended.
type Attempt struct {
	Code       result.Code
	Idempotent bool
	Deadline   time.Time
	// Tried counts the upstreams tried so far; a caller may leave out those that
	// declined the request. Candidates counts the available upstreams.
	Tried      int
	Candidates int
	// Runs counts the upstreams that may have run the request. MaxRuns limits
	// them; zero means no limit.
	Runs    int
	MaxRuns int
}

// Action says what to do after a failed attempt.
type Action int

// The actions after a failed attempt.
const (
	// Stop returns the last result code to the caller.
	Stop Action = iota
	// Unbudgeted sends the request to another upstream without using the retry
	// budget, because no work was done for it yet.
	Unbudgeted
	// Budgeted sends an idempotent request to another upstream if the retry
	// budget allows it.
	Budgeted
)

// MaxTries is the maximum number of upstreams that one request may fail on.
const MaxTries = 5

// Next returns the action to take after attempt. It doesn't check the budget:
// for Budgeted, the caller has to call Budget.Spend.
func Next(now time.Time, attempt Attempt) Action {
	if !now.Before(attempt.Deadline) || attempt.Tried >= min(MaxTries, attempt.Candidates) {
		return Stop
	}
	if attempt.Code.RetryOnAnother() {
		return Unbudgeted
	}
	if !attempt.Idempotent || attempt.MaxRuns > 0 && attempt.Runs >= attempt.MaxRuns {
		return Stop
	}
	switch attempt.Code {
	case result.UpstreamFailed, result.UpstreamCrashed, result.OutcomeUnknown:
		return Budgeted
	}
	return Stop
}
