package logging

import (
	"sync"
	"time"
)

// throttleInterval is the least time between two log lines of a Throttle.
const throttleInterval = time.Second

// Throttle counts occurrences of which a log line is written at most once a second. The zero
// value is ready to use. It is safe for concurrent use.
type Throttle struct {
	mu       sync.Mutex
	loggedAt time.Time
	count    int
}

// Add counts an occurrence. It reports whether a line is due, and how many occurrences there were
// since the last line.
func (throttle *Throttle) Add(now time.Time) (count int, due bool) {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	throttle.count++
	count = throttle.count
	due = now.Sub(throttle.loggedAt) >= throttleInterval
	if due {
		throttle.loggedAt, throttle.count = now, 0
	}
	return count, due
}
