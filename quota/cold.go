package quota

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// probeInterval is how long a request to an upstream that has failed may remain without
	// an answer before this router sends another one there. A paused upstream gets all that
	// wait for it at once when it resumes.
	probeInterval = 5 * time.Second
	// minAliveDelay is how long after a failure an answer has to come to show that the
	// upstream ran on: bytes of one that has ended may still be on their way.
	minAliveDelay = 250 * time.Millisecond
	// minFailureLifetime is for how long at least an upstream is treated as failed without
	// news. Its row expires before, or is written again. closedLifetime is the same for one
	// that closed its connections.
	minFailureLifetime = 15 * time.Second
	closedLifetime     = 5 * time.Second
	// maxFailureTime is how long before the failure that another router tells of its attempt
	// may have begun.
	maxFailureTime = 5 * time.Second
	// minColdChange is the least change of a deadline that other routers are told of.
	minColdChange = 500 * time.Millisecond
	// failureSends is how many messages carry a failure. Routers that miss the message detect
	// the failure themselves.
	failureSends = 1
)

// ColdRule says for how long the upstreams of a service are cold after a start, and how
// many requests they may get meanwhile. The zero value means that they are never cold.
type ColdRule struct {
	// Start is how long an upstream is cold after it has started.
	Start time.Duration
	// PerSecond is how many requests a second a cold upstream takes. In no second may it
	// get more than PerSecond times Overage, plus Slack. A rule with an Overage and without
	// PerSecond is that of a router that has no configuration yet.
	PerSecond float64
	Overage   float64
	Slack     float64
}

// inForce reports whether upstreams may be cold.
func (rule ColdRule) inForce() bool {
	return rule.Start > 0 && rule.PerSecond > 0 && rule.Overage > 0
}

// ColdSource says from what a router knows that an upstream is cold, or is not.
type ColdSource int

// The sources.
const (
	// ColdRow is the upstream's row.
	ColdRow ColdSource = iota
	// ColdStart is a new incarnation, or a row that was absent before.
	ColdStart
	// ColdFailure is a connection that could not be opened or broke.
	ColdFailure
	// ColdReturn is an answer after a failure.
	ColdReturn
	// ColdHeader is the header of an answer.
	ColdHeader
	// ColdEvacuation is the end of an evacuation of the upstream's zone.
	ColdEvacuation
)

// String returns the name of the source, as logged.
func (source ColdSource) String() string {
	names := [...]string{"row", "start", "failure", "return", "header", "evacuation"}
	if source < 0 || int(source) >= len(names) {
		return "unknown"
	}
	return names[source]
}

// Cold is what is known of whether one incarnation of an upstream is cold.
type Cold struct {
	Upstream    ident.UpstreamID
	Incarnation registry.Incarnation
	// Until is when the upstream is no longer cold; a time that is past means that it
	// is not. Failed says that it could not be reached, or broke off, and has not answered
	// since: it is cold until it has answered, and for ColdRule.Start from then on.
	Until  time.Time
	Failed bool
	Source ColdSource
	// Version is that of the row that says so, or the last one before.
	Version ident.Revision
	// SeenAt is the time as of which this is known: later knowledge replaces earlier one.
	SeenAt time.Time
}

// inForce reports whether the upstream is cold at the time now.
func (cold *Cold) inForce(now time.Time) bool { return cold.Failed || now.Before(cold.Until) }

// coldState is what is known of one incarnation, and this router's part of its rate.
type coldState struct {
	Cold
	rule ColdRule
	// share is the number of requests a second that this router may send, and tokens how
	// many it may send at the time filledAt, at most saved. They hold for fleetRevision.
	share         float64
	saved         float64
	tokens        float64
	filledAt      time.Time
	fleetRevision uint64
	// began is set until the tokens at filledAt are determined.
	began bool
	// becameAt is when the upstream became cold.
	becameAt time.Time
	// probedAt is when a request was sent after a failure, unless its end is known.
	probedAt time.Time
	// failedAt is when the last failure was recorded. closed is set if connections were
	// found closed, and nothing else is known.
	failedAt time.Time
	closed   bool
	// single is set with closed if only one connection was found closed: the upstream may
	// keep connections for less time than it states. One request finds out.
	single bool
	// triedAt is when the first attempt that failed was begun.
	triedAt time.Time
	// reported is set if other routers know of a failure since the last answer. Another one
	// is not reported: a router that can't reach the upstream knows nothing new.
	reported bool
	// sends is how many more messages carry the state.
	sends int
}

// contact is when this router last sent a request to an upstream, whatever its incarnation,
// and last got an answer. answeredSentAt is when the latest of the answered requests was sent.
type contact struct {
	service        ident.ServiceName
	sentAt         time.Time
	answeredAt     time.Time
	answeredSentAt time.Time
}

// readRow is what is known of the reads of an upstream's row.
type readRow struct {
	incarnation registry.Incarnation
	version     ident.Revision
	// sentAt is when the call that read it was sent: the store held no later version then, or
	// not yet.
	sentAt time.Time
	// cold is set if that version says that the upstream is cold.
	cold bool
}

