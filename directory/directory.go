package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
)

// Entry is one upstream with the addresses of the sidecar beside it.
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

// PoolKey says what an upstream serves: a model or a service.
type PoolKey struct {
	Model   ident.ModelName
	Service ident.ServiceName
}

// PoolKeyOf returns what the upstreams of a route serve.
func PoolKeyOf(route settings.Route) PoolKey {
	return PoolKey{Model: route.Model, Service: route.Service}
}

// Pool is an immutable set of upstreams that serve the same. Entries and
// Ranking have the same indexes.
type Pool struct {
	Entries []Entry
	Ranking *affinity.Pool
	// Loads remembers what the sidecars of the pool said of their load. It
	// outlives changes of the pool.
	Loads *affinity.Loads
}

// Directory holds the pools. The zero value has none.
type Directory struct {
	// Region limits the pools to one region as long as it has any upstream;
	// empty takes all regions.
	Region ident.Region

	pools atomic.Pointer[index]

	mu      sync.Mutex
	vms     []platform.VM
	leaving map[ident.UpstreamID]string
	seen    map[ident.UpstreamID]string
	loads   map[PoolKey]*affinity.Loads
}

type index struct {
	pools   map[PoolKey]*Pool
	entries map[ident.UpstreamID]Entry
}

// SetVMs takes in a new list of VMs.
func (directory *Directory) SetVMs(vms []platform.VM) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.vms = slices.Clone(vms)
	directory.forgetGone()
	directory.rebuild()
}

// ObserveSidecar takes in what a sidecar said of itself.
func (directory *Directory) ObserveSidecar(upstream ident.UpstreamID, incarnation string, leaving bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.seen == nil {
		directory.seen = make(map[ident.UpstreamID]string)
	}
	directory.seen[upstream] = incarnation
	marked, wasLeaving := directory.leaving[upstream]
	switch {
	case leaving && marked != incarnation:
		if directory.leaving == nil {
			directory.leaving = make(map[ident.UpstreamID]string)
		}
		directory.leaving[upstream] = incarnation
	case !leaving && wasLeaving && marked != incarnation:
		delete(directory.leaving, upstream)
	default:
		return
	}
	directory.rebuild()
}

// Incarnation returns the last known run of the sidecar's process beside
// upstream, or empty where it was not heard of.
func (directory *Directory) Incarnation(upstream ident.UpstreamID) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.seen[upstream]
}

// forgetGone drops the marks of upstreams that have left the list.
func (directory *Directory) forgetGone() {
	listed := make(map[ident.UpstreamID]bool, len(directory.vms))
	for _, vm := range directory.vms {
		if vm.Upstream != nil {
			listed[vm.Upstream.ID] = true
		}
	}
	for upstream := range directory.leaving {
		if !listed[upstream] {
			delete(directory.leaving, upstream)
		}
	}
	for upstream := range directory.seen {
		if !listed[upstream] {
			delete(directory.seen, upstream)
		}
	}
}

func (directory *Directory) rebuild() {
	built := &index{pools: make(map[PoolKey]*Pool), entries: make(map[ident.UpstreamID]Entry)}
	grouped := make(map[PoolKey][]Entry)
	for _, vm := range directory.vms {
		if vm.Role != platform.RoleSidecar || vm.Upstream == nil {
			continue
		}
		entry := entryOf(vm)
		built.entries[entry.Upstream] = entry
		if _, leaving := directory.leaving[entry.Upstream]; leaving || vm.Leaving {
			continue
		}
		grouped[entry.PoolKey] = append(grouped[entry.PoolKey], entry)
	}
	for key, entries := range grouped {
		built.pools[key] = poolOf(directory.regional(entries), directory.loadsOf(key))
	}
	directory.pools.Store(built)
}

// regional returns the entries of the own region, or all where it has none.
func (directory *Directory) regional(entries []Entry) []Entry {
	if directory.Region == "" {
		return entries
	}
	var own []Entry
	for _, entry := range entries {
		if entry.Region == directory.Region {
			own = append(own, entry)
		}
	}
	if len(own) == 0 {
		return entries
	}
	return own
}

func entryOf(vm platform.VM) Entry {
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

// loadsOf returns the memory of loads of the pool that serves what is asked. The
// caller holds mu.
func (directory *Directory) loadsOf(key PoolKey) *affinity.Loads {
	if directory.loads == nil {
		directory.loads = make(map[PoolKey]*affinity.Loads)
	}
	if directory.loads[key] == nil {
		directory.loads[key] = new(affinity.Loads)
	}
	return directory.loads[key]
}

// Report takes in what a sidecar said of its load, or that it was not reached.
func (directory *Directory) Report(report affinity.Report) {
	entry, found := directory.Entry(report.Upstream)
	if !found {
		return
	}
	if pool := directory.Pool(entry.PoolKey); pool != nil {
		pool.Loads.Add(report)
	}
}

func poolOf(entries []Entry, loads *affinity.Loads) *Pool {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	candidates := make([]affinity.Candidate, len(entries))
	for i, entry := range entries {
		candidates[i] = affinity.Candidate{Upstream: entry.Upstream, Weight: entry.Weight}
	}
	return &Pool{Entries: entries, Ranking: affinity.NewPool(candidates), Loads: loads}
}

// Pool returns the upstreams that serve what is asked, or nil for none.
func (directory *Directory) Pool(key PoolKey) *Pool {
	built := directory.pools.Load()
	if built == nil {
		return nil
	}
	return built.pools[key]
}

// Listed reports whether a list of VMs was taken in yet.
func (directory *Directory) Listed() bool { return directory.pools.Load() != nil }

// Entry returns the entry of an upstream, whether it is leaving or not.
func (directory *Directory) Entry(upstream ident.UpstreamID) (Entry, bool) {
	built := directory.pools.Load()
	if built == nil {
		return Entry{}, false
	}
	entry, found := built.entries[upstream]
	return entry, found
}

// Entries returns every known upstream, in the order of their names.
func (directory *Directory) Entries() []Entry {
	built := directory.pools.Load()
	if built == nil {
		return nil
	}
	entries := make([]Entry, 0, len(built.entries))
	for _, entry := range built.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return entries
}

// Leaving reports whether the platform's list or the upstream itself said that
// it is leaving.
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
