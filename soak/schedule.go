package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// phaseLength is the length of a phase: in every other one all that goes on
	// is planned.
	phaseLength = 6 * time.Second
	// minGap and maxGap bound the pause between two faults.
	minGap = 150 * time.Millisecond
	maxGap = 900 * time.Millisecond
	// maxFault bounds the length of a fault.
	maxFault = 2500 * time.Millisecond
)

// schedule draws faults and injects them, so that they overlap.
type schedule struct {
	soak   *Soak
	random *rand.Rand
	// running are the faults that are not healed yet.
	running sync.WaitGroup
	// busy are the routers and upstreams that something is done to.
	mu   sync.Mutex
	busy map[any]bool
}

// fault is something that is done and, after a while, undone.
type fault struct {
	name    string
	planned bool
	inject  func(schedule *schedule, length time.Duration)
}

var faults = []fault{
	{"router killed", false, (*schedule).killRouter},
	{"router frozen", false, (*schedule).freezeRouter},
	{"store down", false, (*schedule).storeDown},
	{"store slow", false, (*schedule).storeSlow},
	{"store answers lost", false, (*schedule).storeLost},
	{"store history dropped", false, (*schedule).storeForgets},
	{"router cut off from the store", false, (*schedule).storeCut},
	{"upstream delayed", false, (*schedule).upstreamDelayed},
	{"upstream silent", false, (*schedule).upstreamSilent},
	{"upstream cut one way", false, (*schedule).upstreamHalfSilent},
	{"upstream connections reset", false, (*schedule).upstreamReset},
	{"upstream crashed", false, (*schedule).upstreamCrashed},
	{"upstream slow", false, (*schedule).upstreamSlow},
	{"router stopped as planned", true, (*schedule).stopRouter},
	{"router reloaded", true, (*schedule).reloadRouter},
	{"configuration changed", true, (*schedule).changeConfig},
	{"upstream leaves", true, (*schedule).upstreamLeaves},
}

// play injects faults until the length of the soak is over and all are healed.
func (schedule *schedule) play(ctx context.Context) {
	schedule.busy = make(map[any]bool)
	soak := schedule.soak
	begin := time.Now()
	for time.Since(begin) < soak.options.Length && ctx.Err() == nil {
		onlyPlanned := int(time.Since(begin)/phaseLength)%2 == 1
		drawn := faults[schedule.random.IntN(len(faults))]
		length := time.Duration(schedule.random.Int64N(int64(maxFault)))
		gap := minGap + time.Duration(schedule.random.Int64N(int64(maxGap-minGap)))
		if drawn.planned || !onlyPlanned {
			drawn.inject(schedule, length)
		}
		time.Sleep(gap)
	}
	schedule.running.Wait()
}

// later undoes a fault after length.
func (schedule *schedule) later(length time.Duration, undo func()) {
	schedule.running.Add(1)
	time.AfterFunc(length, func() {
		defer schedule.running.Done()
		undo()
	})
}

// disturb injects a fault that begin begins and end ends.
func (schedule *schedule) disturb(name string, length time.Duration, begin, end func()) {
	heal := schedule.soak.disturb(name)
	begin()
	schedule.later(length, func() {
		end()
		heal()
	})
}

// claim reserves one, and reports false if something is done to it already.
func (schedule *schedule) claim(one any) bool {
	schedule.mu.Lock()
	defer schedule.mu.Unlock()
	if schedule.busy[one] {
		return false
	}
	schedule.busy[one] = true
	return true
}

func (schedule *schedule) free(one any) {
	schedule.mu.Lock()
	defer schedule.mu.Unlock()
	delete(schedule.busy, one)
}

func (schedule *schedule) router() *router {
	return schedule.soak.routers[schedule.random.IntN(len(schedule.soak.routers))]
}

func (schedule *schedule) upstream() *upstream {
	return schedule.soak.upstreams[schedule.random.IntN(len(schedule.soak.upstreams))]
}

// restart starts a router anew. It runs in the end of a fault, where a failure
// to start shows as a router that does not recover.
func (schedule *schedule) restart(router *router) {
	if err := router.start(); err != nil {
		schedule.soak.violate("no start", "%s: %v", router.name, err)
	}
	schedule.free(router)
}

func (schedule *schedule) killRouter(length time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	schedule.disturb("router killed", length/2, router.end, func() { schedule.restart(router) })
}

func (schedule *schedule) freezeRouter(length time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	schedule.disturb("router frozen", length, func() { router.signal(syscall.SIGSTOP) }, func() {
		router.signal(syscall.SIGCONT)
		schedule.free(router)
	})
}

func (schedule *schedule) stopRouter(time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	schedule.soak.planned("router stopped as planned")
	router.signal(syscall.SIGTERM)
	schedule.running.Add(1)
	stopping := &stoppingRouter{schedule: schedule, router: router}
	go stopping.run()
}

// stoppingRouter waits for a planned stop and starts the router again.
type stoppingRouter struct {
	schedule *schedule
	router   *router
}

