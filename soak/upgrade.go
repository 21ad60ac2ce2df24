package soak

import (
	"context"
	"syscall"
	"time"
)

const (
	// upgradeBegin is when the first router is upgraded, and upgradePause the time
	// between two of them.
	upgradeBegin = 2 * time.Second
	upgradePause = time.Second
)

// upgrade replaces the earlier program of all routers, one after the other.
type upgrade struct {
	schedule *schedule
	done     chan struct{}
}

// claimPollInterval is the time between two checks whether a router is free of faults.
const claimPollInterval = 20 * time.Millisecond

func (upgrade *upgrade) run(ctx context.Context) {
	defer close(upgrade.done)
	soak := upgrade.schedule.soak
	if soak.options.Previous == "" {
		return
	}
	time.Sleep(upgradeBegin)
	for _, router := range soak.routers {
		for !upgrade.schedule.claim(router) {
			time.Sleep(claimPollInterval)
		}
		upgrade.replace(ctx, router)
		time.Sleep(upgradePause)
	}
}

// replace stops a router as planned and starts it with the current program.
func (upgrade *upgrade) replace(ctx context.Context, router *router) {
	upgrade.schedule.soak.countPlanned("router upgraded")
	router.signal(syscall.SIGTERM)
	stopped, cancel := context.WithTimeout(context.WithoutCancel(ctx), plannedStopTimeout)
	defer cancel()
	select {
	case <-router.ended:
	case <-stopped.Done():
		router.end()
	}
	router.mu.Lock()
	router.previous = ""
	router.mu.Unlock()
	upgrade.schedule.restart(router)
}

// earlier reports whether the router runs the earlier program.
func (router *router) earlier() bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.previous != ""
}
