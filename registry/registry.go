package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// maxRemovedVersions bounds the remembered removals. They keep an outdated change
// from another router from adding a removed upstream again.
const maxRemovedVersions = 4096

// Incarnation distinguishes the runs of one upstream: it is the start time in
// Unix milliseconds.
type Incarnation int64

// Successor returns the incarnation that followed a known one, if its own start time
// is not known yet. It is negative.
func (incarnation Incarnation) Successor() Incarnation { return -incarnation }

// Predecessor returns the known incarnation that a Successor followed, and any other
// incarnation itself. It reports whether the incarnation is a Successor.
func (incarnation Incarnation) Predecessor() (Incarnation, bool) {
	if incarnation < 0 {
		return -incarnation, true
	}
	return incarnation, false
}

// Upstream is one upstream as described by its row.
type Upstream struct {
	ID          ident.UpstreamID
	Incarnation Incarnation
	Service     ident.ServiceName
	// Address is where the upstream listens, as host:port.
	Address string
	Zone    ident.Zone
	// Software is the version of the upstream's software, or empty if the row names
	// none.
	Software ident.SoftwareVersion
	// Slots is how many requests the upstream runs at once.
	Slots   int
	Leaving bool
	// Engine is set for a model engine, which caches prompt prefixes.
	Engine bool
	// Version is the version of the row, and Sequence the upstream's own count of its writes.
	Version  ident.Revision
	Sequence Sequence `msgpack:",omitempty"`
}

// Change is a new state of one row. Gone is set if the row was removed or
// describes no usable upstream.
type Change struct {
	Upstream Upstream
	Gone     bool
	// Announced is set if the upstream itself said that it leaves, whatever its row
	// says.
	Announced bool
}

// Registry holds the upstreams. The zero value is empty and ready for use. It is
// safe for concurrent use.
type Registry struct {
	// OnKept, unless nil, is called for each upstream that stays listed although its row
	// was removed. It must not call the registry.
	OnKept func(kept Kept)
	// OnOutdated, unless nil, is called for each row that is not used since it was written late.
	// It must not call the registry.
	OnOutdated func(outdated Outdated)
	// OnStart, unless nil, is called for each upstream, before it is in a pool, that was not
	// listed or had another incarnation. It is not called for those of the first complete
	// list, and must not call the registry.
	OnStart func(now time.Time, upstream Upstream)
	// Heartbeat is how often a live upstream writes its row, or zero if that is not known.
	// It is set before use.
	Heartbeat time.Duration

	current atomic.Pointer[snapshot]
	// evacuated holds the evacuated zones. The map is replaced, never changed.
	evacuated atomic.Pointer[map[ident.Zone]struct{}]
	// regions holds the region of each zone. The map is replaced, never changed.
	regions atomic.Pointer[map[ident.Zone]ident.Region]

	mu sync.Mutex
	// listed holds the upstreams. missingUntil has those of them whose row may
	// have expired in an outage, with the time at which they are removed unless
	// the row is written again.
	listed       map[ident.UpstreamID]Upstream
	missingUntil map[ident.UpstreamID]time.Time
	// late holds the rows that may have been written late.
	late map[ident.UpstreamID]lateRow
	// removedVersions holds the versions of the latest removals.
	removedVersions map[ident.UpstreamID]ident.Revision
	// departures holds the latest incarnations that were leaving or removed.
	departures map[ident.UpstreamID]departure
	// announced holds the incarnations that have said that they leave.
	announced map[announcer]struct{}
	// renewals holds what is known of the writes of the listed rows.
	renewals map[ident.UpstreamID]renewal
	// era is the latest era of the store, and restoredAt when it was first seen after
	// an earlier one.
	era        ident.Era
	restoredAt time.Time
	// outageBegin and outageEnd bound the last outage of the store as seen by this
	// router.
	outageBegin time.Time
	outageEnd   time.Time
	storeDown   bool
	// peerStoreUpSince is the time since which the store has served another router
	// without interruption, and peerStoreSeenAt when that was reported.
	peerStoreUpSince time.Time
	peerStoreSeenAt  time.Time
}

// Upstream returns the upstream with the given ID, also if it is leaving, and
// whether it is listed.
func (registry *Registry) Upstream(id ident.UpstreamID) (Upstream, bool) {
	snapshot := registry.current.Load()
	if snapshot == nil {
		return Upstream{}, false
	}
	upstream, found := snapshot.upstreams[id]
	return upstream, found
}

// Digest returns a hash of the listed upstreams without their versions. Routers
// that list the same upstreams have the same digest.
func (registry *Registry) Digest() uint64 {
	snapshot := registry.current.Load()
	if snapshot == nil {
		return 0
	}
	return snapshot.digest
}

