package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	coldStep = 10 * time.Millisecond
	// coldHeartbeat is how often an upstream writes its row, which expires after three.
	coldHeartbeat = 1200 * time.Millisecond
	rowExpiry     = 3 * coldHeartbeat
)

// coldRuleOf returns the rule of the deployments that have one, with the given rate.
func coldRuleOf(perSecond float64) quota.ColdRule {
	return quota.ColdRule{Start: 3 * time.Second, PerSecond: perSecond, Overage: 1.5, Slack: 5}
}

// allowance returns how many requests a cold upstream may get in a second.
func allowance(rule quota.ColdRule) int { return int(rule.PerSecond*rule.Overage + rule.Slack) }

// coldRouter is a router of a coldFleet.
type coldRouter struct {
	name    string
	tracker *quota.Tracker
	// down is set while its process doesn't run, and island says with which others it can
	// exchange messages.
	down   bool
	island int
	// listed has the incarnations of the upstreams as this router knows them.
	listed map[ident.UpstreamID]registry.Upstream
	// heard has when a message of each other router last came.
	heard map[string]time.Time
}

// coldUpstream is an upstream of a coldFleet.
type coldUpstream struct {
	registry.Upstream
	up        bool
	coldUntil time.Time
	// rowAt is when it writes its row next, and rowDelay by how much later routers read it.
	rowAt    time.Time
	wroteAt  time.Time
	rowDelay time.Duration
	version  ident.Revision
	// arrivals are the requests that came while it was cold, and windows the cold times,
	// each from when the first router lists it. absent is set while its row has expired.
	arrivals []time.Time
	windows  [][2]time.Time
	absent   bool
}

// coldFleet plays routers that all have requests waiting for all upstreams at any moment.
type coldFleet struct {
	rule      quota.ColdRule
	random    *rand.Rand
	now       time.Time
	routers   []*coldRouter
	upstreams []*coldUpstream
	// events holds what happens later, by the number of the step.
	events map[int][]func()
	// delay is the longest time that a message takes, and lost one in how many is lost.
	delay time.Duration
	lost  int
	// want is one in how many steps in which a router has a request for an upstream.
	want int
}

func newColdFleet(seed uint64, routers, upstreams int, rule quota.ColdRule) *coldFleet {
	fleet := &coldFleet{rule: rule, events: make(map[int][]func()), random: rand.New(rand.NewPCG(seed, 7)), now: start, delay: 250 * time.Millisecond, lost: 20, want: 5}
	for n := range upstreams {
		fleet.upstreams = append(fleet.upstreams, &coldUpstream{
			Upstream: registry.Upstream{ID: ident.UpstreamID(fmt.Sprint("i-", n)), Incarnation: 1, Service: "pool"},
			up:       true, wroteAt: start,
			rowAt: start.Add(time.Duration(fleet.random.Int64N(int64(coldHeartbeat)))),
		})
	}
	for n := range routers {
		fleet.routers = append(fleet.routers, &coldRouter{name: fmt.Sprint("router-", n), heard: make(map[string]time.Time)})
	}
	for _, router := range fleet.routers {
		fleet.startRouter(router)
	}
	return fleet
}

// startRouter starts a new run of a router, which knows the registered routers and the rows.
func (fleet *coldFleet) startRouter(router *coldRouter) {
	router.tracker = &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule { return fleet.rule }}
	router.down = false
	router.listed = make(map[ident.UpstreamID]registry.Upstream)
	for _, other := range fleet.routers {
		router.heard[other.name] = fleet.now
	}
	for _, upstream := range fleet.upstreams {
		if fleet.now.Sub(upstream.wroteAt) > rowExpiry {
			continue
		}
		row := upstream.Upstream
		row.Version = upstream.version
		router.tracker.ObserveRow(fleet.now, fleet.now, row, fleet.remaining(upstream))
		router.listed[row.ID] = row
	}
}

func (fleet *coldFleet) remaining(upstream *coldUpstream) *ident.Milliseconds {
	remaining := ident.Milliseconds(max(upstream.coldUntil.Sub(fleet.now), 0).Milliseconds())
	return &remaining
}

func (fleet *coldFleet) after(delay time.Duration, run func()) {
	step := fleet.step() + 1 + int(delay/coldStep)
	fleet.events[step] = append(fleet.events[step], run)
}

func (fleet *coldFleet) step() int { return int(fleet.now.Sub(start) / coldStep) }

