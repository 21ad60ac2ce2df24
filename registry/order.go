package registry

import "time"

// Sequence counts the writes of an incarnation of an upstream to its row, the first of which is 1. Zero
// means that a row does not say it.
type Sequence int64

// settleHeartbeats is how many heartbeats a row that may have been written late has to stand until
// it is believed. A live upstream writes it again within one, and without one it expires after
// lapseHeartbeats.
const settleHeartbeats = lapseHeartbeats + 1

// Outdated is a row that is not used, although its version is the newest, since the upstream has
// said something else after it. The store may perform a write seconds after it was sent.
type Outdated struct {
	// Row is the upstream as its row describes it.
	Row Upstream
	// Known and KnownSequence are what the upstream had said later, and Gone is set if its row
	// was removed after that.
	Known         Incarnation
	KnownSequence Sequence
	Gone          bool
	// Until is when the row is believed after all if it still stands, or zero for never.
	Until time.Time
}

// lateRow is a row that may have been written late.
type lateRow struct {
	upstream Upstream
	// until is when it is believed if it still stands.
	until time.Time
}

// outdated returns how a row is older than what is known of the upstream, whatever its version, and
// whether it is. An upstream orders its words itself: by its start time, and within an incarnation
// by the sequence. The caller holds mu.
func (registry *Registry) outdated(now time.Time, row Upstream) (Outdated, bool) {
	settled := now.Add(settleHeartbeats * registry.Heartbeat)
	if present, listed := registry.listed[row.ID]; listed {
		outdated := Outdated{Row: row, Known: present.Incarnation, KnownSequence: present.Sequence}
		switch {
		case row.Incarnation == present.Incarnation:
			return outdated, row.precedes(present.Sequence)
		case row.Incarnation < present.Incarnation:
			// The clock of a VM may have been set back.
			outdated.Until = settled
			return outdated, registry.Heartbeat > 0
		}
		return Outdated{}, false
	}
	gone, found := registry.departures[row.ID]
	if !found || !gone.removed || gone.version.Era() != row.Version.Era() || row.Incarnation > gone.incarnation {
		return Outdated{}, false
	}
	outdated := Outdated{Row: row, Known: gone.incarnation, KnownSequence: gone.sequence, Gone: true}
	if row.Incarnation == gone.incarnation && row.precedes(gone.sequence+1) {
		return outdated, true
	}
	// Not all writes are read, as the store does not report a row whose sequence alone has changed: this one may
	// have been sent before the removal, or after it. A live upstream whose row expired writes it again.
	outdated.Until = settled
	return outdated, registry.Heartbeat > 0 && row.Sequence > 0 && !gone.expired
}

// precedes reports whether the row of an upstream was sent before the write with a sequence. It is
// false if either is not known, or if the row names no incarnation, as each incarnation counts from 1.
func (upstream Upstream) precedes(sequence Sequence) bool {
	return upstream.Incarnation != 0 && upstream.Sequence > 0 && upstream.Sequence < sequence
}

// IsOutdated reports whether the row of an upstream is older than what is known of it.
func (registry *Registry) IsOutdated(now time.Time, row Upstream) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	_, is := registry.outdated(now, row)
	return is
}

// skip records that a row is outdated, and reports it. The caller holds mu.
func (registry *Registry) skip(outdated Outdated) {
	row := outdated.Row
	if present, listed := registry.listed[row.ID]; listed {
		present.Version = row.Version
		registry.listed[row.ID] = present
	}
	if waiting, found := registry.late[row.ID]; found && waiting.upstream.Version >= row.Version {
		return
	}
	delete(registry.late, row.ID)
	if !outdated.Until.IsZero() {
		registry.late[row.ID] = lateRow{upstream: row, until: outdated.Until}
	}
	if registry.OnOutdated != nil {
		registry.OnOutdated(outdated)
	}
}

// Settle applies the rows that might have been written late, and have stood for so long that their
// upstreams must be alive, and returns those that took effect. It applies none while the store is
// down.
func (registry *Registry) Settle(now time.Time) []Change {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.storeDown {
		return nil
	}
	var settled []Change
	for id, late := range registry.late {
		if now.Before(late.until) {
			continue
		}
		delete(registry.late, id)
		delete(registry.departures, id)
		change := Change{Upstream: late.upstream}
		if registry.list(now, &change) {
			settled = append(settled, change)
		}
	}
	if len(settled) > 0 {
		registry.rebuild()
	}
	return settled
}

// postponeLate gives rows that may have been written late, and that could not be read meanwhile,
// until the given time to be written again or to expire. The caller holds mu.
func (registry *Registry) postponeLate(until time.Time) {
	for id, late := range registry.late {
		if late.until.Before(until) {
			late.until = until
			registry.late[id] = late
		}
	}
}

// withoutOrder returns an upstream without the position of its row, which says nothing about it.
func (upstream Upstream) withoutOrder() Upstream {
	upstream.Version, upstream.Sequence = 0, 0
	return upstream
}

// withKnownSequence returns the row of an upstream with the sequence of the known one if it names
// none, as rows that routers of an earlier program relayed.
func (upstream Upstream) withKnownSequence(known Upstream) Upstream {
	if upstream.Sequence == 0 && upstream.Incarnation == known.Incarnation {
		upstream.Sequence = known.Sequence
	}
	return upstream
}
