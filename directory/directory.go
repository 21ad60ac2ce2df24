package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
)

// Entry is one upstream. Address and PeerAddress are those of its sidecar.
type Entry struct {
	VM          ident.VMID
	Upstream    ident.UpstreamID
	Address     string
	PeerAddress string
	Zone        ident.Zone
	Region      ident.Region
	Weight      float64
	PoolKey     PoolKey
}

// PoolKey identifies a pool by what its upstreams serve, a model or a service. The
// other field is empty.
type PoolKey struct {
	Model   ident.ModelName
	Service ident.ServiceName
}

// PoolKeyOf returns the key of the pool that serves a route.
func PoolKeyOf(route settings.Route) PoolKey {
	return PoolKey{Model: route.Model, Service: route.Service}
}

// Pool is the set of upstreams with the same PoolKey. Entries and Ranking are
// immutable and have the same indexes.
type Pool struct {
	Entries []Entry
	Ranking *affinity.Pool
	// Loads holds the load reports of the pool's upstreams. It is shared by all
	// successive pools with the same key.
	Loads *affinity.Loads
}

// Directory holds the pools. The zero value has none. It is safe for concurrent
// use; Pool, Entry and Entries take no lock.
type Directory struct {
	// Region restricts each pool to the upstreams of one region, unless the pool has
	// none there. If Region is empty, upstreams of all regions are used.
	Region ident.Region

	current atomic.Pointer[snapshot]

	mu  sync.Mutex
	vms []platform.VM
	// leaving holds the incarnation in which each sidecar reported that its upstream
	// is leaving, incarnations the latest one that each sidecar reported, and
	// previous the one before it.
	leaving      map[ident.UpstreamID]string
	incarnations map[ident.UpstreamID]string
	previous     map[ident.UpstreamID]string
	loads        map[PoolKey]*affinity.Loads
}

// snapshot is the immutable state that readers use.
type snapshot struct {
	pools map[PoolKey]*Pool
	// entries holds all listed upstreams, including those that are leaving.
	entries map[ident.UpstreamID]Entry
}

// SetVMs replaces the list of VMs and rebuilds the pools.
func (directory *Directory) SetVMs(vms []platform.VM) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.vms = slices.Clone(vms)
	directory.removeUnlisted()
	directory.rebuild()
}

// ObserveSidecar records the state that the sidecar of an upstream reported.
// Incarnation identifies the run of the sidecar's process. A leaving upstream
// stays out of the pools until a newer incarnation reports that it is not leaving,
// so a delayed report of the same or the previous one doesn't bring it back.
func (directory *Directory) ObserveSidecar(upstream ident.UpstreamID, incarnation string, leaving bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if previous, known := directory.previous[upstream]; known && previous == incarnation {
		return
	}
	directory.setIncarnation(upstream, incarnation)
	leavingIncarnation, wasLeaving := directory.leaving[upstream]
	switch {
	case leaving && leavingIncarnation != incarnation:
		if directory.leaving == nil {
			directory.leaving = make(map[ident.UpstreamID]string)
		}
		directory.leaving[upstream] = incarnation
	case !leaving && wasLeaving && leavingIncarnation != incarnation:
		delete(directory.leaving, upstream)
	default:
		return
	}
	directory.rebuild()
}

// setIncarnation records the latest incarnation of a sidecar. The caller holds mu.
func (directory *Directory) setIncarnation(upstream ident.UpstreamID, incarnation string) {
	if directory.incarnations == nil {
		directory.incarnations = make(map[ident.UpstreamID]string)
		directory.previous = make(map[ident.UpstreamID]string)
	}
	if latest, known := directory.incarnations[upstream]; known && latest != incarnation {
		directory.previous[upstream] = latest
	}
	directory.incarnations[upstream] = incarnation
}

// Incarnation returns the latest incarnation that the sidecar of upstream
// reported, or an empty string if it has reported none.
func (directory *Directory) Incarnation(upstream ident.UpstreamID) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.incarnations[upstream]
}

// removeUnlisted removes the reported state of upstreams that are no longer listed.
// The caller holds mu.
func (directory *Directory) removeUnlisted() {
	listed := make(map[ident.UpstreamID]bool, len(directory.vms))
	for _, vm := range directory.vms {
		if vm.Upstream != nil {
			listed[vm.Upstream.ID] = true
		}
	}
	unlisted := func(upstream ident.UpstreamID, _ string) bool { return !listed[upstream] }
	maps.DeleteFunc(directory.leaving, unlisted)
	maps.DeleteFunc(directory.incarnations, unlisted)
	maps.DeleteFunc(directory.previous, unlisted)
}

