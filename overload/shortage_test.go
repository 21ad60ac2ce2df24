package overload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// worstSeconds returns the mean number of answers in time in the worst seconds.
func (fleet *simFleet) worstSeconds(count int) float64 {
	var served []int
	for second := int(shortageBegin/time.Second) + 1; second < int(shortageEnd/time.Second); second++ {
		served = append(served, fleet.inTime[second])
	}
	slices.Sort(served)
	sum := 0
	for _, value := range served[:count] {
		sum += value
	}
	return float64(sum) / float64(count)
}

func (fleet *simFleet) report(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: worst 4 s %.0f/s, turned away %d of %d, shared %.2f of %.1f M prefilled, decisions %v", name, fleet.worstSeconds(4), fleet.turnedAway, fleet.arrivals, fleet.shared/fleet.prefilled, fleet.prefilled/1e6, fleet.decisions)
	for i, kind := range kinds {
		t.Logf("  %s: in the shortage %+v, else %+v", kind.name, fleet.shortage[i], fleet.kinds[i])
	}
	t.Logf("  workspaces: %+v", fleet.workspaces)
	for second := int(shortageBegin/time.Second) - 1; second < int(fleetEnd/time.Second); second++ {
		t.Logf("  second %d: %d in time", second, fleet.inTime[second])
	}
}

// servablePerSecond is what remainingEngines serve in time: traffic of 100 a second without a
// shortage. At 120 the same engines serve a tenth of that without admission.
const servablePerSecond = 100

// TestShortage guards against routers that together fill the remaining engines of a shortage
// with more than they can answer in time, and evict what they have cached.
func TestShortage(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		before, after := newSimFleet(seed, false), newSimFleet(seed, true)
		before.run(1, true)
		after.run(1, true)
		before.report(t, "without admission")
		after.report(t, "with admission")
		if got, want := after.worstSeconds(4), servablePerSecond/2.; got < want {
			t.Errorf("seed %d: got %.0f answers a second in time in the worst 4 s, want at least %.0f", seed, got, want)
		}
		for i, kind := range kinds {
			if got, least := after.shortage[i].inTime, before.shortage[i].inTime; got < least {
				t.Errorf("seed %d: got %d answers to %s in time, want at least the %d without admission", seed, got, kind.name, least)
			}
			if urgent, got := after.shortage[0].served(), after.shortage[i].served(); i > 0 && got > urgent {
				t.Errorf("seed %d: got %.2f of %s served, want at most the %.2f of the most urgent kind", seed, got, kind.name, urgent)
			}
		}
		others := 0.0
		for i, workspace := range after.workspaces {
			if i > 0 {
				others += workspace.share() / (fleetWorkspaces - 1)
			}
			if got, least := workspace.share(), before.workspaces[i].share(); got < least {
				t.Errorf("seed %d: got %.2f of workspace %d in time, want at least the %.2f without admission", seed, got, i, least)
			}
		}
		if got := after.workspaces[0].share(); got > others {
			t.Errorf("seed %d: got %.2f of the loud workspace in time, want at most the %.2f of the others", seed, got, others)
		}
	}
}

// TestNothingIsRefusedAtNormalLoad guards against refusals while callers are served in time.
func TestNothingIsRefusedAtNormalLoad(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		for _, factor := range []float64{1, 1.7} {
			fleet := newSimFleet(seed, true)
			fleet.run(factor, false)
			fleet.report(t, fmt.Sprint(factor, " times the usual"))
			if len(fleet.decisions) > 0 {
				t.Errorf("seed %d: got refusals %v at %v times the usual traffic, want none", seed, fleet.decisions, factor)
			}
		}
	}
}
