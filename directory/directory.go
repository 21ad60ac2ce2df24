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
	Serves      Serves
}

// Serves says what an upstream serves: a model or a service.
type Serves struct {
	Model   ident.ModelName
	Service ident.ServiceName
}

// ServesOf returns what the upstreams of a route serve.
func ServesOf(route settings.Route) Serves {
	return Serves{Model: route.Model, Service: route.Service}
}

// Pool is an immutable set of upstreams that serve the same. Entries and
// Ranking have the same indexes.
type Pool struct {
	Entries []Entry
	Ranking *affinity.Pool
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
}

type index struct {
	pools   map[Serves]*Pool
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

// Saw takes in what a sidecar said of itself.
func (directory *Directory) Saw(upstream ident.UpstreamID, incarnation string, leaving bool) {
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
	built := &index{pools: make(map[Serves]*Pool), entries: make(map[ident.UpstreamID]Entry)}
	grouped := make(map[Serves][]Entry)
	for _, vm := range directory.vms {
		if vm.Role != platform.RoleSidecar || vm.Upstream == nil {
			continue
		}
		entry := entryOf(vm)
		built.entries[entry.Upstream] = entry
		if _, leaving := directory.leaving[entry.Upstream]; leaving || vm.Leaving {
			continue
		}
		grouped[entry.Serves] = append(grouped[entry.Serves], entry)
	}
	for serves, entries := range grouped {
		built.pools[serves] = poolOf(directory.regional(entries))
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
		Serves:      Serves{Model: vm.Upstream.Model, Service: vm.Upstream.Service},
	}
}

func poolOf(entries []Entry) *Pool {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	candidates := make([]affinity.Candidate, len(entries))
	for i, entry := range entries {
		candidates[i] = affinity.Candidate{Upstream: entry.Upstream, Weight: entry.Weight}
	}
	return &Pool{Entries: entries, Ranking: affinity.NewPool(candidates)}
}

// Pool returns the upstreams that serve what is asked, or nil for none.
func (directory *Directory) Pool(serves Serves) *Pool {
	built := directory.pools.Load()
	if built == nil {
		return nil
	}
	return built.pools[serves]
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
