package registry

import (
	"maps"
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
)

// SetEvacuated replaces the evacuated zones. Their upstreams stay listed, but are in no pool.
func (registry *Registry) SetEvacuated(zones []ident.Zone) {
	evacuated := make(map[ident.Zone]struct{}, len(zones))
	for _, zone := range zones {
		evacuated[zone] = struct{}{}
	}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.evacuated.Store(&evacuated)
	if registry.Loaded() {
		registry.rebuild()
	}
}

// Evacuated reports whether a zone is evacuated, so that its upstreams get no new requests.
func (registry *Registry) Evacuated(zone ident.Zone) bool {
	zones := registry.evacuated.Load()
	if zones == nil {
		return false
	}
	_, found := (*zones)[zone]
	return found
}

// Exclusion is why a listed upstream is in no pool.
type Exclusion string

// The reasons of an exclusion.
const (
	// Draining means that the upstream accepts no new requests.
	Draining Exclusion = "draining"
	// ZoneEvacuated means that the availability zone of the upstream is evacuated.
	ZoneEvacuated Exclusion = "evacuated zone"
)

// Exclusion returns why a listed upstream is in no pool, or an empty string if it is in one.
func (registry *Registry) Exclusion(upstream Upstream) Exclusion {
	switch {
	case upstream.Leaving:
		return Draining
	case registry.Evacuated(upstream.Zone):
		return ZoneEvacuated
	}
	return ""
}

// AnyEvacuated reports whether at least one zone is evacuated.
func (registry *Registry) AnyEvacuated() bool {
	zones := registry.evacuated.Load()
	return zones != nil && len(*zones) > 0
}

// Withheld returns the upstreams of a service that accept new requests, but get none because
// their zones are evacuated. The slice must not be changed.
func (registry *Registry) Withheld(service ident.ServiceName) []Upstream {
	snapshot := registry.current.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot.withheld[service]
}

// InZone returns the listed upstreams of a zone, sorted by ID.
func (registry *Registry) InZone(zone ident.Zone) []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	inZone := slices.DeleteFunc(slices.Collect(maps.Values(registry.listed)), func(upstream Upstream) bool { return upstream.Zone != zone })
	slices.SortFunc(inZone, byID)
	return inZone
}
