package quota

import (
	"slices"
	"time"
)

const (
	// maxFailureTime is how long before the failure that another router tells of its attempt
	// may have begun.
	maxFailureTime = 5 * time.Second
	// minColdChange is the least change of a deadline that other routers are told of.
	minColdChange = 500 * time.Millisecond
	// failureSends is how many messages carry a failure. Routers that miss the message detect
	// the failure themselves.
	failureSends = 1
)

// ApplyColds records what another router knows, and reports whether any of it is new.
func (tracker *Tracker) ApplyColds(now time.Time, colds []Cold) bool {
	if tracker == nil {
		return false
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.ColdRule == nil {
		return false
	}
	isNew := false
	for _, cold := range colds {
		if cold.SeenAt.After(now) {
			cold.SeenAt = now
		}
		sends := 0
		if returned, found := tracker.returned(cold); found {
			cold, sends = returned, sendsPerChange
		}
		identity := key{upstream: cold.Upstream, incarnation: cold.Incarnation}
		state := tracker.colds[identity]
		switch {
		case state == nil && !cold.inForce(now),
			state == nil && len(tracker.colds) >= maxColds,
			state != nil && !cold.SeenAt.After(state.SeenAt):
			continue
		}
		state = tracker.ensureCold(identity)
		if cold.Failed {
			cold.Until = later(cold.Until, state.Until)
			state.failedAt, state.closed = now, false
			if !state.Failed {
				state.triedAt = cold.SeenAt.Add(-maxFailureTime)
			}
		}
		if tracker.setCold(now, state, cold, sends) {
			isNew = true
		}
		state.reported = state.reported || cold.Failed
	}
	return isNew
}

// returned returns, for a failure that another router has seen, what follows from an answer
// that came since: the upstream is back. It reports false if there is none. The caller holds
// mu.
func (tracker *Tracker) returned(failed Cold) (Cold, bool) {
	last := tracker.contacts[failed.Upstream]
	if !failed.Failed || last == nil || !last.answeredAt.After(failed.SeenAt) || !showsAlive(last.answeredAt, last.answeredSentAt, failed.SeenAt) {
		return Cold{}, false
	}
	rule, found := tracker.coldRule(last.service)
	if !found {
		return Cold{}, false
	}
	failed.Failed, failed.Source = false, ColdReturn
	failed.Until, failed.SeenAt = last.answeredAt.Add(rule.Start), last.answeredAt
	return failed, true
}

// TakeColds returns the states that changed lately, which the next messages to other
// routers have to say, at most so many.
func (tracker *Tracker) TakeColds(most int) []Cold {
	return tracker.selectColds(most, func(state *coldState) bool {
		if state.sends == 0 {
			return false
		}
		state.sends--
		return true
	})
}

// AllColds returns the states in force, the latest first, at most maxPerMessage, for a router
// that has just started.
func (tracker *Tracker) AllColds(now time.Time) []Cold {
	colds := tracker.selectColds(maxColds, func(state *coldState) bool { return state.inForce(now) })
	slices.SortFunc(colds, func(a, b Cold) int { return b.SeenAt.Compare(a.SeenAt) })
	return colds[:min(len(colds), maxPerMessage)]
}

// DropFailures has this router not report failures that others, to which it would, know from
// another one.
func (tracker *Tracker) DropFailures(reported []Cold) {
	if tracker == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, cold := range reported {
		state := tracker.colds[key{upstream: cold.Upstream, incarnation: cold.Incarnation}]
		if cold.Failed && state != nil && state.Failed {
			state.sends = 0
		}
	}
}

// selectColds returns the states for which selects reports true, at most so many.
func (tracker *Tracker) selectColds(most int, selects func(state *coldState) bool) []Cold {
	if tracker == nil {
		return nil
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var colds []Cold
	for _, state := range tracker.colds {
		if len(colds) < most && selects(state) {
			colds = append(colds, state.Cold)
		}
	}
	return colds
}