func (fleet *coldFleet) upTo(most time.Duration) time.Duration {
	return time.Duration(fleet.random.Int64N(int64(most)))
}

// crash ends an upstream, which runs again after the given time, cold. With restarted set
// it is another incarnation then.
func (fleet *coldFleet) crash(upstream *coldUpstream, away time.Duration, restarted bool) {
	upstream.up = false
	fleet.after(away, func() {
		upstream.up = true
		if restarted {
			upstream.Incarnation++
		}
		upstream.coldUntil = fleet.now.Add(fleet.rule.Start)
		upstream.windows = append(upstream.windows, [2]time.Time{fleet.now, upstream.coldUntil})
		upstream.rowAt = fleet.now
	})
}

// writeRow has an upstream write its row, which the first two routers read; the others get
// the change, if it is one.
func (fleet *coldFleet) writeRow(upstream *coldUpstream) {
	upstream.version++
	upstream.wroteAt = fleet.now
	row, remaining := upstream.Upstream, fleet.remaining(upstream)
	row.Version = upstream.version
	for n, router := range fleet.routers {
		delay := upstream.rowDelay + 50*time.Millisecond + fleet.upTo(500*time.Millisecond)
		if n >= 2 {
			delay += fleet.upTo(fleet.delay)
		}
		reads := n < 2
		fleet.after(delay, func() {
			if router.down || reads && router.island != 0 || !reads && router.island != 0 {
				return
			}
			if reads {
				router.tracker.ObserveRow(fleet.now, fleet.now, row, remaining)
			}
			present, known := router.listed[row.ID]
			if known && present.Version > row.Version {
				return
			}
			if !known || present.Incarnation != row.Incarnation {
				router.tracker.Started(fleet.now, row)
			}
			if last := len(upstream.windows) - 1; upstream.absent && last >= 0 {
				// Without a row it can't get requests.
				upstream.windows[last][0] = fleet.now
			}
			upstream.absent = false
			router.listed[row.ID] = row
		})
	}
}

// expireRows removes rows that were not written for long.
func (fleet *coldFleet) expireRows(upstream *coldUpstream) {
	if gone := fleet.now.Sub(upstream.wroteAt); gone < rowExpiry || gone >= rowExpiry+coldStep {
		return
	}
	upstream.absent = true
	for _, router := range fleet.routers {
		fleet.after(50*time.Millisecond+fleet.upTo(700*time.Millisecond), func() {
			if router.island == 0 {
				delete(router.listed, upstream.ID)
			}
		})
	}
}

// exchange has a router send what is new to the others, and take note of them.
func (fleet *coldFleet) exchange(router *coldRouter) {
	colds := router.tracker.TakeColds(500)
	for _, other := range fleet.routers {
		if other == router || other.island != router.island || fleet.random.IntN(fleet.lost) == 0 {
			continue
		}
		if _, known := other.heard[router.name]; known {
			other.heard[router.name] = fleet.now
		} else {
			fleet.after(fleet.upTo(fleet.delay), func() { other.heard[router.name] = fleet.now })
		}
		if len(colds) == 0 {
			continue
		}
		fleet.after(fleet.upTo(fleet.delay), func() {
			if !other.down && other.island == router.island {
				other.tracker.ApplyColds(fleet.now, colds)
			}
		})
	}
}

// maintain sets the routers that one knows, as package entry does.
func (fleet *coldFleet) maintain(router *coldRouter) {
	var known, live []string
	for name, at := range router.heard {
		if silent := fleet.now.Sub(at); name != router.name && silent > 2*time.Minute {
			continue
		} else if name == router.name || silent <= 3*time.Second {
			live = append(live, name)
		}
		known = append(known, name)
	}
	router.tracker.SetFleet(fleet.now, router.name, known, live)
	listed := make([]registry.Upstream, 0, len(router.listed))
	for _, upstream := range router.listed {
		listed = append(listed, upstream)
	}
	router.tracker.Retain(fleet.now, listed)
}

