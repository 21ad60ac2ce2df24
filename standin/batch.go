package standin

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

var errWaitingFull = errors.New("waiting queue full")

// batch admits a limited number of requests at a time. Other requests wait in a
// queue that is ordered by rank and then by arrival.
type batch struct {
	limit      int
	maxWaiting int
	// onChange is called with mu held after each change of the counts.
	onChange func(running, waiting int)

	mu      sync.Mutex
	running int
	waiting []*waiter
}

// waiter is a waiting request. Lower ranks are admitted first.
type waiter struct {
	rank     int
	admitted chan struct{}
}

// enter waits until the request is admitted. It returns errWaitingFull if the
// queue is full, or the error of ctx. Each successful enter needs one leave.
func (batch *batch) enter(ctx context.Context, rank int) error {
	waiter, err := batch.enqueue(rank)
	if err != nil {
		return err
	}
	select {
	case <-waiter.admitted:
		return nil
	case <-ctx.Done():
	}
	batch.cancel(waiter)
	return ctx.Err()
}

func (batch *batch) enqueue(rank int) (*waiter, error) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	if len(batch.waiting) >= batch.maxWaiting && batch.running >= batch.limit {
		return nil, errWaitingFull
	}
	joined := &waiter{rank: rank, admitted: make(chan struct{})}
	at := len(batch.waiting)
	for at > 0 && batch.waiting[at-1].rank > rank {
		at--
	}
	batch.waiting = slices.Insert(batch.waiting, at, joined)
	batch.admitWaiting()
	return joined, nil
}

// cancel removes a waiter from the queue, or releases its slot if it has been
// admitted in the meantime.
func (batch *batch) cancel(waiter *waiter) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	at := slices.Index(batch.waiting, waiter)
	if at < 0 {
		batch.running--
	} else {
		batch.waiting = slices.Delete(batch.waiting, at, at+1)
	}
	batch.admitWaiting()
}

func (batch *batch) leave() {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.running--
	batch.admitWaiting()
}

// admitWaiting admits waiters up to the limit. The caller holds mu.
func (batch *batch) admitWaiting() {
	for batch.running < batch.limit && len(batch.waiting) > 0 {
		close(batch.waiting[0].admitted)
		batch.waiting = slices.Delete(batch.waiting, 0, 1)
		batch.running++
	}
	if batch.onChange != nil {
		batch.onChange(batch.running, len(batch.waiting))
	}
}

func (batch *batch) runningCount() int {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	return batch.running
}
