package entry

import (
	"sync"
	"time"
)

// stateStart records when a state began that still holds. The zero value is a
// state that does not hold. It is safe for concurrent use.
type stateStart struct {
	mu    sync.Mutex
	began time.Time
}

// update records at now whether the state holds. A state that holds already
// keeps its beginning.
func (start *stateStart) update(now time.Time, holds bool) {
	start.mu.Lock()
	defer start.mu.Unlock()
	switch {
	case !holds:
		start.began = time.Time{}
	case start.began.IsZero():
		start.began = now
	}
}

// since returns when the state began, and the zero time if it does not hold.
func (start *stateStart) since() time.Time {
	start.mu.Lock()
	defer start.mu.Unlock()
	return start.began
}
