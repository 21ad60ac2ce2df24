package follow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// evacuationHarness is an Updater that records what it reports.
type evacuationHarness struct {
	updater follow.Updater
	relayed int
	ended   []string
}

func newEvacuationHarness() *evacuationHarness {
	harness := new(evacuationHarness)
	harness.updater = follow.Updater{
		Routes:           new(routing.CurrentTable),
		Registry:         new(registry.Registry),
		Evacuations:      new(evacuation.Tracker),
		RelayEvacuations: func() { harness.relayed++ },
		OnEvacuationEnd: func(zone ident.Zone, upstreams []registry.Upstream) {
			harness.ended = append(harness.ended, fmt.Sprint(zone, " ", len(upstreams)))
		},
		Logger: logging.Component(nil, "follow"),
	}
	harness.updater.Registry.Replace(time.Now(), 1, []registry.Upstream{
		{ID: "i-1", Service: "pool", Zone: "a"}, {ID: "i-2", Service: "pool", Zone: "b"}, {ID: "i-3", Service: "pool", Zone: "b"},
	})
	return harness
}

// row returns the row of an evacuation, or its removal.
func row(zone ident.Zone, version ident.Revision, evacuated bool) platform.Record {
	return platform.EncodeEvacuation(evacuation.State{Zone: zone, Revision: version, Evacuated: evacuated})
}

func (harness *evacuationHarness) check(t *testing.T, when string, pool, relayed int, ended ...string) {
	t.Helper()
	got := 0
	if upstreams := harness.updater.Registry.Pool("pool"); upstreams != nil {
		got = len(upstreams.Upstreams)
	}
	if got != pool || harness.relayed != relayed || !slices.Equal(harness.ended, ended) {
		t.Errorf("got %d upstreams in the pool, %d messages and ends %v %s, want %d, %d and %v", got, harness.relayed, harness.ended, when, pool, relayed, ended)
	}
}

// TestUpdaterAppliesEvacuations guards against rows of evacuations that are passed over
// beside, or without, a configuration, against other routers that are not told of a change at
// once, and against an end of which the code that treats the zone's upstreams as cold does
// not learn.
func TestUpdaterAppliesEvacuations(t *testing.T) {
	harness := newEvacuationHarness()
	updater := &harness.updater
	config := platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(`{"version":3}`), Version: 5}
	updater.ReplaceConfig([]platform.Record{config, row("b", 4, true)}, 6)
	harness.check(t, "after the first read", 1, 1)
	if table := updater.Routes.Table(); table == nil || table.Version != 3 {
		t.Errorf("got configuration %+v beside an evacuation, want version 3", table)
	}
	updater.ApplyConfig([]platform.Record{row("a", 7, true)}, 7)
	harness.check(t, "after a change of another zone", 0, 2)
	updater.ApplyConfig([]platform.Record{row("b", 9, false), row("a", 8, true)}, 9)
	harness.check(t, "after the end of the first", 2, 3, "b 2")
	if newer := updater.ApplyRemoteEvacuations([]evacuation.State{{Zone: "b", Revision: 4, Evacuated: true}}, "10.0.0.1:1"); len(newer) != 1 || newer[0].Evacuated {
		t.Errorf("got newer states %+v for an outdated message, want the end of b", newer)
	}
	harness.check(t, "after an outdated message", 2, 3, "b 2")
	updater.ApplyRemoteEvacuations([]evacuation.State{{Zone: "b", Revision: 12, Evacuated: true}}, "10.0.0.1:1")
	harness.check(t, "after a message that is newer than the store's rows", 0, 4, "b 2")
	updater.ReplaceConfig(nil, 10)
	harness.check(t, "after a complete read from before the message", 1, 5, "b 2", "a 1")
	updater.ReplaceConfig(nil, 13)
	harness.check(t, "after a newer one", 3, 6, "b 2", "a 1", "b 2")
}
