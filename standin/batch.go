package standin

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

var errWaitingFull = errors.New("waiting queue full")

// batch admits a limited number of requests at a time. The others wait, by rank
// and then in the order of their arrival.
type batch struct {
	limit      int
	maxWaiting int
	// changed is called with the lock held after each change of the counts.
	changed func(running, waiting int)

	mu      sync.Mutex
	running int
	waiting []*waiter
}

// waiter is one waiting request. A lower rank goes first.
type waiter struct {
	rank     int
	admitted chan struct{}
}

// enter waits for a place. Each enter without an error needs a leave.
func (batch *batch) enter(ctx context.Context, rank int) error {
	waiter, err := batch.join(rank)
	if err != nil {
		return err
	}
	select {
	case <-waiter.admitted:
		return nil
	case <-ctx.Done():
	}
	batch.abandon(waiter)
	return ctx.Err()
}

func (batch *batch) join(rank int) (*waiter, error) {
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
	batch.fill()
	return joined, nil
}

// abandon takes a waiter out of the queue, or gives back the place that it was
// given meanwhile.
func (batch *batch) abandon(waiter *waiter) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	at := slices.Index(batch.waiting, waiter)
	if at < 0 {
		batch.running--
	} else {
		batch.waiting = slices.Delete(batch.waiting, at, at+1)
	}
	batch.fill()
}

func (batch *batch) leave() {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.running--
	batch.fill()
}

// fill admits waiters while there is room. The caller holds the lock.
func (batch *batch) fill() {
	for batch.running < batch.limit && len(batch.waiting) > 0 {
		close(batch.waiting[0].admitted)
		batch.waiting = slices.Delete(batch.waiting, 0, 1)
		batch.running++
	}
	if batch.changed != nil {
		batch.changed(batch.running, len(batch.waiting))
	}
}

func (batch *batch) size() int {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	return batch.running
}
