package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestFailureOfAnUpstreamReachesAllRouters guards against routers, also of other groups, that
// learn too late that an upstream has failed and is cold once it answers, and against
// datagrams about it while nothing changes.
func TestFailureOfAnUpstreamReachesAllRouters(t *testing.T) {
	failed := registry.Upstream{ID: "e1", Incarnation: 1, Service: "pool"}
	for _, size := range fleetSizes {
		size.run(t, func(t *testing.T, fleet *fleet) {
			fleet.tick(3 * time.Second)
			fleet.members[0].quota.Failed(time.Now(), failed, time.Now())
			time.Sleep(size.news)
			missing := 0
			for _, member := range fleet.members {
				if _, cold := member.quota.ColdUntil(time.Now(), failed); !cold {
					missing++
				}
			}
			if missing > len(fleet.members)/100 {
				t.Errorf("got %d of %d routers that don't know after %v, want at most one in 100", missing, len(fleet.members), size.news)
			}
			time.Sleep(time.Second)
			for n, member := range fleet.members {
				if member.quota.Pending() {
					t.Errorf("got a message of router %d about it, want none while nothing changes", n)
				}
			}
		})
	}
}

// TestFailuresOfManyUpstreamsStayWithinTheBudget guards against routers that all report each
// failure when a zone fails, and exceed their control bytes.
func TestFailuresOfManyUpstreamsStayWithinTheBudget(t *testing.T) {
	const budget, failures = 5000, 100
	for _, size := range fleetSizes {
		size.run(t, func(t *testing.T, fleet *fleet) {
			time.Sleep(5 * time.Second)
			for second := range 3 {
				before := fleet.bytes()
				for n := range failures {
					for _, member := range fleet.members {
						if second == 0 {
							member.quota.Failed(time.Now(), registry.Upstream{ID: ident.UpstreamID(fmt.Sprintf("i-%010d", n)), Incarnation: 1, Service: "pool"}, time.Now())
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				var sent []int
				for n, total := range fleet.bytes() {
					sent = append(sent, total-before[n])
				}
				slices.Sort(sent)
				t.Logf("second %d: %d B sent at the median, %d at most", second, sent[len(sent)/2], sent[len(sent)-1])
				if got := sent[len(sent)/2]; got > budget {
					t.Errorf("got %d B at the median in second %d, want at most %d", got, second, budget)
				}
			}
		})
	}
}

// TestRegisteredRouterThatNeverRanIsNotHeard guards against an address that was registered once
// and counts as that of a router which ran since this one has started.
func TestRegisteredRouterThatNeverRanIsNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(3, 3, 0)
		defer fleet.stop()
		first := fleet.members[0].gossip
		first.Add(addressOf(9).String())
		if got := len(first.Live(time.Now())); got != 4 {
			t.Errorf("got %d live routers at first, want 4", got)
		}
		time.Sleep(2 * time.Second)
		want := []string{fleet.members[0].gossip.Address, fleet.members[1].gossip.Address, fleet.members[2].gossip.Address}
		if got := slices.Sorted(slices.Values(first.Heard(time.Now()))); !slices.Equal(got, slices.Sorted(slices.Values(want))) {
			t.Errorf("got %v heard, want %v", got, want)
		}
	})
}
