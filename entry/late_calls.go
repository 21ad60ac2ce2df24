package entry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/strike"
)

const (
	// defaultLateTime is how long the store may still perform a call that it has not answered.
	defaultLateTime = 30 * time.Second
	// maxLateStrikes limits the strikes in the calls that are kept.
	maxLateStrikes = 4096
)

// lateCalls holds changes to rows of strikes that calls without an answer were to make. The store may
// perform such a call behind later ones, so that the rows are looked at again when it no longer may.
// The zero value is empty and ready to use.
type lateCalls struct {
	// lateTime is how long the store may still perform a call; zero means defaultLateTime.
	lateTime time.Duration

	calls   []lateCall
	strikes int
}

// lateCall is a call that the store performs until then, if it does.
type lateCall struct {
	changes strike.Unsaved
	until   time.Time
}

// size returns how many strikes the call names.
func (call lateCall) size() int { return len(call.changes.Write) + len(call.changes.Remove) }

// add records a call that got no answer until now. The oldest calls are dropped beyond a bound.
func (calls *lateCalls) add(now time.Time, changes strike.Unsaved) {
	lateTime := calls.lateTime
	if lateTime == 0 {
		lateTime = defaultLateTime
	}
	call := lateCall{changes: changes, until: now.Add(lateTime)}
	calls.calls = append(calls.calls, call)
	calls.strikes += call.size()
	for calls.strikes > maxLateStrikes && len(calls.calls) > 1 {
		calls.drop()
	}
}

// due reports whether there are calls that the store no longer performs at the time now.
func (calls *lateCalls) due(now time.Time) bool {
	return len(calls.calls) > 0 && !now.Before(calls.calls[0].until)
}

// take drops the calls that are due and returns their changes.
func (calls *lateCalls) take(now time.Time) strike.Unsaved {
	var taken strike.Unsaved
	for calls.due(now) {
		taken.Add(calls.calls[0].changes)
		calls.drop()
	}
	return taken
}

// drop drops the oldest call.
func (calls *lateCalls) drop() {
	calls.strikes -= calls.calls[0].size()
	calls.calls = calls.calls[1:]
}
