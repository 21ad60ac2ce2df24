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

// RejoinWait is how long after the store's return the row of an upstream that
// lives may still be missing: its own two seconds, and the delay of reading.
const RejoinWait = 2500 * time.Millisecond

// OutageMemory is how long after an outage of the store a removed row is taken
// for one that lapsed in it.
const OutageMemory = 1500 * time.Millisecond

// elsewhereLifetime is how long the word of another router on the store counts.
const elsewhereLifetime = 3 * time.Second

// maxRemoved bounds the removals that are remembered, so that an older word of
// another router doesn't bring an upstream back.
const maxRemoved = 4096

// Incarnation tells the runs of one upstream apart: the Unix millisecond of
// its start.
type Incarnation int64

// Upstream is one upstream as its row describes it.
type Upstream struct {
	ID          ident.UpstreamID
	Incarnation Incarnation
	Service     ident.ServiceName
	Address     string
	Zone        ident.Zone
	// Slots is how many requests it runs at once.
	Slots   int
	Leaving bool
	// Engine says that it is a model engine, which caches prompts.
	Engine bool
	// Version is the one of the row that says this.
	Version ident.Revision
}

// same reports whether a and b say the same, whatever their versions.
func same(a, b Upstream) bool {
	a.Version = b.Version
	return a == b
}

// Pool is an immutable set of upstreams that serve one service. Upstreams and
// Ranking have the same indexes.
type Pool struct {
	Upstreams []Upstream
	Ranking   *affinity.Pool
}

// Change is a new state of one row; Gone says that the row is removed or names
// no upstream that may be used.
type Change struct {
	Upstream Upstream
	Gone     bool
}

// Registry holds the upstreams. The zero value has none. It is safe for
// concurrent use.
type Registry struct {
	built atomic.Pointer[index]

	mu sync.Mutex
	// listed holds the rows, and missing when those that lapsed are given up.
	listed  map[ident.UpstreamID]Upstream
	missing map[ident.UpstreamID]time.Time
	// removed holds the versions of the latest removals.
	removed map[ident.UpstreamID]ident.Revision
	// outageBegin and outageEnd bound the last outage of the store as this
	// router saw it.
	outageBegin time.Time
	outageEnd   time.Time
	down        bool
	// servedSince is since when the store served some other router without a
	// break, as of servedAt.
	servedSince time.Time
	servedAt    time.Time
}

// index is what readers see of the registry.
type index struct {
	pools     map[ident.ServiceName]*Pool
	upstreams map[ident.UpstreamID]Upstream
	digest    uint64
}

// Pool returns the upstreams of a service that take new work, or nil for none.
func (registry *Registry) Pool(service ident.ServiceName) *Pool {
	built := registry.built.Load()
	if built == nil {
		return nil
	}
	return built.pools[service]
}

// Upstream returns a listed upstream, whether it is leaving or not.
func (registry *Registry) Upstream(id ident.UpstreamID) (Upstream, bool) {
	built := registry.built.Load()
	if built == nil {
		return Upstream{}, false
	}
	upstream, found := built.upstreams[id]
	return upstream, found
}

// Digest returns a hash of what is listed, which is the same for routers that
// list the same.
func (registry *Registry) Digest() uint64 {
	built := registry.built.Load()
	if built == nil {
		return 0
	}
	return built.digest
}

// Loaded reports whether the rows were read yet.
func (registry *Registry) Loaded() bool { return registry.built.Load() != nil }

// SetStoreDown takes in whether the store answers.
func (registry *Registry) SetStoreDown(now time.Time, down bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	switch {
	case registry.down && !down:
		registry.outageEnd = now
	case !registry.down && down:
		registry.outageBegin = now
	}
	registry.down = down
}

// ObservePeerStore takes in that the store has served another router without a
// break since the time since.
func (registry *Registry) ObservePeerStore(now, since time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if since.Before(registry.servedSince) || now.Sub(registry.servedAt) > elsewhereLifetime {
		registry.servedSince = since
		registry.servedAt = now
	}
}

