package registry

import (
	"slices"
	"strings"

	"github.com/hickoryhead/hickoryhead/ident"
)

// SetRegions sets the region of each zone. The map must not be changed afterwards.
func (registry *Registry) SetRegions(regions map[ident.Zone]ident.Region) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.regions.Store(&regions)
	if registry.Loaded() {
		registry.rebuild()
	}
}

// zoneRegions returns the region of each zone.
func (registry *Registry) zoneRegions() map[ident.Zone]ident.Region {
	if regions := registry.regions.Load(); regions != nil {
		return *regions
	}
	return nil
}

// Region returns the region of a zone, or an empty one if it has none.
func (registry *Registry) Region(zone ident.Zone) ident.Region { return registry.zoneRegions()[zone] }

// InRegions reports whether a request that is restricted to allowed regions may run in a
// region. A nil list allows any, and no list allows an empty region.
func InRegions(region ident.Region, allowed []ident.Region) bool {
	return allowed == nil || region != "" && slices.Contains(allowed, region)
}

// regionSeparator joins the names of regions in RegionKey.
const regionSeparator = "\x00"

// Within returns the pool of those upstreams that are in allowed regions, with the withheld
// ones of these regions, or nil if no usable one is there. A nil list allows any. The pool may
// be nil. Lists that leave the same upstreams give the same pool.
func (pool *Pool) Within(allowed []ident.Region) *Pool {
	if pool == nil || allowed == nil {
		return pool
	}
	var present []string
	for _, region := range pool.regions {
		if InRegions(region, allowed) {
			present = append(present, string(region))
		}
	}
	if len(present) == 0 {
		return nil
	}
	key := strings.Join(present, regionSeparator)
	if known, found := pool.within.Load(key); found {
		return known.(*Pool)
	}
	known, _ := pool.within.LoadOrStore(key, pool.restrict(allowed, key))
	return known.(*Pool)
}

// restrict does the work of Within, without its cache.
func (pool *Pool) restrict(allowed []ident.Region, key string) *Pool {
	elsewhere := func(upstream Upstream) bool { return !InRegions(pool.zoneRegions[upstream.Zone], allowed) }
	upstreams := slices.DeleteFunc(slices.Clone(pool.Upstreams), elsewhere)
	withheld := slices.DeleteFunc(slices.Clone(pool.Withheld), elsewhere)
	switch {
	case len(upstreams) == 0:
		return nil
	case len(upstreams) == len(pool.Upstreams) && len(withheld) == len(pool.Withheld):
		return pool
	}
	restricted := newPool(upstreams, withheld, pool.zoneRegions)
	restricted.RegionKey = key
	return restricted
}

// regionsOf returns the regions of usable and withheld upstreams, sorted and without the empty one.
func regionsOf(upstreams, withheld []Upstream, zoneRegions map[ident.Zone]ident.Region) []ident.Region {
	var regions []ident.Region
	for _, upstream := range slices.Concat(upstreams, withheld) {
		if region := zoneRegions[upstream.Zone]; region != "" && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}
