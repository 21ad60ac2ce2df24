package changetest_test

import (
	"fmt"
	"sync"
)

// outcome is how a request has ended for its caller.
type outcome int

const (
	// answered is a whole answer of an upstream, and refused another whole answer.
	answered outcome = iota
	refused
	// crossed is a connection that the router closed before it had read the request.
	crossed
	// expired is a caller that has used up its time.
	expired
	// lost is a request that the router has read, without a whole answer.
	lost
	outcomes
)

// recorder counts outcomes. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	tally tally
	// closed counts the connections that callers found closed before they sent a request.
	closed int
}

// tally is what was recorded in a time.
type tally struct {
	counts [outcomes]int
	// lost describes the requests that were lost.
	lost []string
}

// record records an outcome; loss describes a lost request.
func (recorder *recorder) record(outcome outcome, loss string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.tally.counts[outcome]++
	if outcome == lost {
		recorder.tally.lost = append(recorder.tally.lost, loss)
	}
}

func (recorder *recorder) recordClosed() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.closed++
}

// closedCount returns how many connections callers have found closed.
func (recorder *recorder) closedCount() int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.closed
}

// take returns what was recorded since it was called before.
func (recorder *recorder) take() tally {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	taken := recorder.tally
	recorder.tally = tally{}
	return taken
}

// String returns the counts.
func (tally tally) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d crossed a close, %d expired, %d lost",
		tally.counts[answered], tally.counts[refused], tally.counts[crossed], tally.counts[expired], tally.counts[lost])
}
