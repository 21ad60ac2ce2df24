package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// starvationStream is the stream of random numbers that draws starvations, and
	// starvationInterval to how many faults there is one of them.
	starvationStream   = 1 << 43
	starvationInterval = 3
	// minStarvation and maxStarvation bound how long a router is short of processor time.
	minStarvation = time.Second
	maxStarvation = 3 * time.Second
	// dutyPeriod is the time from one stop of a starved process to the next, and minDuty and
	// maxDuty bound the part of it in which the process runs.
	dutyPeriod = 100 * time.Millisecond
	minDuty    = 5 * time.Millisecond
	maxDuty    = 30 * time.Millisecond
)

// starvation lets the process of a router run for a part of the time only, as on a machine with a
// small share of a processor.
type starvation struct {
	schedule *schedule
	router   *router
	duty     time.Duration
	heal     func()
	until    time.Time
}

// starveRouters leaves some routers little processor time, and changes the configuration meanwhile.
func (schedule *schedule) starveRouters() {
	random := schedule.starvations
	routers := schedule.soak.routers
	duty, length := between(random, minDuty, maxDuty), between(random, minStarvation, maxStarvation)
	series := newSeries(schedule, random)
	// Connections are closed as idle most often after that.
	series.steps[0].change = change{"idle timeout shortened", shortenIdleTimeout}
	for _, number := range random.Perm(len(routers))[:1+random.IntN(max(len(routers)/2, 1))] {
		schedule.starve(routers[number], duty, length)
	}
	schedule.active.Add(1)
	go series.run()
}

// starve leaves a router little processor time, unless another fault is applied to it.
func (schedule *schedule) starve(router *router, duty, length time.Duration) {
	if !schedule.claim(router) {
		return
	}
	starvation := &starvation{
		schedule: schedule, router: router, duty: duty, until: time.Now().Add(length),
		heal: schedule.soak.begin("router short of processor time", span{from: time.Now(), starved: true}),
	}
	schedule.active.Add(1)
	go starvation.run()
}

// between returns a random time from least up to most.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (starvation *starvation) run() {
	defer starvation.schedule.active.Done()
	for time.Now().Before(starvation.until) {
		starvation.router.signal(syscall.SIGSTOP)
		time.Sleep(dutyPeriod - starvation.duty)
		starvation.router.signal(syscall.SIGCONT)
		time.Sleep(starvation.duty)
	}
	starvation.heal()
	starvation.schedule.release(starvation.router)
}
