package registry

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
)

// Pool is an immutable set of upstreams that serve one service. Upstreams and
// Ranking have the same indexes.
type Pool struct {
	Upstreams []Upstream
	Ranking   *affinity.Pool
	// Withheld holds those that accept new requests, but get none because their zone is
	// evacuated.
	Withheld []Upstream
	// RegionKey tells the pools apart that Within has made of one: it joins the names of the
	// regions that are left. It is empty for the whole pool.
	RegionKey string

	// zoneRegions holds the region of each zone, and regions those of Upstreams and Withheld,
	// sorted and without the empty one. within holds the pools that Within has made.
	zoneRegions map[ident.Zone]ident.Region
	regions     []ident.Region
	within      sync.Map
}

// snapshot is an immutable view of the registry for readers.
type snapshot struct {
	pools map[ident.ServiceName]*Pool
	// versions holds the upstreams of each pool by their software versions.
	versions  map[ident.ServiceName]map[ident.SoftwareVersion]*Pool
	upstreams map[ident.UpstreamID]Upstream
	digest    uint64
	// withheld holds the upstreams of each service that accept new requests but are in an
	// evacuated zone.
	withheld map[ident.ServiceName][]Upstream
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

// rebuild replaces the current snapshot. The caller holds mu.
func (registry *Registry) rebuild() {
	members, withheld := make(map[ident.ServiceName][]Upstream), make(map[ident.ServiceName][]Upstream)
	for _, upstream := range registry.listed {
		switch registry.Exclusion(upstream) {
		case Draining:
		case ZoneEvacuated:
			withheld[upstream.Service] = append(withheld[upstream.Service], upstream)
		default:
			members[upstream.Service] = append(members[upstream.Service], upstream)
		}
	}
	zoneRegions := registry.zoneRegions()
	pools := make(map[ident.ServiceName]*Pool, len(members))
	versions := make(map[ident.ServiceName]map[ident.SoftwareVersion]*Pool, len(members))
	for service, upstreams := range members {
		pools[service] = newPool(upstreams, withheld[service], zoneRegions)
		versions[service] = versionPools(pools[service])
	}
	registry.current.Store(&snapshot{pools: pools, versions: versions, upstreams: maps.Clone(registry.listed), digest: registry.digest(), withheld: withheld})
}

// digest returns a hash that does not depend on the order of the map: routers compare it. It
// doesn't depend on evacuations, which are propagated separately, nor on the order of rows. Its
// text is that of earlier programs, with a zero where they had the version. The caller holds mu.
func (registry *Registry) digest() uint64 {
	var digest uint64
	for _, upstream := range registry.listed {
		text := fmt.Sprintf("{%v %v %v %v %v %v %v %v %v 0}", upstream.ID, upstream.Incarnation, upstream.Service, upstream.Address,
			upstream.Zone, upstream.Software, upstream.Slots, upstream.Leaving, upstream.Engine)
		digest ^= xxhash.Sum64String(text)
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
		withheld := slices.DeleteFunc(slices.Clone(pool.Withheld), func(upstream Upstream) bool { return upstream.Software != version })
		pools[version] = newPool(upstreams, withheld, pool.zoneRegions)
	}
	return pools
}

// newPool returns the pool of upstreams, which it sorts by ID, and withheld ones. zoneRegions
// holds the region of each zone.
func newPool(upstreams, withheld []Upstream, zoneRegions map[ident.Zone]ident.Region) *Pool {
	slices.SortFunc(upstreams, byID)
	candidates := make([]affinity.Candidate, len(upstreams))
	for i, upstream := range upstreams {
		candidates[i] = affinity.Candidate{Upstream: upstream.ID}
	}
	return &Pool{
		Upstreams:   upstreams,
		Ranking:     affinity.NewPool(candidates),
		Withheld:    withheld,
		zoneRegions: zoneRegions,
		regions:     regionsOf(upstreams, withheld, zoneRegions),
	}
}
