package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
)

// RejoinGracePeriod is how long after the end of a store outage the row of a live
// upstream may still be missing. The upstream takes up to two seconds to write
// it again; the rest is the delay of reading.
const RejoinGracePeriod = 2500 * time.Millisecond

// OutageExpiryWindow is how long after the end of a store outage a removed row
// is assumed to have expired because of the outage.
const OutageExpiryWindow = 1500 * time.Millisecond

// peerStoreTTL is how long another router's report on the store is assumed valid.
const peerStoreTTL = 3 * time.Second

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
	// Version is the version of the row.
	Version ident.Revision
}

// equalIgnoringVersion reports whether a and b differ in nothing but their
// versions.
func equalIgnoringVersion(a, b Upstream) bool {
	a.Version = b.Version
	return a == b
}

// Pool is an immutable set of upstreams that serve one service. Upstreams and
// Ranking have the same indexes.
type Pool struct {
	Upstreams []Upstream
	Ranking   *affinity.Pool
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

	current atomic.Pointer[snapshot]

	mu sync.Mutex
	// listed holds the upstreams. missingUntil has those of them whose row may
	// have expired in an outage, with the time at which they are removed unless
	// the row is written again.
	listed       map[ident.UpstreamID]Upstream
	missingUntil map[ident.UpstreamID]time.Time
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

// Kept is an upstream that stays listed although its row was removed, since the row may
// have expired in an outage of the store.
type Kept struct {
	ID ident.UpstreamID
	// RemovedIn is the version of the removal.
	RemovedIn ident.Revision
	// Until is when the upstream is removed unless the row is written again, or later if
	// the outage goes on.
	Until time.Time
	// OutageBegin and OutageEnd bound the last outage of this router that has ended;
	// OutageEnd is before OutageBegin while one goes on.
	OutageBegin time.Time
	OutageEnd   time.Time
	// PeerStoreUpSince is the time since which the store has served another router, or zero.
	PeerStoreUpSince time.Time
}

// keep lists an upstream on although its row was removed. The caller holds mu.
func (registry *Registry) keep(removed Upstream) {
	if _, missing := registry.missingUntil[removed.ID]; missing {
		return
	}
	until := registry.graceEnd()
	registry.missingUntil[removed.ID] = until
	if registry.OnKept != nil {
		registry.OnKept(Kept{
			ID: removed.ID, RemovedIn: removed.Version, Until: until,
			OutageBegin: registry.outageBegin, OutageEnd: registry.outageEnd, PeerStoreUpSince: registry.peerStoreUpSince,
		})
	}
}

// snapshot is an immutable view of the registry for readers.
type snapshot struct {
	pools map[ident.ServiceName]*Pool
	// versions holds the upstreams of each pool by their software versions.
	versions  map[ident.ServiceName]map[ident.SoftwareVersion]*Pool
	upstreams map[ident.UpstreamID]Upstream
	digest    uint64
}

// Pool returns the upstreams of a service that accept new requests, or nil if
// there are none.
func (registry *Registry) Pool(service ident.ServiceName) *Pool {
	snapshot := registry.current.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot.pools[service]
}

// VersionPool returns the upstreams of a service that have the given software version
// and accept new requests, or nil if there are none. No upstream has the empty version.
func (registry *Registry) VersionPool(service ident.ServiceName, version ident.SoftwareVersion) *Pool {
	snapshot := registry.current.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot.versions[service][version]
}

// Versions returns how many upstreams of each software version accept new requests of a
// service.
func (registry *Registry) Versions(service ident.ServiceName) map[ident.SoftwareVersion]int {
	counts := make(map[ident.SoftwareVersion]int)
	if snapshot := registry.current.Load(); snapshot != nil {
		for version, pool := range snapshot.versions[service] {
			counts[version] = len(pool.Upstreams)
		}
	}
	return counts
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

// SetStoreDown records whether the store is unreachable for this router.
func (registry *Registry) SetStoreDown(now time.Time, down bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	switch {
	case registry.storeDown && !down:
		registry.outageEnd = now
		registry.extendMissing(now.Add(RejoinGracePeriod))
	case !registry.storeDown && down:
		registry.outageBegin = now
	}
	registry.storeDown = down
}

// extendMissing gives the upstreams whose rows are missing until the given time to
// write them again. The caller holds mu.
func (registry *Registry) extendMissing(until time.Time) {
	for id, current := range registry.missingUntil {
		if current.Before(until) {
			registry.missingUntil[id] = until
		}
	}
}

// ObservePeerStore records that the store has served another router without
// interruption since the given time.
func (registry *Registry) ObservePeerStore(now, since time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if since.Before(registry.peerStoreUpSince) || now.Sub(registry.peerStoreSeenAt) > peerStoreTTL {
		registry.peerStoreUpSince = since
		registry.peerStoreSeenAt = now
	}
}

// partitioned reports whether only this router was cut off from the store in the
// last outage. The store served another router throughout it, so that upstreams
// could renew their rows and removed rows have not expired because of it.
func (registry *Registry) partitioned(now time.Time) bool {
	if registry.restored(now, RejoinGracePeriod) {
		return false
	}
	return now.Sub(registry.peerStoreSeenAt) <= peerStoreTTL && registry.peerStoreUpSince.Before(registry.outageBegin)
}

// Apply applies changes of rows and returns those that took effect. It ignores a
// change that is older than the listed row or the last removal.
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
		var usable bool
		if change.Upstream, usable = registry.withDeparture(change.Upstream); !usable {
			return false
		}
		if registry.hasAnnounced(change.Upstream) {
			change.Upstream.Leaving = true
		}
		if change.Upstream.Leaving {
			registry.recordDeparture(change.Upstream, change.Upstream.Version, false)
		}
		if change.Upstream.Software == "" && known && change.Upstream.Version == present.Version {
			// A router of a program that doesn't read the version relayed the row.
			change.Upstream.Software = present.Software
		}
		registry.recordRenewal(now, change.Upstream)
		delete(registry.missingUntil, id)
		registry.listed[id] = change.Upstream
		return !known || !equalIgnoringVersion(present, change.Upstream)
	}
	if !known {
		return false
	}
	if registry.mayHaveExpired(now) && !present.Leaving {
		registry.keep(change.Upstream)
		return false
	}
	registry.recordDeparture(present, change.Upstream.Version, true)
	delete(registry.listed, id)
	delete(registry.missingUntil, id)
	delete(registry.renewals, id)
	if len(registry.removedVersions) >= maxRemovedVersions {
		clear(registry.removedVersions)
	}
	registry.removedVersions[id] = change.Upstream.Version
	return true
}

