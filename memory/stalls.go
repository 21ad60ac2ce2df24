package memory

import (
	"sync"
	"time"
)

// maxTickGap is the longest time between two ticks of a process that runs.
const maxTickGap = time.Second

// Stalls notices that the process stood still, as when its VM was paused: others could make no
// progress meanwhile. Without ticks, and as nil, it notices nothing. It is safe for concurrent use.
type Stalls struct {
	mu sync.Mutex
	// tickedAt is when the process was last known to run, and resumedAt when it last went on
	// after it had stood still.
	tickedAt  time.Time
	resumedAt time.Time
}

// Tick records that the process runs. It is called at least twice each maxTickGap.
func (stalls *Stalls) Tick(now time.Time) {
	stalls.mu.Lock()
	defer stalls.mu.Unlock()
	if stalls.standing(now) {
		stalls.resumedAt = now
	}
	stalls.tickedAt = now
}

// standing reports whether the process stood still until now. The caller holds mu.
func (stalls *Stalls) standing(now time.Time) bool {
	return !stalls.tickedAt.IsZero() && now.Sub(stalls.tickedAt) > maxTickGap
}

// Waited returns for how long the process has waited since a time, without what went before
// the end of its last stall.
func (stalls *Stalls) Waited(now, since time.Time) time.Duration {
	if stalls == nil {
		return now.Sub(since)
	}
	stalls.mu.Lock()
	defer stalls.mu.Unlock()
	switch {
	case stalls.standing(now):
		return 0
	case since.Before(stalls.resumedAt):
		return max(now.Sub(stalls.resumedAt), 0)
	}
	return now.Sub(since)
}
