package gossip_test

import (
	"testing"
	"time"

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
