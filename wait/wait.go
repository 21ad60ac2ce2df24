package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for duration and returns true, or returns false as soon as ctx ends.
// If duration isn't positive, it doesn't wait and reports whether ctx is active.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls act after each interval until ctx ends. Calls don't overlap: if act
// takes longer than interval, later calls are skipped.
func Every(ctx context.Context, interval time.Duration, act func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			act(ctx)
		}
	}
}

// Jitter returns a random duration between 0.5 and 1.5 times mean, so that callers
// that start to wait at the same time don't continue at the same time.
func Jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}
