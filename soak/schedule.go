package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/hickoryhead/hickoryhead/faultproxy"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// phaseLength is the length of a phase. In every second phase only planned
	// work is injected.
	phaseLength = 6 * time.Second
	// minGap and maxGap bound the pause between two faults.
	minGap = 150 * time.Millisecond
	maxGap = 900 * time.Millisecond
	// maxFaultLength bounds the length of a fault.
	maxFaultLength = 2500 * time.Millisecond
	// silenceInterval is to how many faults there is one silence of connections.
	silenceInterval = 8
	// silenceStream is the stream of random numbers that draws them.
	silenceStream = 1 << 40
)

// schedule draws random faults and injects them. Faults may overlap.
type schedule struct {
	soak   *Soak
	random *rand.Rand
	// silences draws when connections go silent, apart from random, so that the other
	// faults of a seed stay the same.
	silences *rand.Rand
	// evacuations draws, likewise apart, when a zone is evacuated.
	evacuations *rand.Rand
	// changes and starvations draw, likewise apart, series of changes of the configuration
	// and routers that get little processor time.
	changes     *rand.Rand
	starvations *rand.Rand
	// malformed and lates draw, likewise apart, malformed answers and check-ins that are performed
	// late.
	malformed *rand.Rand
	lates     *rand.Rand
	// active counts the faults that have not been undone yet.
	active sync.WaitGroup
	// busy holds the routers, links and upstreams that a fault is applied to.
	mu   sync.Mutex
	busy map[any]bool
}

// fault is a fault, or planned work, that is undone after a while. Its name appears
// in the report.
type fault struct {
	name    string
	planned bool
	inject  func(schedule *schedule, length time.Duration)
}

var faults = []fault{
	{"router killed", false, (*schedule).killRouter},
	{"all routers killed", false, (*schedule).killAllRouters},
	{"router frozen", false, (*schedule).freezeRouter},
	{"store down", false, (*schedule).storeDown},
	{"store slow", false, (*schedule).storeSlow},
	{"store answers lost", false, (*schedule).storeLost},
	{"store history dropped", false, (*schedule).dropStoreHistory},
	{"store back from an older copy", false, (*schedule).storeRestored},
	{"router cut off from the store", false, (*schedule).storePartitioned},
	{"upstream delayed", false, (*schedule).upstreamDelayed},
	{"upstream silent", false, (*schedule).upstreamUnresponsive},
	{"upstream cut one way", false, (*schedule).upstreamPartitionedOneWay},
	{"upstream connections reset", false, (*schedule).upstreamReset},
	{"upstream crashed", false, (*schedule).upstreamCrashed},
	{"upstream slow", false, (*schedule).upstreamSlow},
	{"upstream sends without end", false, (*schedule).upstreamEndless},
	{"upstream answers rests with something else", false, (*schedule).upstreamOddRests},
	{"odd row written", true, (*schedule).writeOddRow},
	{"upstream names a limit", true, (*schedule).upstreamLimited},
	{"upstream asks for rest", true, (*schedule).upstreamRefuses},
	{"upstream says that it leaves", true, (*schedule).upstreamLeavesUnlisted},
	{"router stopped as planned", true, (*schedule).stopRouter},
	{"router reloaded", true, (*schedule).reloadRouter},
	{"configuration changed", true, (*schedule).changeConfig},
	{"upstream leaves", true, (*schedule).upstreamLeaves},
}

func newSchedule(soak *Soak) *schedule {
	stream := func(number uint64) *rand.Rand { return rand.New(rand.NewPCG(soak.options.Seed, number)) }
	return &schedule{
		soak: soak, random: stream(0), silences: stream(silenceStream), evacuations: stream(evacuationStream),
		changes: stream(changeStream), starvations: stream(starvationStream),
		malformed: stream(malformedStream), lates: stream(lateStream), busy: make(map[any]bool),
	}
}

// play injects faults for the length of the soak, and returns when all of them are
// undone.
func (schedule *schedule) play(ctx context.Context) {
	soak := schedule.soak
	begin := time.Now()
	for time.Since(begin) < soak.options.Length && ctx.Err() == nil {
		onlyPlanned := int(time.Since(begin)/phaseLength)%2 == 1
		fault := faults[schedule.random.IntN(len(faults))]
		length := time.Duration(schedule.random.Int64N(int64(maxFaultLength)))
		gap := minGap + time.Duration(schedule.random.Int64N(int64(maxGap-minGap)))
		if fault.planned || !onlyPlanned {
			fault.inject(schedule, length)
		}
		if !onlyPlanned && schedule.silences.IntN(silenceInterval) == 0 {
			schedule.silence()
		}
		if schedule.evacuations.IntN(evacuationInterval) == 0 {
			schedule.evacuateZone()
		}
		if schedule.changes.IntN(seriesInterval) == 0 {
			schedule.changeInSeries()
		}
		if !onlyPlanned && schedule.starvations.IntN(starvationInterval) == 0 {
			schedule.starveRouters()
		}
		if !onlyPlanned && schedule.malformed.IntN(malformedInterval) == 0 {
			schedule.upstreamMalformed()
		}
		time.Sleep(gap)
	}
	schedule.active.Wait()
}

