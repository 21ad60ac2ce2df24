package quota

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

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
	identity := keyOf(upstream)
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
	state := tracker.ensureCold(keyOf(upstream))
	if state.Failed {
		return
	}
	next := Cold{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Until: now.Add(rule.Start), Source: source, Version: upstream.Version, SeenAt: now}
	tracker.setCold(now, state, next, 0)
}
