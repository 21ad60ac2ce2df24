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
