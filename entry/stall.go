package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// stallCheckInterval is the time between two checks of whether the process stood still.
	stallCheckInterval = 50 * time.Millisecond
	// catchUpTime is how long after that the datagrams that came meanwhile are read, and the
	// store is asked again.
	catchUpTime = 200 * time.Millisecond
	// maxCatchUpWait bounds how long a request waits for that.
	maxCatchUpWait = 2 * catchUpTime
	// catchUpPollInterval is the time between two checks of a waiting request.
	catchUpPollInterval = 10 * time.Millisecond
	// stallShare is the share of the time in which an evacuation has to be in force for
	// which a process may stand still without missing that.
	stallShare = 0.5
)

// stallGuard notices that the process stood still, as when its VM was paused: what it knew
// before may be outdated when it goes on, and callers' requests are there at once. The zero
// value notices nothing. It is safe for concurrent use.
type stallGuard struct {
	// longest is how long the process may stand still, or zero for any time. It is set
	// before use, as metrics and logger are.
	longest time.Duration
	metrics *metrics.Set
	logger  *slog.Logger

	mu sync.Mutex
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
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if stood := now.Sub(guard.tickedAt); !guard.tickedAt.IsZero() && stood > guard.longest {
		guard.currentFrom = now.Add(catchUpTime)
		guard.metrics.CountEvent("router.stalled")
		guard.logger.Warn("The process stood still, requests wait until it has caught up.", "Ms", stood.Milliseconds())
	}
	guard.tickedAt = now
}

// current reports whether the process has not stood still lately.
func (guard *stallGuard) current(now time.Time) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.tickedAt.IsZero() || now.Sub(guard.tickedAt) <= guard.longest && !now.Before(guard.currentFrom)
}

// await waits until the process has caught up, at most for maxCatchUpWait or until ctx ends.
func (guard *stallGuard) await(ctx context.Context) {
	for until := time.Now().Add(maxCatchUpWait); !guard.current(time.Now()) && time.Now().Before(until); {
		if !wait.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
}
