package retry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/result"
)

// Attempt describes how the last try of a request ended.
type Attempt struct {
	Code       result.Code
	Idempotent bool
	Deadline   time.Time
	// Tried and Candidates count the upstreams tried and known.
	Tried      int
	Candidates int
	// Runs counts the upstreams that may have run the request, and MaxRuns
	// bounds them; a MaxRuns of zero is no bound.
	Runs    int
	MaxRuns int
}

// Action says what to do after a try.
type Action int

// The actions after a try.
const (
	// Stop gives the caller the last code.
	Stop Action = iota
	// Unbudgeted sends the request to another upstream without spending the
	// budget: it was declined before any work was done for it.
	Unbudgeted
	// Budgeted sends an idempotent request to another upstream if the budget
	// allows it.
	Budgeted
)

// MaxTries is the most upstreams on which one request may be lost.
const MaxTries = 5

// Next returns what to do after attempt at the time now.
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