// coldRule returns the rule for a service.
func (tracker *Tracker) coldRule(service ident.ServiceName) (ColdRule, bool) {
	if tracker == nil || tracker.ColdRule == nil {
		return ColdRule{}, false
	}
	rule := tracker.ColdRule(service)
	return rule, rule.inForce()
}

// cold returns the state of an upstream that is cold, filled up to now, or nil. The caller
// holds mu.
func (tracker *Tracker) cold(now time.Time, upstream registry.Upstream) *coldState {
	if len(tracker.colds) == 0 {
		return nil
	}
	state := tracker.colds[key{upstream: upstream.ID, incarnation: upstream.Incarnation}]
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

// lapse ends a failure of which nothing was heard for failureLifetime. The caller holds mu.
func (tracker *Tracker) lapse(now time.Time, state *coldState, rule ColdRule) {
	if !state.Failed || now.Sub(state.failedAt) < tracker.failureLifetime(state, rule) {
		return
	}
	next := state.Cold
	next.Failed = false
	tracker.setCold(now, state, next, 0)
	state.reported = false
}

// failureLifetime returns for how long an upstream is treated as failed without news. A router without a share can't find out by itself, and must not be kept from an
// upstream for good that only it could not reach. The fleet is large enough then that all
// such routers send at most half of the rate. The caller holds mu.
func (tracker *Tracker) failureLifetime(state *coldState, rule ColdRule) time.Duration {
	if state.closed {
		return closedLifetime
	}
	return max(minFailureLifetime, time.Duration(2*float64(len(tracker.fleet.routers))/rule.PerSecond*float64(time.Second)))
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

// ensureCold returns the state of an incarnation, which it creates if necessary. The caller
// holds mu.
func (tracker *Tracker) ensureCold(identity key) *coldState {
	if tracker.colds == nil {
		tracker.colds = make(map[key]*coldState)
	}
	state := tracker.colds[identity]
	if state == nil {
		state = &coldState{Cold: Cold{Upstream: identity.upstream, Incarnation: identity.incarnation}}
		tracker.colds[identity] = state
		tracker.coldCount.Store(int64(len(tracker.colds)))
	}
	return state
}

// contact returns the contact with an upstream, which it creates if necessary. The caller
// holds mu.
func (tracker *Tracker) contact(upstream registry.Upstream) *contact {
	if tracker.contacts == nil {
		tracker.contacts = make(map[ident.UpstreamID]*contact)
	}
	if tracker.contacts[upstream.ID] == nil {
		tracker.contacts[upstream.ID] = &contact{service: upstream.Service}
	}
	return tracker.contacts[upstream.ID]
}

// setCold replaces what is known of an incarnation, and reports whether other routers have
// to know: whether it is cold, or the deadline, is another one. sends is how many messages
// say so then. The caller holds mu.
func (tracker *Tracker) setCold(now time.Time, state *coldState, next Cold, sends int) bool {
	before := state.Cold
	began := !before.inForce(now) && next.inForce(now)
	changed := before.inForce(now) != next.inForce(now) || before.Failed != next.Failed
	if !changed && !next.Failed {
		change := next.Until.Sub(before.Until)
		changed = next.inForce(now) && max(change, -change) >= minColdChange
	}
	unanswered := before.Failed && !state.probedAt.IsZero()
	state.Cold = next
	if began {
		state.becameAt = now
		state.began, state.filledAt = true, now
		state.probedAt = time.Time{}
	}
	if before.Failed && !next.Failed {
		if unanswered {
			// The request that waited for the upstream counts in this second.
			state.tokens, state.filledAt = min(state.tokens, 0), now
		}
		state.probedAt = time.Time{}
	}
	if !changed {
		return false
	}
	state.sends = sends
	if tracker.OnCold != nil {
		tracker.OnCold(now, next)
	}
	return true
}

// ObserveRow records a version of an upstream's row that this router has read, by a call to the
// store that was sent at sentAt. remaining is how much longer the upstream is cold by it, nil
// if it doesn't say.
func (tracker *Tracker) ObserveRow(now, sentAt time.Time, upstream registry.Upstream, remaining *ident.Milliseconds) {
	if tracker == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.ColdRule == nil || tracker.ColdRule(upstream.Service).Overage <= 0 {
		return
	}
	last, known := tracker.rows[upstream.ID]
	known = known && last.incarnation == upstream.Incarnation
	if known && upstream.Version <= last.version {
		return
	}
	if tracker.rows == nil {
		tracker.rows = make(map[ident.UpstreamID]readRow)
	}
	cold := remaining != nil && *remaining > 0
	tracker.rows[upstream.ID] = readRow{incarnation: upstream.Incarnation, version: upstream.Version, sentAt: sentAt, cold: cold}
	if remaining == nil {
		return
	}
	// The row was written after the call that read the version before it was sent. When the
	// store answered that call is not known.
	var wroteAfter time.Time
	if known && last.version.Era() == upstream.Version.Era() {
		wroteAfter = last.sentAt
	}
	identity := key{upstream: upstream.ID, incarnation: upstream.Incarnation}
	state := tracker.colds[identity]
	if state == nil && !cold {
		return
	}
	state = tracker.ensureCold(identity)
	later := !wroteAfter.IsZero() && !wroteAfter.Before(state.SeenAt)
	next := Cold{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Source: ColdRow, Version: upstream.Version, SeenAt: wroteAfter}
	if cold {
		next.Until, next.SeenAt = now.Add(remaining.Duration()), now
	}
	longer := cold && !state.Failed && next.Until.After(state.Until)
	if !later && !longer {
		return
	}
	sends := sendsPerChange
	if _, listed := tracker.listed[identity]; !known && !listed {
		// Other routers learn of a new incarnation with the change of the upstream.
		sends = 0
	}
	tracker.setCold(now, state, next, sends)
}

// Started records that an incarnation of an upstream is listed that was not before: it has
// just started, or was absent.
func (tracker *Tracker) Started(now time.Time, upstream registry.Upstream) {
	tracker.mark(now, ColdStart, upstream)
}

// MarkCold records that the upstreams are cold as if they had started now, since an
// evacuation of their zone has ended. Each router learns of that by itself.
func (tracker *Tracker) MarkCold(now time.Time, upstreams []registry.Upstream) {
	for _, upstream := range upstreams {
		tracker.mark(now, ColdEvacuation, upstream)
	}
}

// mark records that an upstream is cold as if it had started now.
func (tracker *Tracker) mark(now time.Time, source ColdSource, upstream registry.Upstream) {
	if tracker == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	rule, found := tracker.coldRule(upstream.Service)
	if !found {
		return
	}
	row := tracker.rows[upstream.ID]
	if source == ColdStart && row.cold && row.incarnation == upstream.Incarnation && row.version == upstream.Version {
		// The row says it more exactly.
		return
	}
	state := tracker.ensureCold(key{upstream: upstream.ID, incarnation: upstream.Incarnation})
	if state.Failed {
		return
	}
	next := Cold{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Until: now.Add(rule.Start), Source: source, Version: upstream.Version, SeenAt: now}
	tracker.setCold(now, state, next, 0)
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
	state := tracker.ensureCold(key{upstream: upstream.ID, incarnation: upstream.Incarnation})
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
	state := tracker.ensureCold(key{upstream: upstream.ID, incarnation: upstream.Incarnation})
	if state.Failed {
		return
	}
	tracker.fail(now, state, upstream, time.Time{})
	state.closed, state.single = true, connections == 1
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
	identity := key{upstream: upstream.ID, incarnation: upstream.Incarnation}
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

// maxColds limits the incarnations of which states are held.
const maxColds = 8192

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

// AllColds returns the states in force, the latest first, at most maxPerMessage, for a router that has just started.
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

// ColdUntil returns whether the upstream is cold, and its deadline, the zero time if it has
// not answered since a failure.
func (tracker *Tracker) ColdUntil(now time.Time, upstream registry.Upstream) (time.Time, bool) {
	if tracker == nil {
		return time.Time{}, false
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	state := tracker.cold(now, upstream)
	if state == nil {
		return time.Time{}, false
	}
	return state.Until, true
}

// CountCold returns the number of upstreams that are cold.
func (tracker *Tracker) CountCold(now time.Time) int64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	count := int64(0)
	for _, state := range tracker.colds {
		if state.inForce(now) {
			count++
		}
	}
	return count
}

// retainColds forgets states that say nothing any more, and all of incarnations that are not
// listed. The caller holds mu.
func (tracker *Tracker) retainColds(now time.Time, present map[key]ident.ServiceName) {
	for identity, state := range tracker.colds {
		service, listed := present[identity]
		if rule, found := tracker.coldRule(service); listed && found {
			tracker.lapse(now, state, rule)
		} else if listed && tracker.ColdRule(service).Overage <= 0 {
			// Without a configuration yet the state is kept.
			delete(tracker.colds, identity)
			continue
		}
		over := !state.inForce(now) && state.sends == 0 && !state.reported
		if over || !listed && now.Sub(state.SeenAt) > unlistedLifetime {
			delete(tracker.colds, identity)
		}
	}
	tracker.coldCount.Store(int64(len(tracker.colds)))
	ids := make(map[ident.UpstreamID]struct{}, len(present))
	for identity := range present {
		ids[identity.upstream] = struct{}{}
	}
	for id := range tracker.contacts {
		if _, listed := ids[id]; !listed {
			delete(tracker.contacts, id)
		}
	}
	for id, row := range tracker.rows {
		if _, listed := present[key{upstream: id, incarnation: row.incarnation}]; !listed {
			delete(tracker.rows, id)
		}
	}
}
