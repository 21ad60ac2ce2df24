package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// sendsPerStrike is the number of messages to other routers that carry a new
	// strike, and maxRepeated the number of older strikes in a message that
	// repeats them.
	sendsPerStrike = 2
	maxRepeated    = 48
	// repeatTime is how long a strike that this process saw is repeated, even if
	// it is the only one of its request.
	repeatTime = 10 * time.Second
	// maxPerMessage limits the strikes, and the successes, in one message.
	maxPerMessage = 200
)

// Success notifies other routers that a request with strikes succeeded.
type Success struct {
	Fingerprint ident.Fingerprint
	At          time.Time
}

// Report is what routers exchange about strikes. Trials are the runs alone that are
// proposed or have ended. Saved says that the strikes are rows of the store.
type Report struct {
	Strikes   []Strike
	Successes []Success
	Trials    []Trial
	Saved     bool
}

// unsent is an item that sends further messages have to carry.
type unsent[T any] struct {
	item  T
	sends int
}

// Pending reports whether there is anything new for other routers.
func (guard *Guard) Pending() bool {
	if guard == nil {
		return false
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return len(guard.unsentStrikes)+len(guard.unsentSuccesses)+len(guard.unsentTrials) > 0
}

// TakeReport returns what the next message to the other routers has to say. With
// repeat it also holds some of the strikes of requests that have more than one or
// a recent one, which makes up for lost messages.
func (guard *Guard) TakeReport(now time.Time, repeat bool) Report {
	if guard == nil {
		return Report{}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var report Report
	report.Strikes, guard.unsentStrikes = take(guard.unsentStrikes)
	report.Successes, guard.unsentSuccesses = take(guard.unsentSuccesses)
	report.Trials, guard.unsentTrials = take(guard.unsentTrials)
	if repeat {
		report.Strikes = append(report.Strikes, guard.repeated(now)...)
	}
	return report
}

// take returns the first items of queue, at most maxPerMessage, and what is left
// of the queue once they are sent.
func take[T any](queue []unsent[T]) ([]T, []unsent[T]) {
	var items []T
	var rest []unsent[T]
	for i, next := range queue {
		if i >= maxPerMessage {
			rest = append(rest, queue[i:]...)
			break
		}
		items = append(items, next.item)
		if next.sends > 1 {
			rest = append(rest, unsent[T]{item: next.item, sends: next.sends - 1})
		}
	}
	return items, rest
}

// repeated returns some of the strikes that are repeated, other ones each time.
// The caller holds mu.
func (guard *Guard) repeated(now time.Time) []Strike {
	var repeated []Strike
	for fingerprint, known := range guard.tracker.requests {
		if len(repeated) >= maxRepeated {
			break
		}
		if known.strikes() >= aloneStrikes || known.ownSince(now.Add(-repeatTime)) {
			repeated = append(repeated, guard.tracker.Strikes(now, fingerprint)...)
		}
	}
	return repeated
}

// All returns all strikes, for a router that has just started, at most
// maxPerMessage in each report.
func (guard *Guard) All(now time.Time) []Report {
	if guard == nil {
		return nil
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var reports []Report
	var report Report
	for fingerprint := range guard.tracker.requests {
		report.Strikes = append(report.Strikes, guard.tracker.Strikes(now, fingerprint)...)
		if len(report.Strikes) >= maxPerMessage {
			reports = append(reports, report)
			report = Report{}
		}
	}
	if len(report.Strikes) > 0 {
		reports = append(reports, report)
	}
	return reports
}