// cutOff reports whether the last outage was this router's own: the store went
// on serving another one, so that rows which went did not lapse.
func (registry *Registry) cutOff(now time.Time) bool {
	return now.Sub(registry.servedAt) <= elsewhereLifetime && registry.servedSince.Before(registry.outageBegin)
}

// Apply takes in changes of rows and returns the upstreams that changed.
func (registry *Registry) Apply(now time.Time, changes []Change) []Change {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.prepare()
	var applied []Change
	for _, change := range changes {
		if registry.apply(now, change) {
			applied = append(applied, change)
		}
	}
	if len(applied) > 0 || !registry.Loaded() {
		registry.rebuild()
	}
	return applied
}

// Replace takes in all rows as of version. Upstreams that are not among them are
// removed, as by a change.
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

func (registry *Registry) prepare() {
	if registry.listed == nil {
		registry.listed = make(map[ident.UpstreamID]Upstream)
		registry.missing = make(map[ident.UpstreamID]time.Time)
		registry.removed = make(map[ident.UpstreamID]ident.Revision)
	}
}

func (registry *Registry) apply(now time.Time, change Change) bool {
	id := change.Upstream.ID
	present, known := registry.listed[id]
	if change.Upstream.Version < max(present.Version, registry.removed[id]) {
		return false
	}
	if !change.Gone {
		delete(registry.missing, id)
		registry.listed[id] = change.Upstream
		return !known || !same(present, change.Upstream)
	}
	if !known {
		return false
	}
	if registry.lapsed(now) && !present.Leaving {
		if _, waits := registry.missing[id]; !waits {
			registry.missing[id] = registry.outageEnd.Add(RejoinWait)
		}
		return false
	}
	delete(registry.listed, id)
	delete(registry.missing, id)
	if len(registry.removed) >= maxRemoved {
		clear(registry.removed)
	}
	registry.removed[id] = change.Upstream.Version
	return true
}

// lapsed reports whether a row that goes now may have lapsed in an outage.
func (registry *Registry) lapsed(now time.Time) bool {
	if registry.cutOff(now) {
		return false
	}
	return registry.down || !registry.outageEnd.IsZero() && now.Before(registry.outageEnd.Add(OutageMemory))
}

// Expire gives up the upstreams that are still missing and returns them. Those
// that went while the router alone was cut off are given up at once.
func (registry *Registry) Expire(now time.Time) []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.down {
		return nil
	}
	var expired []Upstream
	cutOff := registry.cutOff(now)
	for id, until := range registry.missing {
		if now.Before(until) && !cutOff {
			continue
		}
		expired = append(expired, registry.listed[id])
		delete(registry.listed, id)
		delete(registry.missing, id)
	}
	if len(expired) > 0 {
		registry.rebuild()
	}
	return expired
}

// Upstreams returns every listed upstream, in the order of their IDs.
func (registry *Registry) Upstreams() []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return slices.SortedFunc(maps.Values(registry.listed), byID)
}

func byID(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

// rebuild makes the pools anew. The caller holds mu.
func (registry *Registry) rebuild() {
	members := make(map[ident.ServiceName][]Upstream)
	for _, upstream := range registry.listed {
		if !upstream.Leaving {
			members[upstream.Service] = append(members[upstream.Service], upstream)
		}
	}
	pools := make(map[ident.ServiceName]*Pool, len(members))
	for service, upstreams := range members {
		pools[service] = poolOf(upstreams)
	}
	registry.built.Store(&index{pools: pools, upstreams: maps.Clone(registry.listed), digest: registry.digest()})
}

// digest hashes what is listed. The caller holds mu.
func (registry *Registry) digest() uint64 {
	var digest uint64
	for _, upstream := range registry.listed {
		upstream.Version = 0
		digest ^= xxhash.Sum64String(fmt.Sprint(upstream))
	}
	return digest
}

func poolOf(upstreams []Upstream) *Pool {
	slices.SortFunc(upstreams, byID)
	candidates := make([]affinity.Candidate, len(upstreams))
	for i, upstream := range upstreams {
		candidates[i] = affinity.Candidate{Upstream: upstream.ID}
	}
	return &Pool{Upstreams: upstreams, Ranking: affinity.NewPool(candidates)}
}