// rebuild publishes a new snapshot. The caller holds mu.
func (directory *Directory) rebuild() {
	next := &snapshot{pools: make(map[PoolKey]*Pool), entries: make(map[ident.UpstreamID]Entry)}
	entriesByKey := make(map[PoolKey][]Entry)
	for _, vm := range directory.vms {
		if vm.Role != platform.RoleSidecar || vm.Upstream == nil {
			continue
		}
		entry := newEntry(vm)
		next.entries[entry.Upstream] = entry
		if _, leaving := directory.leaving[entry.Upstream]; leaving || vm.Leaving {
			continue
		}
		entriesByKey[entry.PoolKey] = append(entriesByKey[entry.PoolKey], entry)
	}
	for key, entries := range entriesByKey {
		next.pools[key] = newPool(directory.filterRegion(entries), directory.loadsOf(key))
	}
	directory.current.Store(next)
}

// filterRegion returns the entries in directory.Region, or all entries if there
// are none in it.
func (directory *Directory) filterRegion(entries []Entry) []Entry {
	if directory.Region == "" {
		return entries
	}
	var filtered []Entry
	for _, entry := range entries {
		if entry.Region == directory.Region {
			filtered = append(filtered, entry)
		}
	}
	if len(filtered) == 0 {
		return entries
	}
	return filtered
}

func newEntry(vm platform.VM) Entry {
	return Entry{
		VM:          vm.ID,
		Upstream:    vm.Upstream.ID,
		Address:     vm.Address,
		PeerAddress: vm.PeerAddress,
		Zone:        vm.Zone,
		Region:      vm.Region,
		Weight:      vm.Upstream.Weight,
		PoolKey:     PoolKey{Model: vm.Upstream.Model, Service: vm.Upstream.Service},
	}
}

// loadsOf returns the load reports that all pools with this key share. The caller
// holds mu.
func (directory *Directory) loadsOf(key PoolKey) *affinity.Loads {
	if directory.loads == nil {
		directory.loads = make(map[PoolKey]*affinity.Loads)
	}
	if directory.loads[key] == nil {
		directory.loads[key] = new(affinity.Loads)
	}
	return directory.loads[key]
}

// Report records the load that a sidecar reported, or that it could not be
// reached. Reports about upstreams that are not listed are ignored.
func (directory *Directory) Report(report affinity.Report) {
	entry, found := directory.Entry(report.Upstream)
	if !found {
		return
	}
	if pool := directory.Pool(entry.PoolKey); pool != nil {
		pool.Loads.Add(report)
	}
}

func newPool(entries []Entry, loads *affinity.Loads) *Pool {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	candidates := make([]affinity.Candidate, len(entries))
	for i, entry := range entries {
		candidates[i] = affinity.Candidate{Upstream: entry.Upstream, Weight: entry.Weight}
	}
	return &Pool{Entries: entries, Ranking: affinity.NewPool(candidates), Loads: loads}
}

// Pool returns the current pool with this key, or nil if no upstream serves it.
func (directory *Directory) Pool(key PoolKey) *Pool {
	current := directory.current.Load()
	if current == nil {
		return nil
	}
	return current.pools[key]
}

// Loaded reports whether a list of VMs has been set.
func (directory *Directory) Loaded() bool { return directory.current.Load() != nil }

// Entry returns the entry of a listed upstream, even if it is leaving.
func (directory *Directory) Entry(upstream ident.UpstreamID) (Entry, bool) {
	current := directory.current.Load()
	if current == nil {
		return Entry{}, false
	}
	entry, found := current.entries[upstream]
	return entry, found
}

// Entries returns all listed upstreams in ascending order of their IDs, including
// those that are leaving.
func (directory *Directory) Entries() []Entry {
	current := directory.current.Load()
	if current == nil {
		return nil
	}
	entries := make([]Entry, 0, len(current.entries))
	for _, entry := range current.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return entries
}

// Leaving reports whether an upstream is leaving according to the platform's list
// or to its own sidecar.
func (directory *Directory) Leaving(upstream ident.UpstreamID) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if _, leaving := directory.leaving[upstream]; leaving {
		return true
	}
	for _, vm := range directory.vms {
		if vm.Upstream != nil && vm.Upstream.ID == upstream {
			return vm.Leaving
		}
	}
	return false
}
