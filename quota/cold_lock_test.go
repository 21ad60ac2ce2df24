package quota

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestWithoutColdUpstreamsAttemptsTakeNoLock guards against attempts that wait for the lock of the
// tracker where no upstream is cold, or none may be, and against a rule that is asked under it.
func TestWithoutColdUpstreamsAttemptsTakeNoLock(t *testing.T) {
	upstream, now := registry.Upstream{ID: "i-1", Incarnation: 1, Service: "pool"}, time.Now()
	tracker := new(Tracker)
	rule, underLock := ColdRule{}, 0
	tracker.ColdRule = func(ident.ServiceName) ColdRule {
		if tracker.mu.TryLock() {
			tracker.mu.Unlock()
		} else {
			underLock++
		}
		return rule
	}
	rule = ColdRule{Start: time.Second, PerSecond: 4, Overage: 1.5, Slack: 5}
	if !tracker.Take(now, upstream) || !tracker.MaySend(now, upstream, now) {
		t.Error("got a request refused, want it sent")
	}
	tracker.Answered(now, upstream, now, nil)
	if underLock > 0 {
		t.Errorf("got the rule asked %d times under the lock, want never", underLock)
	}
	rule = ColdRule{}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		tracker.MaySend(now, upstream, now)
		tracker.Answered(now, upstream, now, nil)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("got calls that wait for the lock, want none")
	}
}
