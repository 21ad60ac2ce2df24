package memory

import (
	"sync"
	"time"
)

// maxTickGap is the longest time between two ticks of a process that runs.
const maxTickGap = time.Second

// Stalls detects pauses of the process, for example of its VM, so that they are not counted as
// lack of progress of clients. Without ticks, and as nil, it detects none. It is safe for
// concurrent use.
type Stalls struct {
	mu sync.Mutex
	// tickedAt is when the last tick was recorded, and resumedAt when the last pause ended.
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

// standing reports whether the process was paused until now. The caller holds mu.
func (stalls *Stalls) standing(now time.Time) bool {
	return !stalls.tickedAt.IsZero() && now.Sub(stalls.tickedAt) > maxTickGap
}

// Waited returns the time since the given time, without what precedes the end of the last pause.
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
