package quota

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// minAliveDelay is how long after a failure an answer has to come to show that the
	// upstream ran on: bytes of one that has ended may still be on their way.
	minAliveDelay = 250 * time.Millisecond
	// minFailureLifetime is the least time for which an upstream is treated as failed without
	// further reports. Its row expires before, or is written again. closedLifetime is used
	// instead if only closed connections indicate the failure.
	minFailureLifetime = 15 * time.Second
	closedLifetime     = 5 * time.Second
)

// lapse ends a failure on which there was no report for failureLifetime. The caller holds mu.
func (tracker *Tracker) lapse(now time.Time, state *coldState, rule ColdRule) {
	if !state.Failed || now.Sub(state.failedAt) < tracker.failureLifetime(state, rule) {
		return
	}
	next := state.Cold
	next.Failed = false
	tracker.setCold(now, state, next, 0)
	state.reported = false
}

// failureLifetime returns how long an upstream is treated as failed without further reports. It
// ends because a router without a share can't test the upstream itself. After it, each router
// may send one request; the time grows with the fleet so that these are at most half of the
// rate. The caller holds mu.
func (tracker *Tracker) failureLifetime(state *coldState, rule ColdRule) time.Duration {
	if state.closed {
		return closedLifetime
	}
	return max(minFailureLifetime, time.Duration(2*float64(len(tracker.fleet.routers))/rule.PerSecond*float64(time.Second)))
}

// Failed records that a connection to the upstream could not be opened, or broke. triedAt is
// when the connection, or the request on it, was begun.
func (tracker *Tracker) Failed(now time.Time, upstream registry.Upstream, triedAt time.Time) {
	if tracker == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if _, found := tracker.coldRule(upstream.Service); !found {
		return
	}
	state := tracker.ensureCold(keyOf(upstream))
	tracker.fail(now, state, upstream, triedAt)
	state.closed = false
	if !state.reported {
		state.sends, state.reported = failureSends, true
	}
}

// Closed records that the upstream closed all connections of this router, which were idle, and
// how many. It may have other reasons than an end, so that other routers aren't told.
func (tracker *Tracker) Closed(now time.Time, upstream registry.Upstream, connections int) {
	if tracker == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if _, found := tracker.coldRule(upstream.Service); !found {
		return
	}
	// Since when the process has ended is not known: no answer shows that it ran on.
	state := tracker.ensureCold(keyOf(upstream))
	if state.Failed {
		return
	}
	tracker.fail(now, state, upstream, time.Time{})
	state.closed, state.single = true, connections == 1
}

// Unsure reports whether the upstream closed the single connection that this router had to it, so that
// its process may have ended, and nothing has shown since whether it has.
func (tracker *Tracker) Unsure(upstream registry.Upstream) bool {
	if tracker == nil || tracker.coldCount.Load() == 0 {
		return false
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	state := tracker.colds[keyOf(upstream)]
	return state != nil && state.Failed && state.closed && state.single
}

// Runs records that the process behind a new connection said that it is the incarnation of the
// upstream, so that it closed connections, but has not ended.
func (tracker *Tracker) Runs(now time.Time, upstream registry.Upstream) {
	if tracker == nil || tracker.coldCount.Load() == 0 {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	state := tracker.colds[keyOf(upstream)]
	if state == nil || !state.Failed || !state.closed {
		return
	}
	next := state.Cold
	next.Failed, next.Source, next.SeenAt = false, ColdReturn, now
	tracker.setCold(now, state, next, 0)
}

// fail records a failure. The caller holds mu.
func (tracker *Tracker) fail(now time.Time, state *coldState, upstream registry.Upstream, triedAt time.Time) {
	state.probedAt, state.failedAt = time.Time{}, now
	if !state.Failed || triedAt.Before(state.triedAt) {
		state.triedAt = triedAt
	}
	next := Cold{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Until: state.Until, Failed: true, Source: ColdFailure, Version: upstream.Version, SeenAt: now}
	tracker.setCold(now, state, next, 0)
}

// Answered records an answer of the upstream to a request that was sent at sentAt.
// remaining is how much longer it is cold by the answer, nil if that doesn't say.
func (tracker *Tracker) Answered(now time.Time, upstream registry.Upstream, sentAt time.Time, remaining *ident.Milliseconds) {
	if tracker == nil {
		return
	}
	rule, found := tracker.coldRule(upstream.Service)
	if !found {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	identity := keyOf(upstream)
	last := tracker.contact(upstream)
	last.answeredAt, last.answeredSentAt = now, later(last.answeredSentAt, sentAt)
	state := tracker.colds[identity]
	if state == nil && (remaining == nil || *remaining <= 0) {
		return
	}
	state = tracker.ensureCold(identity)
	if next, known := state.answered(now, sentAt, remaining, rule); known {
		next.Version = upstream.Version
		sends := sendsPerChange
		if next.Source == ColdReturn && !state.reported {
			// Others don't know of the failure.
			sends = 0
		}
		tracker.setCold(now, state, next, sends)
	}
	state.reported = state.reported && state.Failed
}

// answered returns what is known once an answer has come, and whether that is anything new.
func (state *coldState) answered(now, sentAt time.Time, remaining *ident.Milliseconds, rule ColdRule) (Cold, bool) {
	next := Cold{Upstream: state.Upstream, Incarnation: state.Incarnation, Source: ColdHeader, SeenAt: now}
	switch {
	case remaining != nil && *remaining > 0:
		next.Until = now.Add(remaining.Duration())
		return next, true
	case remaining != nil:
		return next, !sentAt.Before(state.SeenAt)
	case !state.Failed, !showsAlive(now, sentAt, state.SeenAt):
		return Cold{}, false
	}
	next.Source, next.Until = ColdReturn, now.Add(rule.Start)
	if state.closed && state.single {
		// No attempt has failed.
		next.Until = state.Until
		return next, true
	}
	if sentAt.Before(state.triedAt) {
		// A process that answers a request from before the attempt that failed has run
		// all along.
		next.Until = state.Until
	}
	return next, true
}

// showsAlive reports whether an answer shows that an upstream ran after a failure: the request
// was sent since, or the answer can't have been on its way before.
func showsAlive(answeredAt, sentAt, failedAt time.Time) bool {
	return !sentAt.Before(failedAt) || !answeredAt.Before(failedAt.Add(minAliveDelay))
}
