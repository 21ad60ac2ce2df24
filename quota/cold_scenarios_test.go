package quota_test

import (
	"fmt"
	"testing"
	"time"
)

// coldSize is a number of routers with the rate of a cold upstream.
type coldSize struct {
	routers   int
	perSecond float64
}

// coldSizes are the fleets and rates that are played.
var coldSizes = []coldSize{{1, 7.8}, {2, 7.8}, {6, 7.8}, {8, 7.8}, {18, 7.8}, {18, 14}, {6, 14}, {40, 14}, {18, 2}, {2, 16}, {18, 20}, {18, 40}}

// playCold runs a scenario at all sizes.
func playCold(t *testing.T, leastShare float64, play func(fleet *coldFleet)) {
	playColdAt(t, coldSizes, leastShare, play)
}

// playColdAt runs a scenario at the given sizes.
func playColdAt(t *testing.T, sizes []coldSize, leastShare float64, play func(fleet *coldFleet)) {
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d routers, %v a second", size.routers, size.perSecond), func(t *testing.T) {
			fleet := newColdFleet(uint64(size.routers), size.routers, 6, coldRuleOf(size.perSecond))
			fleet.play(6 * time.Second)
			play(fleet)
			fleet.check(t, leastShare)
		})
	}
}

// usedWhileWaiting is the share of a cold upstream's rate that is used while requests wait.
const usedWhileWaiting = 0.8

// TestZoneReturnsCold guards against too many requests at upstreams that come back together
// after a time in which their rows expired, and against routers that leave them idle.
func TestZoneReturnsCold(t *testing.T) {
	playCold(t, usedWhileWaiting, func(fleet *coldFleet) {
		for _, upstream := range fleet.upstreams[:3] {
			fleet.crash(upstream, 9*time.Second, false)
		}
		fleet.play(16 * time.Second)
	})
}

// replaceInTurn replaces the upstreams one after another by new incarnations.
func replaceInTurn(fleet *coldFleet) {
	for _, upstream := range fleet.upstreams {
		fleet.crash(upstream, time.Second+fleet.upTo(time.Second), true)
		fleet.play(1500 * time.Millisecond)
	}
	fleet.play(5 * time.Second)
}

// TestHighColdRateIsUsed guards against routers that leave upstreams idle at rates of which each
// sharing router has a large part, or so many share that none can save up a request.
func TestHighColdRateIsUsed(t *testing.T) {
	playColdAt(t, []coldSize{{6, 20}, {103, 40}}, usedWhileWaiting, replaceInTurn)
}

// TestZoneReturnsColdBeforeItsRowsExpire guards against too many requests at upstreams that
// were away for less time than their rows take to expire.
func TestZoneReturnsColdBeforeItsRowsExpire(t *testing.T) {
	playCold(t, usedWhileWaiting, func(fleet *coldFleet) {
		for _, upstream := range fleet.upstreams {
			fleet.crash(upstream, 2*time.Second, false)
		}
		fleet.play(8 * time.Second)
	})
}

// TestRollingReplacementOfUpstreams guards against too many requests at new incarnations,
// whose rows are read after they accept requests.
func TestRollingReplacementOfUpstreams(t *testing.T) {
	playCold(t, usedWhileWaiting, replaceInTurn)
}

// TestLateRowOfAColdUpstream guards against too many requests at new incarnations whose rows
// come seconds late: routers have to take the failures before for a sign.
func TestLateRowOfAColdUpstream(t *testing.T) {
	playCold(t, usedWhileWaiting, func(fleet *coldFleet) {
		for _, upstream := range fleet.upstreams {
			upstream.rowDelay = 4 * time.Second
			fleet.crash(upstream, time.Second+fleet.upTo(time.Second), true)
		}
		fleet.play(12 * time.Second)
	})
}

// TestPartitionedRoutersShareAColdRate guards against routers that use a larger share because
// they don't hear the others: one that is cut off, or one half from the other.
func TestPartitionedRoutersShareAColdRate(t *testing.T) {
	for _, cutOff := range []int{1, 2} {
		t.Run(fmt.Sprintf("one in %d", cutOff), func(t *testing.T) {
			playCold(t, 0, func(fleet *coldFleet) {
				for n, router := range fleet.routers {
					if cutOff == 1 && n == len(fleet.routers)-1 || cutOff == 2 && n%2 == 1 {
						router.island = 1
					}
				}
				fleet.play(5 * time.Second)
				for _, upstream := range fleet.upstreams {
					fleet.crash(upstream, 2*time.Second, false)
				}
				fleet.play(8 * time.Second)
				for _, router := range fleet.routers {
					router.island = 0
				}
				for _, upstream := range fleet.upstreams {
					fleet.crash(upstream, 2*time.Second, false)
				}
				fleet.play(8 * time.Second)
			})
		})
	}
}

// TestRoutersRestartWhileUpstreamsAreCold guards against routers that have just started and
// use a share before the second is over in which the runs before them used theirs, at their
// addresses or at others.
func TestRoutersRestartWhileUpstreamsAreCold(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaced %t", replaced), func(t *testing.T) {
			playCold(t, 0, func(fleet *coldFleet) {
				for round := range 6 {
					for _, upstream := range fleet.upstreams {
						fleet.crash(upstream, time.Second, round%2 == 0)
					}
					fleet.play(2 * time.Second)
					for n, router := range fleet.routers {
						if round%2 == 1 || n%4 == round/2 {
							fleet.restartRouter(router, replaced)
						}
					}
					fleet.play(4 * time.Second)
				}
			})
		})
	}
}

// TestRoutersWithFewRequestsLearnOfColdUpstreams guards against too many requests from
// routers that have not seen the failure themselves, since they had no request meanwhile, at
// upstreams whose rows come late.
func TestRoutersWithFewRequestsLearnOfColdUpstreams(t *testing.T) {
	const routers = 60
	fleet := newColdFleet(3, routers, 6, coldRuleOf(7.8))
	fleet.want = 100
	fleet.play(6 * time.Second)
	for _, upstream := range fleet.upstreams {
		upstream.rowDelay = 5 * time.Second
		fleet.crash(upstream, 800*time.Millisecond, false)
	}
	fleet.play(6 * time.Second)
	fleet.check(t, 0)
}