// send sends a request of a router to an upstream if it may.
func (fleet *coldFleet) send(router *coldRouter, upstream *coldUpstream) {
	row, known := router.listed[upstream.ID]
	if !known || !router.tracker.Take(fleet.now, row) {
		return
	}
	sentAt, tracker := fleet.now, router.tracker
	if !upstream.up {
		fleet.after(fleet.upTo(400*time.Millisecond), func() { tracker.Failed(fleet.now, row, sentAt) })
		return
	}
	fleet.after(fleet.upTo(30*time.Millisecond), func() {
		if !upstream.up {
			tracker.Failed(fleet.now, row, sentAt)
			return
		}
		if fleet.now.Before(upstream.coldUntil) {
			upstream.arrivals = append(upstream.arrivals, fleet.now)
		}
		incarnation := upstream.Incarnation
		fleet.after(20*time.Millisecond+fleet.upTo(300*time.Millisecond), func() {
			if !upstream.up || upstream.Incarnation != incarnation {
				tracker.Failed(fleet.now, row, sentAt)
				return
			}
			tracker.Answered(fleet.now, row, sentAt, nil)
		})
	})
}

// play plays the fleet for a time.
func (fleet *coldFleet) play(length time.Duration) {
	for end := fleet.now.Add(length); fleet.now.Before(end); fleet.now = fleet.now.Add(coldStep) {
		step := fleet.step()
		for _, event := range fleet.events[step] {
			event()
		}
		delete(fleet.events, step)
		for _, upstream := range fleet.upstreams {
			if upstream.up && !fleet.now.Before(upstream.rowAt) {
				upstream.rowAt = fleet.now.Add(coldHeartbeat)
				fleet.writeRow(upstream)
			}
			fleet.expireRows(upstream)
		}
		for n, router := range fleet.routers {
			if router.down {
				continue
			}
			if (step+n)%10 == 0 {
				fleet.exchange(router)
			}
			if (step+7*n)%50 == 0 {
				fleet.maintain(router)
			}
			for _, upstream := range fleet.upstreams {
				if fleet.random.IntN(fleet.want) == 0 {
					fleet.send(router, upstream)
				}
			}
		}
	}
}

// mostArrivals returns the most requests that an upstream got in a second while cold.
func (upstream *coldUpstream) mostArrivals() int {
	slices.SortFunc(upstream.arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range upstream.arrivals {
		for at.Sub(upstream.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// check fails the test if a cold upstream got more requests in a second than allowed, or if
// all together got less than the given share of what they take.
func (fleet *coldFleet) check(t *testing.T, leastShare float64) {
	t.Helper()
	arrivals, taken := 0, 0.0
	for _, upstream := range fleet.upstreams {
		if got, most := upstream.mostArrivals(), allowance(fleet.rule); got > most {
			t.Errorf("got %d requests in a second at cold upstream %s, want at most %d", got, upstream.ID, most)
		}
		for _, window := range upstream.windows {
			taken += window[1].Sub(window[0]).Seconds() * fleet.rule.PerSecond
			for _, at := range upstream.arrivals {
				if !at.Before(window[0]) && at.Before(window[1]) {
					arrivals++
				}
			}
		}
	}
	got := float64(arrivals) / taken
	t.Logf("used share %.2f of %d cold times", got, int(taken/fleet.rule.PerSecond/fleet.rule.Start.Seconds()))
	if got < leastShare {
		t.Errorf("got %.2f of the rate of cold upstreams used, want at least %.2f", got, leastShare)
	}
}

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

// TestHighColdRateIsUsed guards against routers that leave upstreams idle at rates of which each
// sharing router has a large part, or so many share that none can save up a request.
func TestHighColdRateIsUsed(t *testing.T) {
	playColdAt(t, []coldSize{{6, 20}, {103, 40}}, usedWhileWaiting, func(fleet *coldFleet) {
		for _, upstream := range fleet.upstreams {
			fleet.crash(upstream, time.Second+fleet.upTo(time.Second), true)
			fleet.play(1500 * time.Millisecond)
		}
		fleet.play(5 * time.Second)
	})
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
	playCold(t, usedWhileWaiting, func(fleet *coldFleet) {
		for _, upstream := range fleet.upstreams {
			fleet.crash(upstream, time.Second+fleet.upTo(time.Second), true)
			fleet.play(1500 * time.Millisecond)
		}
		fleet.play(5 * time.Second)
	})
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

// restartRouter ends a router, which has said that it leaves, and starts it again a moment
// later, at another address if replaced is set.
func (fleet *coldFleet) restartRouter(router *coldRouter, replaced bool) {
	router.down = true
	former := router.name
	for _, other := range fleet.routers {
		fleet.after(fleet.upTo(fleet.delay), func() { delete(other.heard, former) })
	}
	if replaced {
		router.name += "'"
	}
	fleet.after(300*time.Millisecond, func() { fleet.startRouter(router) })
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
