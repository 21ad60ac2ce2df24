package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// stallCheckInterval is the time between two checks of whether the process was paused.
	stallCheckInterval = 50 * time.Millisecond
	// catchUpTime is how long after a pause the process reads the datagrams that arrived
	// meanwhile and asks the store again.
	catchUpTime = 200 * time.Millisecond
	// maxCatchUpWait bounds how long a request waits until the process has caught up.
	maxCatchUpWait = 2 * catchUpTime
	// catchUpPollInterval is the time between two checks of a waiting request.
	catchUpPollInterval = 10 * time.Millisecond
	// stallShare is the share of the time within which a router has to act on what it is told, for
	// which the process may be paused.
	stallShare = 0.5
	// coldWindow is the time for which the rate of a cold upstream holds.
	coldWindow = time.Second
)

// longestStall returns for how long the process may be paused: not so long that it misses that a zone
// is evacuated, or that an upstream which ended and came back gets few requests at first. Zero means
// any time.
func longestStall(settings config.Entry) time.Duration {
	within := settings.EvacuateMs.Duration()
	if settings.ColdOverage > 0 && (within == 0 || coldWindow < within) {
		within = coldWindow
	}
	return time.Duration(stallShare * float64(within))
}

// stallGuard detects that the process was paused, as when its VM was: what it knew before may
// be outdated when it resumes, and callers' requests are there at once. The zero value detects
// nothing. It is safe for concurrent use, but for tick, which has a single caller.
type stallGuard struct {
	// longest is how long the process may be paused, or zero for any time. It is set before
	// use, as metrics and logger are.
	longest time.Duration
	metrics *metrics.Set
	logger  *slog.Logger

	// state is nil before the first tick. Each attempt to send a request reads it.
	state atomic.Pointer[stallState]
}

// stallState is what a tick has recorded.
type stallState struct {
	// tickedAt is when the process was last known to run, and currentFrom from when on it
	// has caught up.
	tickedAt    time.Time
	currentFrom time.Time
}

func (guard *stallGuard) run(ctx context.Context) {
	if guard.longest <= 0 {
		return
	}
	guard.tick(time.Now())
	wait.Every(ctx, stallCheckInterval, func(context.Context) { guard.tick(time.Now()) })
}

// tick records that the process runs.
func (guard *stallGuard) tick(now time.Time) {
	next := &stallState{tickedAt: now}
	if last := guard.state.Load(); last != nil {
		next.currentFrom = last.currentFrom
		if paused := now.Sub(last.tickedAt); paused > guard.longest {
			next.currentFrom = now.Add(catchUpTime)
			guard.metrics.CountEvent("router.stalled")
			guard.logger.Warn("The process was paused, requests wait until it has caught up.", "Ms", paused.Milliseconds())
		}
	}
	guard.state.Store(next)
}

// current reports whether the process has not been paused recently.
func (guard *stallGuard) current(now time.Time) bool {
	state := guard.state.Load()
	return state == nil || now.Sub(state.tickedAt) <= guard.longest && !now.Before(state.currentFrom)
}

// await waits until the process has caught up, at most for maxCatchUpWait or until ctx ends.
func (guard *stallGuard) await(ctx context.Context) {
	for until := time.Now().Add(maxCatchUpWait); !guard.current(time.Now()) && time.Now().Before(until); {
		if !wait.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
}
