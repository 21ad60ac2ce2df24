package quota

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// maxColds limits the incarnations of which states are held.
const maxColds = 8192

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

// ColdUntil reports whether the upstream is cold, and the last known deadline. While the
// upstream has failed and not answered, it is cold regardless of that deadline, which may be
// zero or past.
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

// retainColds removes states that no longer matter: those that are not in force and need no
// further report, those of services without a cold rule, and those of incarnations that have
// been unlisted for unlistedLifetime. A listed state is kept while the configuration is not
// loaded yet. The caller holds mu.
func (tracker *Tracker) retainColds(now time.Time, present map[key]ident.ServiceName) {
	for identity, state := range tracker.colds {
		service, listed := present[identity]
		if rule, found := tracker.coldRule(service); listed && found {
			tracker.lapse(now, state, rule)
		} else if listed && tracker.ColdRule(service).Overage <= 0 {
			delete(tracker.colds, identity)
			continue
		}
		obsolete := !state.inForce(now) && state.sends == 0 && !state.reported
		if obsolete || !listed && now.Sub(state.SeenAt) > unlistedLifetime {
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
