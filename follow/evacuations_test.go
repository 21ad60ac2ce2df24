package follow_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// evacuationHarness is an Updater that records what it reports.
type evacuationHarness struct {
	updater follow.Updater
	relayed int
	ended   []string
	// poolAtEnd holds the number of usable upstreams at each call of OnEvacuationEnd.
	poolAtEnd []int
	// onRelay, unless nil, is called by RelayEvacuations.
	onRelay func()
	log     bytes.Buffer
}

func newEvacuationHarness() *evacuationHarness {
	harness := new(evacuationHarness)
	harness.updater = follow.Updater{
		Routes:      new(routing.CurrentTable),
		Registry:    new(registry.Registry),
		Evacuations: new(evacuation.Tracker),
		RelayEvacuations: func() {
			harness.relayed++
			if harness.onRelay != nil {
				harness.onRelay()
			}
		},
		OnEvacuationEnd: func(zone ident.Zone, upstreams []registry.Upstream) {
			harness.ended = append(harness.ended, fmt.Sprint(zone, " ", len(upstreams)))
			harness.poolAtEnd = append(harness.poolAtEnd, harness.usable())
		},
	}
	harness.updater.Logger = slog.New(slog.NewTextHandler(&harness.log, nil))
	harness.updater.Registry.Replace(time.Now(), 1, []registry.Upstream{
		{ID: "i-1", Service: "pool", Zone: "a"}, {ID: "i-2", Service: "pool", Zone: "b"}, {ID: "i-3", Service: "pool", Zone: "b"},
	})
	return harness
}

// row returns the row of an evacuation, or its removal.
func row(zone ident.Zone, version ident.Revision, evacuated bool) platform.Record {
	return platform.EncodeEvacuation(evacuation.State{Zone: zone, Revision: version, Evacuated: evacuated})
}

// usable returns the number of upstreams in the pool.
func (harness *evacuationHarness) usable() int {
	if pool := harness.updater.Registry.Pool("pool"); pool != nil {
		return len(pool.Upstreams)
	}
	return 0
}

func (harness *evacuationHarness) check(t *testing.T, when string, pool, relayed int, ended ...string) {
	t.Helper()
	got := harness.usable()
	if got != pool || harness.relayed != relayed || !slices.Equal(harness.ended, ended) {
		t.Errorf("got %d upstreams in the pool, %d messages and ends %v %s, want %d, %d and %v", got, harness.relayed, harness.ended, when, pool, relayed, ended)
	}
}

// TestUpdaterAppliesEvacuations guards against rows of evacuations that are skipped
// beside, or without, a configuration, against other routers that are not notified of a change at
// once, and against an end of which the code that treats the zone's upstreams as cold does
// not learn, or learns only once requests reach them.
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
	if got, want := harness.poolAtEnd, []int{0, 0, 1}; !slices.Equal(got, want) {
		t.Errorf("got %v usable upstreams when the ends were reported, want %v: none of a zone whose evacuation ends", got, want)
	}
}

// TestEvacuationsAreReportedInOrder guards against a zone that is logged as usable after a
// newer change, which another goroutine applies, has evacuated it again.
func TestEvacuationsAreReportedInOrder(t *testing.T) {
	harness := newEvacuationHarness()
	updater := &harness.updater
	updater.ApplyConfig([]platform.Record{row("b", 4, true)}, 4)
	harness.onRelay = func() {
		harness.onRelay = nil
		updater.ApplyRemoteEvacuations([]evacuation.State{{Zone: "b", Revision: 6, Evacuated: true}}, "10.0.0.1:1")
	}
	updater.ApplyConfig([]platform.Record{row("b", 5, false)}, 5)
	log := harness.log.String()
	ended, again := strings.Index(log, "Revision=5"), strings.Index(log, "Revision=6")
	if ended < 0 || again < ended {
		t.Errorf("got log %s, want the end at revision 5 before the evacuation at revision 6", log)
	}
}
