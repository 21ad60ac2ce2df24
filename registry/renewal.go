package registry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// renewal is what is known of the writes of one row.
type renewal struct {
	incarnation Incarnation
	version     ident.Revision
	// readAt is when version was first read, and wroteAfter when the version
	// before it was: the row was written after that.
	readAt     time.Time
	wroteAfter time.Time
}

// recordRenewal records that the row of upstream was read at the time now. The
// caller holds mu.
func (registry *Registry) recordRenewal(now time.Time, upstream Upstream) {
	last := registry.renewals[upstream.ID]
	switch {
	case last.incarnation != upstream.Incarnation || last.version.Era() != upstream.Version.Era():
		// The row of an older copy of the store was not written since.
		registry.renewals[upstream.ID] = renewal{incarnation: upstream.Incarnation, version: upstream.Version, readAt: now}
	case upstream.Version > last.version:
		registry.renewals[upstream.ID] = renewal{incarnation: upstream.Incarnation, version: upstream.Version, readAt: now, wroteAfter: last.readAt}
	}
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
