package registry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// departure is what is known of an incarnation that was leaving or was removed.
type departure struct {
	incarnation Incarnation
	// sequence is the last one that was read of it.
	sequence Sequence
	// version is the version of the row or removal that said so.
	version ident.Revision
	removed bool
	// expired is set if its row was missing for too long behind an outage of the store, which
	// says nothing of whether it lives.
	expired bool
	// returned is the first version of a later era in which the row was there again.
	returned ident.Revision
}

// observeEra records the era of a row's version. In a new era the store holds an older
// copy: rows that are missing may be written again. The caller holds mu.
func (registry *Registry) observeEra(now time.Time, era ident.Era) {
	if era <= registry.era {
		return
	}
	if registry.Loaded() {
		registry.restoredAt = now
	}
	registry.era = era
}

// restored reports whether the store was restored from an older copy less than the given
// time ago. The caller holds mu.
func (registry *Registry) restored(now time.Time, within time.Duration) bool {
	return !registry.restoredAt.IsZero() && now.Before(registry.restoredAt.Add(within))
}

// recordDeparture records how an upstream departs, of its latest incarnation. The caller holds mu.
func (registry *Registry) recordDeparture(upstream Upstream, departure departure) {
	if len(registry.departures) >= maxRemovedVersions {
		clear(registry.departures)
	}
	departure.incarnation, departure.sequence = upstream.Incarnation, upstream.Sequence
	registry.departures[upstream.ID] = departure
}

// withDeparture returns what a row of an upstream says once it is known that its
// incarnation had been leaving or was removed, and whether it is to be used. The row of
// an older copy lacks that; a removed upstream is listed again once it has
// written its row. The caller holds mu.
func (registry *Registry) withDeparture(upstream Upstream) (Upstream, bool) {
	known, found := registry.departures[upstream.ID]
	if !found || known.incarnation != upstream.Incarnation || upstream.Version.Era() <= known.version.Era() {
		return upstream, true
	}
	if !known.removed {
		upstream.Leaving = true
		return upstream, true
	}
	if known.returned == 0 {
		known.returned = upstream.Version
		registry.departures[upstream.ID] = known
	}
	return upstream, upstream.Version > known.returned
}
