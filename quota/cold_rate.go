package quota

import (
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
)

// probeInterval is how long a request to an upstream that has failed may remain without
// an answer before this router sends another one there. A paused upstream gets all that
// wait for it at once when it resumes.
const probeInterval = 5 * time.Second

// cold returns the state of an upstream that is cold, filled up to now, or nil. The caller
// holds mu.
func (tracker *Tracker) cold(now time.Time, upstream registry.Upstream) *coldState {
	if len(tracker.colds) == 0 {
		return nil
	}
	state := tracker.colds[keyOf(upstream)]
	if state == nil || !state.inForce(now) {
		return nil
	}
	rule, found := tracker.coldRule(upstream.Service)
	if !found {
		return nil
	}
	tracker.lapse(now, state, rule)
	if !state.inForce(now) {
		return nil
	}
	tracker.fillCold(now, state, rule)
	return state
}

// fillCold adds the tokens of the time since the last call, and sets this router's share.
// The caller holds mu.
func (tracker *Tracker) fillCold(now time.Time, state *coldState, rule ColdRule) {
	tracker.settleFleet(now)
	if !state.began {
		state.fill(now)
	}
	if state.began || state.rule != rule || state.fleetRevision != tracker.fleet.revision {
		state.rule, state.fleetRevision = rule, tracker.fleet.revision
		division := tracker.fleet.part(state.Upstream, rule)
		state.share, state.saved = division.perSecond, division.saved
		state.tokens = min(state.tokens, state.saved)
	}
	if state.began {
		state.began = false
		state.tokens = tracker.firstColdTokens(state)
		state.fill(now)
	}
}

// fill adds the tokens of the time since the last call.
func (state *coldState) fill(now time.Time) {
	if elapsed := now.Sub(state.filledAt); elapsed > 0 {
		state.tokens = min(state.tokens+state.share*elapsed.Seconds(), state.saved)
		state.filledAt = now
	}
}

// firstColdTokens returns how much of a request this router had saved up when an upstream
// became cold. The routers take turns, but one that has just sent a request there waits. The
// caller holds mu.
func (tracker *Tracker) firstColdTokens(state *coldState) float64 {
	tokens := tracker.fleet.initialTokens(state.Upstream, state.rule)
	if last := tracker.contacts[state.Upstream]; last != nil {
		tokens = min(tokens, state.share*state.filledAt.Sub(last.sentAt).Seconds())
	}
	return tokens
}

// allows reports whether the rate of a cold upstream leaves this router a request now.
func (state *coldState) allows(now time.Time) bool {
	if state.Failed && now.Before(state.probedAt.Add(probeInterval)) {
		return false
	}
	return state.tokens >= 1 || state.probesSingle()
}

// probesSingle reports whether a request may find out whether an upstream that closed a single
// connection has ended, without a share of its rate.
func (state *coldState) probesSingle() bool {
	return state.Failed && state.closed && state.single && state.probedAt.IsZero()
}

// take counts a request.
func (state *coldState) take(now time.Time) {
	state.tokens--
	if state.Failed {
		state.probedAt = now
	}
}

// nextAt returns when the upstream takes a request from this router, or, if it has no
// share, from another one.
func (state *coldState) nextAt(now time.Time) time.Time {
	rate, missing := state.share, 1-state.tokens
	if rate == 0 {
		rate, missing = state.rule.PerSecond, 1
	}
	return now.Add(time.Duration(max(missing, 0) / rate * float64(time.Second)))
}

// MaySend reports whether a request that Take allowed at takenAt may still be sent: if the
// upstream has become cold since, it is counted once more.
func (tracker *Tracker) MaySend(now time.Time, upstream registry.Upstream, takenAt time.Time) bool {
	if tracker == nil || tracker.coldCount.Load() == 0 {
		return true
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	cold := tracker.cold(now, upstream)
	if cold == nil || !cold.becameAt.After(takenAt) {
		return true
	}
	if !cold.allows(now) {
		return false
	}
	cold.take(now)
	return true
}
