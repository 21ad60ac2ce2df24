package registry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// announcer is an incarnation of an upstream that has said that it leaves.
type announcer struct {
	upstream    ident.UpstreamID
	incarnation Incarnation
}

// Announce records that an incarnation of an upstream has said that it leaves. It takes
// no new requests from then on, whatever its row says, until another incarnation is
// listed. Announce returns the change for other routers, and whether it is one.
func (registry *Registry) Announce(now time.Time, id ident.UpstreamID, incarnation Incarnation) (Change, bool) {
	change := Change{Upstream: Upstream{ID: id, Incarnation: incarnation}, Announced: true}
	applied := registry.Apply(now, []Change{change})
	if len(applied) == 0 {
		return Change{}, false
	}
	return applied[0], true
}

// applyAnnouncement applies a change that an upstream announced, and reports whether it
// took effect. The caller holds mu.
func (registry *Registry) applyAnnouncement(change *Change) bool {
	id, incarnation := change.Upstream.ID, change.Upstream.Incarnation
	if len(registry.announced) >= maxRemovedVersions {
		clear(registry.announced)
	}
	registry.announced[announcer{upstream: id, incarnation: incarnation}] = struct{}{}
	present, known := registry.listed[id]
	if !known || present.Incarnation != incarnation || present.Leaving {
		return false
	}
	present.Leaving = true
	registry.listed[id] = present
	registry.recordDeparture(present, departure{version: present.Version})
	change.Upstream = present
	return true
}

// hasAnnounced reports whether the incarnation of an upstream has said that it leaves.
// The caller holds mu.
func (registry *Registry) hasAnnounced(upstream Upstream) bool {
	_, found := registry.announced[announcer{upstream: upstream.ID, incarnation: upstream.Incarnation}]
	return found
}
