package standin

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

// Clock is the source of time of a stand-in, which tests replace. The zero value
// is the real clock.
type Clock struct {
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Sleep waits for duration or until ctx is done and returns the error of
	// ctx, if any; nil means a real timer.
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

// sleepUntil waits until deadline or until ctx is done and returns the error of
// ctx, if any.
func (clock *Clock) sleepUntil(ctx context.Context, deadline time.Time) error {
	return clock.sleep(ctx, deadline.Sub(clock.now()))
}

// lagged is a value whose changes become visible to readers with a delay. Once a
// state has been read, no older state is returned, even if the delay grows.
type lagged[T any] struct {
	visible T
	pending []timestamped[T]
}

type timestamped[T any] struct {
	at    time.Time
	value T
}

// set records value as the current state as of now. Calls must pass
// non-decreasing times.
func (lagged *lagged[T]) set(now time.Time, value T) {
	lagged.pending = append(lagged.pending, timestamped[T]{at: now, value: value})
}

// get returns the state that was current at the time until, or the state that
// it returned last if that is newer. It drops all older states.
func (lagged *lagged[T]) get(until time.Time) T {
	passed := 0
	for passed < len(lagged.pending) && !lagged.pending[passed].at.After(until) {
		lagged.visible = lagged.pending[passed].value
		passed++
	}
	lagged.pending = lagged.pending[passed:]
	return lagged.visible
}