// Loaded reports whether the rows have been read at least once.
func (registry *Registry) Loaded() bool { return registry.current.Load() != nil }

// Apply applies changes of rows and returns those that took effect. It ignores a
// change that is older than the listed row or the last removal, by the order of the store or by
// that of the upstream.
func (registry *Registry) Apply(now time.Time, changes []Change) []Change {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.initMaps()
	var applied []Change
	for _, change := range changes {
		if registry.apply(now, &change) {
			applied = append(applied, change)
		}
	}
	if len(applied) > 0 || !registry.Loaded() {
		registry.rebuild()
	}
	return applied
}

// Replace applies the complete list of rows at version. Upstreams that are not in
// it are removed as by a change of that version.
func (registry *Registry) Replace(now time.Time, version ident.Revision, upstreams []Upstream) []Change {
	changes := make([]Change, 0, len(upstreams))
	present := make(map[ident.UpstreamID]struct{}, len(upstreams))
	for _, upstream := range upstreams {
		present[upstream.ID] = struct{}{}
		changes = append(changes, Change{Upstream: upstream})
	}
	for _, upstream := range registry.Upstreams() {
		if _, found := present[upstream.ID]; !found {
			upstream.Version = version
			changes = append(changes, Change{Upstream: upstream, Gone: true})
		}
	}
	return registry.Apply(now, changes)
}

func (registry *Registry) initMaps() {
	if registry.listed == nil {
		registry.listed = make(map[ident.UpstreamID]Upstream)
		registry.missingUntil = make(map[ident.UpstreamID]time.Time)
		registry.late = make(map[ident.UpstreamID]lateRow)
		registry.removedVersions = make(map[ident.UpstreamID]ident.Revision)
		registry.renewals = make(map[ident.UpstreamID]renewal)
		registry.departures = make(map[ident.UpstreamID]departure)
		registry.announced = make(map[announcer]struct{})
	}
}

// apply applies one change and reports whether it took effect. It may change what a row
// of an older copy of the store says. The caller holds mu.
func (registry *Registry) apply(now time.Time, change *Change) bool {
	if change.Announced {
		return registry.applyAnnouncement(change)
	}
	id := change.Upstream.ID
	present, known := registry.listed[id]
	if change.Upstream.Version < max(present.Version, registry.removedVersions[id]) {
		return false
	}
	registry.observeEra(now, change.Upstream.Version.Era())
	if !change.Gone {
		if outdated, is := registry.outdated(now, change.Upstream); is {
			registry.skip(outdated)
			return false
		}
		return registry.list(now, change)
	}
	delete(registry.late, id)
	if !known {
		return false
	}
	if registry.mayHaveExpired(now) && !present.Leaving && !registry.wroteLately(now, id) {
		registry.keep(change.Upstream)
		return false
	}
	registry.recordDeparture(present, departure{version: change.Upstream.Version, removed: true})
	delete(registry.listed, id)
	delete(registry.missingUntil, id)
	delete(registry.renewals, id)
	if len(registry.removedVersions) >= maxRemovedVersions {
		clear(registry.removedVersions)
	}
	registry.removedVersions[id] = change.Upstream.Version
	return true
}

// list lists the upstream of a row and reports whether that changed anything. The caller holds mu.
func (registry *Registry) list(now time.Time, change *Change) bool {
	id := change.Upstream.ID
	present, known := registry.listed[id]
	var usable bool
	if change.Upstream, usable = registry.withDeparture(change.Upstream); !usable {
		return false
	}
	if registry.hasAnnounced(change.Upstream) {
		change.Upstream.Leaving = true
	}
	if change.Upstream.Leaving {
		registry.recordDeparture(change.Upstream, departure{version: change.Upstream.Version})
	}
	if change.Upstream.Software == "" && known && change.Upstream.Version == present.Version {
		// A router of a program that doesn't read the version relayed the row.
		change.Upstream.Software = present.Software
	}
	if started := !known || present.Incarnation != change.Upstream.Incarnation; started && registry.OnStart != nil && registry.Loaded() {
		registry.OnStart(now, change.Upstream)
	}
	change.Upstream = change.Upstream.withKnownSequence(present)
	registry.recordRenewal(now, change.Upstream)
	delete(registry.late, id)
	delete(registry.missingUntil, id)
	registry.listed[id] = change.Upstream
	return !known || present.withoutOrder() != change.Upstream.withoutOrder()
}

// Upstreams returns all listed upstreams, sorted by ID.
func (registry *Registry) Upstreams() []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return slices.SortedFunc(maps.Values(registry.listed), byID)
}

func byID(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }
