package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, "29") }

var began = time.Unix(1_700_000_000, 0)

// zones returns the evacuated zones of a tracker.
func zones(tracker *evacuation.Tracker) []ident.Zone {
	var zones []ident.Zone
	states, _ := tracker.Evacuated()
	for _, state := range states {
		zones = append(zones, state.Zone)
	}
	return zones
}

func checkZones(t *testing.T, tracker *evacuation.Tracker, when string, want ...ident.Zone) {
	t.Helper()
	if got := zones(tracker); !slices.Equal(got, want) {
		t.Errorf("got zones %v evacuated %s, want %v", got, when, want)
	}
}

// TestOlderReadingChangesNothing guards against an evacuation that ends, or begins again,
// because of a late datagram or a read that was overtaken.
func TestOlderReadingChangesNothing(t *testing.T) {
	var tracker evacuation.Tracker
	tracker.Replace(began, 10, nil)
	tracker.Apply(began, []evacuation.State{{Zone: "a", Revision: 9, Evacuated: true}})
	checkZones(t, &tracker, "after a datagram older than the read of the store")
	tracker.Apply(began, []evacuation.State{{Zone: "a", Revision: 14, Evacuated: true}})
	checkZones(t, &tracker, "after a newer datagram", "a")
	tracker.Replace(began, 12, nil)
	checkZones(t, &tracker, "after a complete read from before it", "a")
	tracker.Follow(began, 16, []evacuation.State{{Zone: "a", Revision: 16}, {Zone: "b", Revision: 15, Evacuated: true}})
	checkZones(t, &tracker, "after the end of one and the beginning of another", "b")
	got := tracker.Apply(began, []evacuation.State{{Zone: "a", Revision: 14, Evacuated: true}})
	want := []evacuation.State{{Zone: "a", Revision: 16}}
	if len(got.Changed) != 0 || !slices.Equal(got.Outdated, want) {
		t.Errorf("got %+v for a late datagram, want nothing changed and %+v as the newer state", got, want)
	}
	checkZones(t, &tracker, "after a late datagram", "b")
}

// TestCompleteReadEndsEvacuations guards against an evacuation that stays in force because
// its end is in a part of the store's history that was dropped, and against a store that
// came back from an older copy, whose versions are lower.
func TestCompleteReadEndsEvacuations(t *testing.T) {
	var tracker evacuation.Tracker
	tracker.Replace(began, 10, []evacuation.State{{Zone: "a", Revision: 3}, {Zone: "b", Revision: 4}})
	checkZones(t, &tracker, "after the first read", "a", "b")
	got := tracker.Replace(began, 20, []evacuation.State{{Zone: "b", Revision: 4}})
	if want := []evacuation.State{{Zone: "a", Revision: 20}}; !slices.Equal(got.Changed, want) {
		t.Errorf("got changes %+v, want %+v", got.Changed, want)
	}
	checkZones(t, &tracker, "after a read without a", "b")
	restored := ident.Era(1)
	tracker.Replace(began, restored.Revision(2), []evacuation.State{{Zone: "a", Revision: restored.Revision(1)}})
	checkZones(t, &tracker, "after the store came back from an older copy", "a")
}

// TestReport guards against a router that sends datagrams without end after an evacuation,
// and against one that keeps the states of zones for ever.
func TestReport(t *testing.T) {
	var tracker evacuation.Tracker
	if got := tracker.Report(began); len(got) != 0 {
		t.Errorf("got report %+v without an evacuation, want none", got)
	}
	tracker.Follow(began, 5, []evacuation.State{{Zone: "a", Revision: 5, Evacuated: true}})
	later := began.Add(time.Hour)
	if got, want := tracker.Report(later), []evacuation.State{{Zone: "a", Revision: 5, Evacuated: true}}; !slices.Equal(got, want) {
		t.Errorf("got report %+v during an evacuation, want %+v", got, want)
	}
	tracker.Follow(later, 7, []evacuation.State{{Zone: "a", Revision: 7}})
	if got, want := tracker.Report(later.Add(evacuation.ReportTime)), []evacuation.State{{Zone: "a", Revision: 7}}; !slices.Equal(got, want) {
		t.Errorf("got report %+v soon after an evacuation, want %+v", got, want)
	}
	if got := tracker.Report(later.Add(evacuation.ReportTime + time.Second)); len(got) != 0 {
		t.Errorf("got report %+v long after an evacuation, want none", got)
	}
	tracker.Apply(later, []evacuation.State{{Zone: "a", Revision: 5, Evacuated: true}})
	checkZones(t, &tracker, "after a datagram from before the end that was forgotten")
}

// history is what the store's table held at each version.
type history []map[ident.Zone]ident.Revision

// drawHistory returns a history of writes and removals of rows.
func drawHistory(random *rand.Rand, length int) history {
	states := history{{}}
	for version := 1; version < length; version++ {
		next := make(map[ident.Zone]ident.Revision)
		for zone, revision := range states[version-1] {
			next[zone] = revision
		}
		zone := ident.Zone(fmt.Sprint("zone-", random.IntN(3)))
		if _, found := next[zone]; found && random.IntN(2) == 0 {
			delete(next, zone)
		} else {
			next[zone] = ident.Revision(version)
		}
		states = append(states, next)
	}
	return states
}

// rows returns the rows at a version.
func (history history) rows(version int) []evacuation.State {
	var rows []evacuation.State
	for zone, revision := range history[version] {
		rows = append(rows, evacuation.State{Zone: zone, Revision: revision, Evacuated: true})
	}
	return rows
}

// changes returns the zones that changed after one version, up to another.
func (history history) changes(after, version int) []evacuation.State {
	var changed []evacuation.State
	for n := range 3 {
		zone := ident.Zone(fmt.Sprint("zone-", n))
		for at := version; at > after; at-- {
			revision, found := history[at][zone]
			if _, before := history[at-1][zone]; !found && before {
				changed = append(changed, evacuation.State{Zone: zone, Revision: ident.Revision(at)})
				break
			}
			if found && revision == ident.Revision(at) {
				changed = append(changed, evacuation.State{Zone: zone, Revision: revision, Evacuated: true})
				break
			}
		}
	}
	return changed
}

// TestRoutersAgreeOnTheNewestState guards against routers that end with different states:
// some read the store, now and then and with full reads, datagrams of all go to others and
// are lost, late or doubled. None may ever have an older state than it has read, and all that get
// the newest datagrams know the newest state.
func TestRoutersAgreeOnTheNewestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const routers, length = 4, 30
		history := drawHistory(random, length)
		trackers := make([]evacuation.Tracker, routers)
		read := make([]int, routers)
		var datagrams [][]evacuation.State
		now := began
		for version := 1; version < length; version++ {
			for step := range 6 {
				now = now.Add(time.Second)
				reader := random.IntN(routers - 1)
				switch step % 3 {
				case 0:
					trackers[reader].Follow(now, ident.Revision(version), history.changes(read[reader], version))
					read[reader] = version
				case 1:
					if random.IntN(4) == 0 {
						trackers[reader].Replace(now, ident.Revision(version), history.rows(version))
						read[reader] = version
					}
				case 2:
					datagrams = append(datagrams, trackers[random.IntN(routers)].Report(now))
					trackers[random.IntN(routers)].Apply(now, datagrams[random.IntN(len(datagrams))])
				}
			}
		}
		last := length - 1
		trackers[0].Follow(now, ident.Revision(last), history.changes(read[0], last))
		for n := 1; n < routers; n++ {
			// A datagram of the newest state, and the correction of its outdated state.
			trackers[n].Apply(now, trackers[0].Report(now))
			trackers[n].Apply(now, trackers[0].Apply(now, trackers[n].Report(now)).Outdated)
		}
		var want []ident.Zone
		for zone := range history[last] {
			want = append(want, zone)
		}
		slices.Sort(want)
		for n := range trackers {
			if got := zones(&trackers[n]); !slices.Equal(got, want) {
				t.Fatalf("got zones %v evacuated at router %d, want %v", got, n, want)
			}
		}
	})
}
