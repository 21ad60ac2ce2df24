package balance_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

// TestEvacuatedZoneDoesNotRaiseTheBound guards against an upstream that gets more than a
// multiple of the mean of its service, because the upstreams of an evacuated zone, which are
// idle, don't count in the mean.
func TestEvacuatedZoneDoesNotRaiseTheBound(t *testing.T) {
	tests := []struct {
		name string
		// loads are those of upstreams of zone-0, zone-1, zone-2, zone-0 and so on, of which
		// zone-0 is evacuated.
		loads []int
		// cached is the upstream that has the prompt cached, and choosesIt whether it
		// gets the request: below twice the mean of all six, plus 1.5.
		cached    int
		choosesIt bool
	}{
		{"below the bound", []int{0, 17, 10, 0, 10, 10}, 1, true},
		{"above the bound of all, below that of the others", []int{0, 20, 10, 0, 10, 10}, 1, false},
		{"evacuated upstreams that still run requests", []int{10, 20, 10, 10, 10, 10}, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWith(test.loads, nil)
			chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(test.cached)})
			pool := poolWithout(len(test.loads), "zone-0")
			got, found := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"prompt"}})
			if !found || (got.Upstream.ID == id(test.cached)) != test.choosesIt {
				t.Errorf("got %s (%s) and found %t, want the upstream with the prompt: %t", got.Upstream.ID, got.Reason, found, test.choosesIt)
			}
			if got.Upstream.Zone == "zone-0" {
				t.Errorf("got %s in the evacuated zone, want another zone", got.Upstream.ID)
			}
		})
	}
}
