package registry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// renewal is what is known of the writes of one row.
type renewal struct {
	incarnation Incarnation
	version     ident.Revision
	// firstReadAt is when a row of the incarnation was first read.
	firstReadAt time.Time
	// readAt is when version was first read, and wroteAfter when the version
	// before it was: the row was written after that.
	readAt     time.Time
	wroteAfter time.Time
}

// recordRenewal records that the row of upstream was read at the time now. The
// caller holds mu.
func (registry *Registry) recordRenewal(now time.Time, upstream Upstream) {
	last := registry.renewals[upstream.ID]
	next := renewal{incarnation: upstream.Incarnation, version: upstream.Version, firstReadAt: now, readAt: now}
	switch {
	case last.incarnation != upstream.Incarnation || last.version.Era() != upstream.Version.Era():
		// The row of an older copy of the store was not written since.
		registry.renewals[upstream.ID] = next
	case upstream.Version > last.version:
		next.firstReadAt, next.wroteAfter = last.firstReadAt, last.readAt
		registry.renewals[upstream.ID] = next
	}
}

// lapseHeartbeats is after how many heartbeats without a write a row expires.
const lapseHeartbeats = 3

// wroteLately reports whether the row of an upstream was certainly written so lately that it
// can't have expired: if it is gone, it was removed. The caller holds mu.
func (registry *Registry) wroteLately(now time.Time, id ident.UpstreamID) bool {
	if registry.restored(now, RejoinGracePeriod) {
		return false
	}
	wroteAfter := registry.renewals[id].wroteAfter
	return !wroteAfter.IsZero() && now.Before(wroteAfter.Add(lapseHeartbeats*registry.Heartbeat))
}

// RanAt reports whether an incarnation of an upstream certainly ran at a time: its row
// was read before, and it wrote the row again after.
func (registry *Registry) RanAt(id ident.UpstreamID, incarnation Incarnation, at time.Time) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	last, found := registry.renewals[id]
	return found && last.incarnation == incarnation && !at.Before(last.firstReadAt) && !at.After(last.wroteAfter)
}

// WroteAfter returns a time after which the given incarnation of an upstream
// wrote its row, and the zero time if that is not known. The time may be late by
// as long as a read of the store takes.
func (registry *Registry) WroteAfter(id ident.UpstreamID, incarnation Incarnation) time.Time {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	last := registry.renewals[id]
	if last.incarnation != incarnation {
		return time.Time{}
	}
	return last.wroteAfter
}
