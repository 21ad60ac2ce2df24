package standin

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

// Clock is the seam through which a stand-in sees time. The zero value is the
// real clock.
type Clock struct {
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Sleep waits for duration or until ctx is done, and then returns the
	// error of ctx; nil means a timer.
	Sleep func(ctx context.Context, duration time.Duration) error
}

func (clock *Clock) now() time.Time {
	if clock.Now == nil {
		return time.Now()
	}
	return clock.Now()
}

func (clock *Clock) sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	if clock.Sleep != nil {
		return clock.Sleep(ctx, duration)
	}
	wait.Sleep(ctx, duration)
	return ctx.Err()
}

// sleepUntil waits until the time deadline.
func (clock *Clock) sleepUntil(ctx context.Context, deadline time.Time) error {
	return clock.sleep(ctx, deadline.Sub(clock.now()))
}

// lagged is a value of which readers see an earlier state. A state that was seen
// once is never followed by an earlier one.
type lagged[T any] struct {
	seen    T
	pending []dated[T]
}

type dated[T any] struct {
	at    time.Time
	value T
}

// set records value as the state from the time now on.
func (lagged *lagged[T]) set(now time.Time, value T) {
	lagged.pending = append(lagged.pending, dated[T]{at: now, value: value})
}

// get returns the state that was current at the time until.
func (lagged *lagged[T]) get(until time.Time) T {
	passed := 0
	for passed < len(lagged.pending) && !lagged.pending[passed].at.After(until) {
		lagged.seen = lagged.pending[passed].value
		passed++
	}
	lagged.pending = lagged.pending[passed:]
	return lagged.seen
}
