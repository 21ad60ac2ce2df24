package gossip_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
)

// evacuate has the first router read from the store that a zone is evacuated, or no longer.
func (fleet *fleet) evacuate(zone ident.Zone, revision ident.Revision, evacuated bool) {
	first := fleet.members[0]
	first.evacuations.Follow(time.Now(), revision, []evacuation.State{{Zone: zone, Revision: revision, Evacuated: evacuated}})
	first.gossip.SendEvacuations()
}

// evacuationTimes returns how long it takes until each router knows whether a zone is
// evacuated, in increasing order, but at most limit.
func (fleet *fleet) evacuationTimes(zone ident.Zone, evacuated bool, limit time.Duration) []time.Duration {
	began := time.Now()
	times := make([]time.Duration, 0, len(fleet.members))
	known := make(map[int]bool)
	for len(known) < len(fleet.members) && time.Since(began) < limit {
		time.Sleep(clockTick)
		for n, member := range fleet.members {
			if !known[n] && member.evacuates(zone) == evacuated {
				known[n] = true
				times = append(times, time.Since(began))
			}
		}
	}
	for len(times) < len(fleet.members) {
		times = append(times, limit)
	}
	return times
}

// evacuates reports whether a router knows that a zone is evacuated.
func (member *member) evacuates(zone ident.Zone) bool {
	states, _ := member.evacuations.Evacuated()
	return slices.ContainsFunc(states, func(state evacuation.State) bool { return state.Zone == zone })
}

// TestEvacuationReachesAllRouters guards against an evacuation that takes long to reach
// routers of other groups, which receive nothing from the one that has read it, and against
// repetitions that take the bytes of other control traffic.
func TestEvacuationReachesAllRouters(t *testing.T) {
	const (
		// within is when all routers know of a change: the users' bound for the fleet is
		// a second after the store's acknowledgement.
		within = 500 * time.Millisecond
		// budget is what a router may send for control.
		budget, length = 5000, 9 * time.Second
		settle         = 5 * time.Second
	)
	for _, size := range fleetSizes {
		size.run(t, func(t *testing.T, fleet *fleet) {
			fleet.network.setLoss(2)
			time.Sleep(settle)
			for round := range ident.Revision(4) {
				evacuated := round%2 == 0
				fleet.evacuate("zone-1", 7+round, evacuated)
				times := fleet.evacuationTimes("zone-1", evacuated, 3*time.Second)
				if slowest := times[len(times)-1]; slowest > within {
					t.Errorf("got %v until all routers know of change %d, want at most %v", slowest, round, within)
				}
				time.Sleep(time.Second)
			}
			fleet.evacuate("zone-1", 20, true)
			time.Sleep(settle)
			before := fleet.bytes()
			time.Sleep(length)
			rates := fleet.rates(before, length)
			median, most := rates[len(rates)/2], rates[len(rates)-1]
			t.Logf("%.0f B/s sent at the median, %.0f at most, during an evacuation", median, most)
			if median > budget {
				t.Errorf("got %.0f B/s, want at most %d", median, budget)
			}
		})
	}
}

// TestEvacuationBytesOfEachRouter guards against a router that exceeds the control budget while
// a zone is evacuated: the one that sends most, and in the second in which a change spreads.
func TestEvacuationBytesOfEachRouter(t *testing.T) {
	// budget is what each router may send for control in a second.
	const budget, settle, length = 5000, 5 * time.Second, 9 * time.Second
	for _, size := range fleetSizes {
		size.run(t, func(t *testing.T, fleet *fleet) {
			fleet.network.setLoss(2)
			time.Sleep(settle)
			var burst []float64
			for round := range ident.Revision(4) {
				before := fleet.bytes()
				fleet.evacuate("zone-1", 7+round, round%2 == 0)
				time.Sleep(time.Second)
				burst = append(burst, fleet.rates(before, time.Second)...)
				time.Sleep(time.Second)
			}
			fleet.evacuate("zone-1", 20, true)
			time.Sleep(settle)
			before := fleet.bytes()
			time.Sleep(length)
			for _, got := range []struct {
				when string
				rate float64
			}{
				{"during an evacuation", slices.Max(fleet.rates(before, length))},
				{"in the second after a change", slices.Max(burst)},
			} {
				t.Logf("%.0f B/s sent at most %s", got.rate, got.when)
				if got.rate > budget {
					t.Errorf("got %.0f B/s %s, want at most %d", got.rate, got.when, budget)
				}
			}
		})
	}
}

// rates returns how many bytes a second each router has sent since before, length ago, in
// increasing order.
func (fleet *fleet) rates(before []int, length time.Duration) []float64 {
	var rates []float64
	for n, total := range fleet.bytes() {
		rates = append(rates, float64(total-before[n])/length.Seconds())
	}
	slices.Sort(rates)
	return rates
}

// TestEvacuationOfARouterThatWasCutOff guards against a router that keeps an evacuation in
// force, or misses one, since it was cut off when the others learned of the change and can't
// reach the store, and against one that starts during an evacuation and learns of it late.
func TestEvacuationOfARouterThatWasCutOff(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Second, evacuation.ReportTime + 5*time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const routers, within = 24, 4 * time.Second
			fleet := startFleet(routers, 3, 0)
			defer fleet.stop()
			time.Sleep(2 * time.Second)
			cutOff := fleet.members[routers-1]
			fleet.evacuate("a", 7, true)
			time.Sleep(time.Second)
			if !cutOff.evacuates("a") {
				t.Fatal("got no evacuation before the router was cut off, want one")
			}
			fleet.network.setCut(cutOff.gossip.Address, true)
			fleet.evacuate("a", 9, false)
			fleet.evacuate("b", 11, true)
			time.Sleep(length)
			if !cutOff.evacuates("a") || cutOff.evacuates("b") {
				t.Error("got changes at a router that is cut off, want the state with the highest revision that it knows")
			}
			fleet.network.setCut(cutOff.gossip.Address, false)
			time.Sleep(within)
			if cutOff.evacuates("a") || !cutOff.evacuates("b") {
				t.Errorf("got zone a evacuated %v and b %v %v after the router was cut off for %v, want only b", cutOff.evacuates("a"), cutOff.evacuates("b"), within, length)
			}
			fleet.replace(3)
			time.Sleep(time.Second)
			if !fleet.members[3].evacuates("b") {
				t.Error("got no evacuation at a router that has started, want one")
			}
		})
	}
}

// TestNothingIsSentWithoutEvacuations guards against datagrams that a fleet sends although it
// doesn't use evacuations, or long after one.
func TestNothingIsSentWithoutEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(8, 2, 0)
		defer fleet.stop()
		sent := func(length time.Duration) int {
			before := fleet.network.evacuations()
			time.Sleep(length)
			return fleet.network.evacuations() - before
		}
		if got := sent(10 * time.Second); got != 0 {
			t.Errorf("got %d datagrams without an evacuation, want none", got)
		}
		fleet.evacuate("a", 7, true)
		if got := sent(10 * time.Second); got == 0 {
			t.Error("got no datagram during an evacuation, want some")
		}
		fleet.evacuate("a", 8, false)
		time.Sleep(evacuation.ReportTime + 5*time.Second)
		if got := sent(10 * time.Second); got != 0 {
			t.Errorf("got %d datagrams long after an evacuation, want none", got)
		}
	})
}