// healAfter calls undo after length.
func (schedule *schedule) healAfter(length time.Duration, undo func()) {
	schedule.active.Add(1)
	time.AfterFunc(length, func() {
		defer schedule.active.Done()
		undo()
	})
}

// injectFor records a fault, injects it by calling begin, and undoes it after length
// by calling end.
func (schedule *schedule) injectFor(name string, length time.Duration, begin, end func()) {
	schedule.inject(schedule.soak.beginDisturbance(name), length, begin, end)
}

// inject injects a fault by calling begin, and undoes it after length by calling end
// and heal.
func (schedule *schedule) inject(heal func(), length time.Duration, begin, end func()) {
	begin()
	schedule.healAfter(length, func() {
		end()
		heal()
	})
}

// claim reserves target for a fault. It returns false if another fault is already
// applied to it.
func (schedule *schedule) claim(target any) bool {
	schedule.mu.Lock()
	defer schedule.mu.Unlock()
	if schedule.busy[target] {
		return false
	}
	schedule.busy[target] = true
	return true
}

func (schedule *schedule) release(target any) {
	schedule.mu.Lock()
	defer schedule.mu.Unlock()
	delete(schedule.busy, target)
}

func (schedule *schedule) router() *router {
	return schedule.soak.routers[schedule.random.IntN(len(schedule.soak.routers))]
}

func (schedule *schedule) upstream() *upstream {
	return schedule.soak.upstreams[schedule.random.IntN(len(schedule.soak.upstreams))]
}

// restart starts a router again and releases it. It runs when a fault ends, so it
// reports a failure to start as a violation.
func (schedule *schedule) restart(router *router) {
	if err := router.start(); err != nil {
		schedule.soak.violate("no start", "%s: %v", router.name, err)
	}
	schedule.release(router)
}

func (schedule *schedule) killRouter(length time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	heal := schedule.soak.beginRouterFault("router killed", router)
	schedule.inject(heal, length/2, router.end, func() { schedule.restart(router) })
}

func (schedule *schedule) freezeRouter(length time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	heal := schedule.soak.beginRouterFault("router frozen", router)
	schedule.inject(heal, length, func() { router.signal(syscall.SIGSTOP) }, func() {
		router.signal(syscall.SIGCONT)
		schedule.release(router)
	})
}

func (schedule *schedule) stopRouter(time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	schedule.soak.countPlanned("router stopped as planned")
	router.signal(syscall.SIGTERM)
	schedule.active.Add(1)
	plannedStop := &plannedStop{schedule: schedule, router: router}
	go plannedStop.run()
}

// plannedStop waits for the end of a router that was asked to stop, and starts it
// again.
type plannedStop struct {
	schedule *schedule
	router   *router
}

func (plannedStop *plannedStop) run() {
	defer plannedStop.schedule.active.Done()
	router := plannedStop.router
	select {
	case <-router.ended:
		if router.stoppedBadly() {
			plannedStop.schedule.soak.violate("bad end of a planned stop", "%s: %v", router.name, router.err)
		}
	case <-time.After(plannedStopTimeout + 2*time.Second):
		plannedStop.schedule.soak.violate("planned stop takes too long", "%s did not stop within %v of SIGTERM", router.name, plannedStopTimeout)
		router.end()
	}
	plannedStop.schedule.restart(router)
}

func (schedule *schedule) reloadRouter(time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	defer schedule.release(router)
	schedule.soak.countPlanned("router reloaded")
	router.settings.RetrySlack++
	if err := router.writeSettings(); err != nil {
		schedule.soak.violate("settings not written", "%v", err)
	}
	router.signal(syscall.SIGHUP)
}

func (schedule *schedule) changeConfig(time.Duration) {
	schedule.soak.countPlanned("configuration changed")
	schedule.soak.configure()
}

func (schedule *schedule) upstreamLeaves(time.Duration) {
	const leaveTime, downTime = 4 * time.Second, time.Second
	upstream := schedule.upstream()
	software := randomVersion(schedule.random)
	if !schedule.claim(upstream) {
		return
	}
	schedule.soak.countPlanned("upstream leaves")
	schedule.checkInLate(upstream)
	upstream.leave()
	schedule.healAfter(leaveTime, func() {
		schedule.soak.checkLeaving(upstream, time.Now())
		upstream.expireRow()
		time.Sleep(downTime)
		upstream.restartAs(software)
		schedule.release(upstream)
	})
}

