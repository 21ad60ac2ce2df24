package standin_test

import (
	"sync"
	"time"
)

// clock is a manual clock that starts at the Unix time 1000.
type clock struct {
	mu      sync.Mutex
	elapsed time.Duration
}

func (clock *clock) now() time.Time {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	return time.Unix(1000, 0).Add(clock.elapsed)
}

func (clock *clock) advance(duration time.Duration) {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.elapsed += duration
}
