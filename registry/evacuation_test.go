package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestEvacuatedZoneIsInNoPool guards against a choice among upstreams of an evacuated zone,
// and against routers that take an evacuation for a difference of their lists and read the
// store again and again.
func TestEvacuatedZoneIsInNoPool(t *testing.T) {
	known := new(registry.Registry)
	if known.AnyEvacuated() {
		t.Error("got an evacuated zone at first, want none")
	}
	known.SetEvacuated([]ident.Zone{"b"})
	if !known.AnyEvacuated() {
		t.Error("got no evacuated zone, want one")
	}
	if known.Loaded() {
		t.Error("got a loaded registry from an evacuation alone, want it loaded by rows only")
	}
	known.Replace(time.Now(), 1, []registry.Upstream{
		{ID: "i-1", Service: "pool", Zone: "a", Software: "v1"},
		{ID: "i-2", Service: "pool", Zone: "b", Software: "v2"},
		{ID: "i-3", Service: "pool", Zone: "b", Software: "v2", Leaving: true},
		{ID: "i-4", Service: "other", Zone: "b", Software: "v1"},
	})
	digest := known.Digest()
	check := func(when string, pool, versions, withheld int) {
		t.Helper()
		got := 0
		if upstreams := known.Pool("pool"); upstreams != nil {
			got = len(upstreams.Upstreams)
		}
		if got != pool {
			t.Errorf("got %d upstreams in the pool %s, want %d", got, when, pool)
		}
		if got := known.Versions("pool"); got["v2"] != versions || (known.VersionPool("pool", "v2") != nil) != (versions > 0) {
			t.Errorf("got versions %v %s, want %d upstreams of v2", got, when, versions)
		}
		if got := len(known.Withheld("pool")); got != withheld {
			t.Errorf("got %d upstreams withheld %s, want %d", got, when, withheld)
		}
		if got := known.Digest(); got != digest {
			t.Errorf("got another digest %s, want the same", when)
		}
	}
	check("during an evacuation from before the rows", 1, 0, 1)
	if known.Pool("other") != nil {
		t.Error("got a pool of a service whose only zone is evacuated, want none")
	}
	known.SetEvacuated(nil)
	if known.AnyEvacuated() {
		t.Error("got an evacuated zone after the end, want none")
	}
	check("after it", 2, 1, 0)
	known.SetEvacuated([]ident.Zone{"a", "b"})
	check("while both zones are evacuated", 0, 0, 2)
	known.Apply(time.Now(), []registry.Change{{Upstream: registry.Upstream{ID: "i-2", Service: "pool", Zone: "c", Software: "v2", Version: 2}}})
	digest = known.Digest()
	check("after an upstream has moved to another zone", 1, 1, 1)
	if got := len(known.InZone("b")); got != 2 {
		t.Errorf("got %d upstreams listed in zone b, want 2", got)
	}
	if _, listed := known.Upstream("i-1"); !listed {
		t.Error("got an upstream of an evacuated zone not listed, want it listed")
	}
}
