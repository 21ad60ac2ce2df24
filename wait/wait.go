package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for length, and reports false if ctx ended first. It returns at
// once for a length that is not positive.
func Sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls act after each interval until ctx ends.
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

// Jitter returns a random length from half of mean to one and a half of it, so
// that those who wait together don't go on together.
func Jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}