// graceEnd returns until when the row of a live upstream may be missing. The caller
// holds mu.
func (registry *Registry) graceEnd() time.Time {
	end := registry.outageEnd
	if registry.restoredAt.After(end) {
		end = registry.restoredAt
	}
	return end.Add(RejoinGracePeriod)
}

// mayHaveExpired reports whether a row that is removed now may have expired
// because of a store outage, or be missing in an older copy of the store. The caller
// holds mu.
func (registry *Registry) mayHaveExpired(now time.Time) bool {
	if registry.restored(now, OutageExpiryWindow) {
		return true
	}
	if registry.partitioned(now) {
		return false
	}
	return registry.storeDown || !registry.outageEnd.IsZero() && now.Before(registry.outageEnd.Add(OutageExpiryWindow))
}

// Expire removes and returns the upstreams whose rows are still missing after the
// grace period, or at once if only this router was cut off from the store. It
// removes nothing while the store is down.
func (registry *Registry) Expire(now time.Time) []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.storeDown {
		return nil
	}
	var expired []Upstream
	partitioned := registry.partitioned(now)
	for id, until := range registry.missingUntil {
		if now.Before(until) && !partitioned {
			continue
		}
		expired = append(expired, registry.listed[id])
		registry.recordDeparture(registry.listed[id], registry.listed[id].Version, true)
		delete(registry.listed, id)
		delete(registry.missingUntil, id)
		delete(registry.renewals, id)
	}
	if len(expired) > 0 {
		registry.rebuild()
	}
	return expired
}

// Upstreams returns all listed upstreams, sorted by ID.
func (registry *Registry) Upstreams() []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return slices.SortedFunc(maps.Values(registry.listed), byID)
}

func byID(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

// rebuild replaces the current snapshot. The caller holds mu.
func (registry *Registry) rebuild() {
	members := make(map[ident.ServiceName][]Upstream)
	for _, upstream := range registry.listed {
		if !upstream.Leaving {
			members[upstream.Service] = append(members[upstream.Service], upstream)
		}
	}
	pools := make(map[ident.ServiceName]*Pool, len(members))
	versions := make(map[ident.ServiceName]map[ident.SoftwareVersion]*Pool, len(members))
	for service, upstreams := range members {
		pools[service] = newPool(upstreams)
		versions[service] = versionPools(pools[service])
	}
	registry.current.Store(&snapshot{pools: pools, versions: versions, upstreams: maps.Clone(registry.listed), digest: registry.digest()})
}

// digest returns a hash that does not depend on the order of the map: routers
// compare it. The caller holds mu.
func (registry *Registry) digest() uint64 {
	var digest uint64
	for _, upstream := range registry.listed {
		upstream.Version = 0
		digest ^= xxhash.Sum64String(fmt.Sprint(upstream))
	}
	return digest
}

// versionPools returns the upstreams of a pool by their software versions.
func versionPools(pool *Pool) map[ident.SoftwareVersion]*Pool {
	members := make(map[ident.SoftwareVersion][]Upstream)
	for _, upstream := range pool.Upstreams {
		if upstream.Software != "" {
			members[upstream.Software] = append(members[upstream.Software], upstream)
		}
	}
	pools := make(map[ident.SoftwareVersion]*Pool, len(members))
	for version, upstreams := range members {
		if len(upstreams) == len(pool.Upstreams) {
			pools[version] = pool
			continue
		}
		pools[version] = newPool(upstreams)
	}
	return pools
}

// newPool returns the pool of upstreams, which it sorts by ID.
func newPool(upstreams []Upstream) *Pool {
	slices.SortFunc(upstreams, byID)
	candidates := make([]affinity.Candidate, len(upstreams))
	for i, upstream := range upstreams {
		candidates[i] = affinity.Candidate{Upstream: upstream.ID}
	}
	return &Pool{Upstreams: upstreams, Ranking: affinity.NewPool(candidates)}
}