func (stopping *stoppingRouter) run() {
	defer stopping.schedule.running.Done()
	router := stopping.router
	select {
	case <-router.ended:
		if router.err != nil {
			stopping.schedule.soak.violate("bad end of a planned stop", "%s: %v", router.name, router.err)
		}
	case <-time.After(stopTime + 2*time.Second):
		stopping.schedule.soak.violate("planned stop takes too long", "%s runs on after %v", router.name, stopTime)
		router.end()
	}
	stopping.schedule.restart(router)
}

func (schedule *schedule) reloadRouter(time.Duration) {
	router := schedule.router()
	if !schedule.claim(router) {
		return
	}
	defer schedule.free(router)
	schedule.soak.planned("router reloaded")
	router.settings.RetrySlack++
	if err := router.writeSettings(); err != nil {
		schedule.soak.violate("settings not written", "%v", err)
	}
	router.signal(syscall.SIGHUP)
}

func (schedule *schedule) changeConfig(time.Duration) {
	schedule.soak.planned("configuration changed")
	schedule.soak.configure()
}

func (schedule *schedule) upstreamLeaves(time.Duration) {
	const served, away = 4 * time.Second, time.Second
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.soak.planned("upstream leaves")
	upstream.leave()
	schedule.later(served, func() {
		schedule.soak.checkLeaving(upstream, time.Now())
		upstream.lapse()
		time.Sleep(away)
		upstream.revive()
		schedule.free(upstream)
	})
}

// switches changes the faults of the store and undoes that.
func (schedule *schedule) switches(name string, length time.Duration, on, off func(switches *standin.PlatformSwitches)) {
	change := func(change func(switches *standin.PlatformSwitches)) func() {
		return func() {
			schedule.mu.Lock()
			defer schedule.mu.Unlock()
			switches := schedule.soak.store.Switches()
			change(&switches)
			schedule.soak.store.Switch(switches)
		}
	}
	schedule.disturb(name, length, change(on), change(off))
}

func (schedule *schedule) storeDown(length time.Duration) {
	schedule.switches("store down", length,
		func(switches *standin.PlatformSwitches) { switches.Outage = true },
		func(switches *standin.PlatformSwitches) { switches.Outage = false })
}

func (schedule *schedule) storeSlow(length time.Duration) {
	schedule.switches("store slow", length,
		func(switches *standin.PlatformSwitches) { switches.SlowMs = 300 },
		func(switches *standin.PlatformSwitches) { switches.SlowMs = 0 })
}

func (schedule *schedule) storeLost(length time.Duration) {
	schedule.switches("store answers lost", length,
		func(switches *standin.PlatformSwitches) { switches.LoseShare = 0.5 },
		func(switches *standin.PlatformSwitches) { switches.LoseShare = 0 })
}

func (schedule *schedule) storeForgets(time.Duration) {
	heal := schedule.soak.disturb("store history dropped")
	schedule.soak.store.Forget()
	heal()
}

func (schedule *schedule) storeCut(length time.Duration) {
	router := schedule.router()
	if !schedule.claim(router.store) {
		return
	}
	state := linkState{silent: true}
	if schedule.random.IntN(2) == 0 {
		state = linkState{halfSilent: true}
	}
	schedule.disturb("router cut off from the store", length, func() { router.store.set(state) }, func() {
		router.store.set(linkState{})
		router.store.reset()
		schedule.free(router.store)
	})
}

// link sets the state of the link to an upstream for a while.
func (schedule *schedule) link(name string, length time.Duration, state linkState) {
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.disturb(name, length, func() { upstream.proxy.set(state) }, func() {
		upstream.proxy.set(linkState{})
		schedule.free(upstream)
	})
}

func (schedule *schedule) upstreamDelayed(length time.Duration) {
	schedule.link("upstream delayed", length, linkState{delay: 150 * time.Millisecond})
}

func (schedule *schedule) upstreamSilent(length time.Duration) {
	schedule.link("upstream silent", length, linkState{silent: true})
}

func (schedule *schedule) upstreamHalfSilent(length time.Duration) {
	schedule.link("upstream cut one way", length, linkState{halfSilent: true})
}

func (schedule *schedule) upstreamReset(time.Duration) {
	upstream := schedule.upstream()
	heal := schedule.soak.disturb("upstream connections reset")
	upstream.proxy.reset()
	heal()
}

func (schedule *schedule) upstreamCrashed(length time.Duration) {
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.disturb("upstream crashed", length, upstream.crash, func() {
		if length > standin.RunnerExpiry {
			upstream.lapse()
		}
		upstream.revive()
		schedule.free(upstream)
	})
}

func (schedule *schedule) upstreamSlow(length time.Duration) {
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.disturb("upstream slow", length, func() { upstream.runner.Slow(400 * time.Millisecond) }, func() {
		upstream.runner.Slow(0)
		schedule.free(upstream)
	})
}
