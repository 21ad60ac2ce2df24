package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// stallRecordInterval is the time between two checks of whether the process stood still.
	stallRecordInterval = 100 * time.Millisecond
	// minRecordedStall is the shortest delay of a check that is recorded.
	minRecordedStall = 100 * time.Millisecond
)

// stallRecorder records for how long the process last stood still, for the log lines of requests
// that got no answer. The zero value is ready to use. It is safe for concurrent use.
type stallRecorder struct {
	mu sync.Mutex
	// dueAt is when the next check is due, or zero before the first one. stalledAt and resumedAt
	// are the bounds of the last stall.
	dueAt                time.Time
	stalledAt, resumedAt time.Time
}

func (recorder *stallRecorder) run(ctx context.Context) {
	recorder.check(time.Now())
	wait.Every(ctx, stallRecordInterval, func(context.Context) { recorder.check(time.Now()) })
}

// check records a stall if the check is late.
func (recorder *stallRecorder) check(now time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.recordUntil(now)
	recorder.dueAt = now.Add(stallRecordInterval)
}

// recordUntil records a stall from the due time until now, if it is long enough. The caller holds
// mu.
func (recorder *stallRecorder) recordUntil(now time.Time) {
	if !recorder.dueAt.IsZero() && now.Sub(recorder.dueAt) >= minRecordedStall {
		recorder.stalledAt, recorder.resumedAt = recorder.dueAt, now
	}
}

// last returns for how long at least the process last stood still, and until when; the time is zero
// if it did not. That includes a stall after which no check has been made yet.
func (recorder *stallRecorder) last() (length time.Duration, until time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.recordUntil(time.Now())
	return recorder.resumedAt.Sub(recorder.stalledAt), recorder.resumedAt
}