// switchStore changes the switches of the store with on, and undoes that with off
// after length.
func (schedule *schedule) switchStore(name string, length time.Duration, on, off func(switches *standin.PlatformSwitches)) {
	schedule.injectFor(name, length, func() { schedule.changeSwitches(on) }, func() { schedule.changeSwitches(off) })
}

// changeSwitches changes the switches of the store.
func (schedule *schedule) changeSwitches(change func(switches *standin.PlatformSwitches)) {
	schedule.mu.Lock()
	defer schedule.mu.Unlock()
	switches := schedule.soak.store.Switches()
	change(&switches)
	schedule.soak.store.Switch(switches)
}

func (schedule *schedule) storeDown(length time.Duration) {
	schedule.switchStore("store down", length,
		func(switches *standin.PlatformSwitches) { switches.Outage = true },
		func(switches *standin.PlatformSwitches) { switches.Outage = false })
}

func (schedule *schedule) storeSlow(length time.Duration) {
	schedule.switchStore("store slow", length,
		func(switches *standin.PlatformSwitches) { switches.SlowMs = 300 },
		func(switches *standin.PlatformSwitches) { switches.SlowMs = 0 })
}

func (schedule *schedule) storeLost(length time.Duration) {
	schedule.switchStore("store answers lost", length,
		func(switches *standin.PlatformSwitches) { switches.LoseShare = 0.5 },
		func(switches *standin.PlatformSwitches) { switches.LoseShare = 0 })
}

func (schedule *schedule) dropStoreHistory(time.Duration) {
	heal := schedule.soak.beginDisturbance("store history dropped")
	schedule.soak.store.Forget()
	heal()
}

func (schedule *schedule) storePartitioned(length time.Duration) {
	router := schedule.router()
	if !schedule.claim(router.store) {
		return
	}
	state := faultproxy.State{HoldAll: true}
	if schedule.random.IntN(2) == 0 {
		state = faultproxy.State{HoldReplies: true}
	}
	schedule.injectFor("router cut off from the store", length, func() { router.store.Set(state) }, func() {
		router.store.Set(faultproxy.State{})
		router.store.Reset()
		schedule.release(router.store)
	})
}

// link applies state to the connections of a random upstream for length.
func (schedule *schedule) link(name string, length time.Duration, state faultproxy.State) {
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.injectFor(name, length, func() { upstream.proxy.Set(state) }, func() {
		upstream.proxy.Set(faultproxy.State{})
		schedule.release(upstream)
	})
}

func (schedule *schedule) upstreamDelayed(length time.Duration) {
	schedule.link("upstream delayed", length, faultproxy.State{Delay: 150 * time.Millisecond})
}

func (schedule *schedule) upstreamUnresponsive(length time.Duration) {
	schedule.link("upstream silent", length, faultproxy.State{HoldAll: true})
}

func (schedule *schedule) upstreamPartitionedOneWay(length time.Duration) {
	schedule.link("upstream cut one way", length, faultproxy.State{HoldReplies: true})
}

func (schedule *schedule) upstreamReset(time.Duration) {
	upstream := schedule.upstream()
	heal := schedule.soak.beginDisturbance("upstream connections reset")
	upstream.proxy.Reset()
	heal()
}

// silence lets the connections that all routers have open to the store, or to one upstream,
// stay open and deliver nothing more.
func (schedule *schedule) silence() {
	if schedule.silences.IntN(2) == 0 {
		heal := schedule.soak.beginDisturbance("connections to the store silent")
		for _, router := range schedule.soak.routers {
			router.store.Silence()
		}
		heal()
		return
	}
	upstreams := schedule.soak.upstreams
	heal := schedule.soak.beginDisturbance("connections to an upstream silent")
	upstreams[schedule.silences.IntN(len(upstreams))].proxy.Silence()
	heal()
}

func (schedule *schedule) upstreamCrashed(length time.Duration) {
	upstream := schedule.upstream()
	software := randomVersion(schedule.random)
	if !schedule.claim(upstream) {
		return
	}
	schedule.injectFor("upstream crashed", length, upstream.crash, func() {
		if length > standin.RunnerExpiry {
			upstream.expireRow()
		}
		upstream.restartAs(software)
		schedule.release(upstream)
	})
}

func (schedule *schedule) upstreamSlow(length time.Duration) {
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.injectFor("upstream slow", length, func() { upstream.runner.Slow(400 * time.Millisecond) }, func() {
		upstream.runner.Slow(0)
		schedule.release(upstream)
	})
}
