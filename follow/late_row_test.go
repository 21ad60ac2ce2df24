package follow_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// checkIn returns the row of upstream i-1 as its given write says it.
func checkIn(t *testing.T, version ident.Revision, sequence int, leaving bool) platform.Record {
	t.Helper()
	value, err := platform.EncodeServer(registry.Upstream{Incarnation: 1700000000000, Service: "pool", Address: "10.0.0.1:80", Leaving: leaving}, sequence)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Record{Key: "i-1", Value: value, Version: version}
}

// TestCheckInPerformedLate guards against requests to an upstream that has said that it leaves, or
// has left (DRAIN): the store performed a check-in late, and the routers read it as the newest word.
func TestCheckInPerformedLate(t *testing.T) {
	gone := platform.Record{Key: "i-1", Version: 21, Deleted: true}
	tests := map[string][]platform.Record{
		"behind draining":                 {checkIn(t, 20, 8, true), checkIn(t, 21, 5, false)},
		"behind draining and the removal": {checkIn(t, 20, 8, true), gone, checkIn(t, 22, 5, false)},
		"behind the removal":              {gone, checkIn(t, 22, 5, false)},
	}
	for name, records := range tests {
		t.Run(name, func(t *testing.T) {
			var relayed []registry.Change
			var rows []ident.Revision
			harness := newEvacuationHarness()
			updater := &harness.updater
			updater.Registry = &registry.Registry{Heartbeat: time.Second}
			updater.Routes = new(routing.CurrentTable)
			updater.Relay = func(changes []registry.Change) { relayed = append(relayed, changes...) }
			updater.OnUpstreamChange = func(registry.Upstream) {}
			updater.OnRow = func(upstream registry.Upstream, _ []byte, _ time.Time) { rows = append(rows, upstream.Version) }
			updater.SentAt = time.Now
			updater.ReplaceUpstreams([]platform.Record{checkIn(t, 10, 4, false)}, 10)
			for _, record := range records {
				updater.ApplyUpstreams([]platform.Record{record}, record.Version)
			}
			if got := harness.usable(); got != 0 {
				t.Errorf("got %d upstreams in the pool, want none", got)
			}
			late := records[len(records)-1].Version
			if last := relayed[len(relayed)-1]; last.Upstream.Version == late && !last.Upstream.Leaving {
				t.Errorf("got %+v relayed, want no row that was written late", last)
			}
			if rows[len(rows)-1] == late {
				t.Error("got the late row passed on for what it says of the upstream, want it left out")
			}
		})
	}
}
