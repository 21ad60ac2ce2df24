package quota_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestOneRequestWaitsForAFailedUpstream guards against requests that pile up at an upstream
// that is paused with its connections open, and that it gets all at once when it resumes.
func TestOneRequestWaitsForAFailedUpstream(t *testing.T) {
	tracker, _ := coldTracker(coldRuleOf(7.8))
	tracker.Failed(at(3), row(1), at(3))
	count := 0
	for now := at(4); now.Before(at(8)); now = now.Add(10 * time.Millisecond) {
		count += taken(tracker, now)
	}
	if count != 1 {
		t.Errorf("got %d requests that wait, want 1", count)
	}
	tracker.Failed(at(8), row(1), at(4))
	if got := taken(tracker, at(8.5)); got != 1 {
		t.Errorf("got %d requests after the connection broke, want 1", got)
	}
	tracker.Answered(at(8.7), row(1), at(8.5), nil)
	if got := taken(tracker, at(8.7)); got != 0 {
		t.Errorf("got %d requests at once after the answer, want none", got)
	}
	if got := taken(tracker, at(9)); got == 0 {
		t.Error("got no request a moment after the answer, want some")
	}
}

// TestFailureAfterClosedConnectionsIsReported guards against other routers that aren't told of
// a failure, since this one had found its idle connections closed before.
func TestFailureAfterClosedConnectionsIsReported(t *testing.T) {
	tracker, _ := coldTracker(coldRuleOf(7.8))
	tracker.Closed(at(3), row(1), 2)
	if got := len(tracker.TakeColds(500)); got != 0 {
		t.Errorf("got %d states for other routers, want none", got)
	}
	tracker.Failed(at(3.5), row(1), at(3.4))
	if got := len(tracker.TakeColds(500)); got != 1 {
		t.Errorf("got %d states for other routers, want 1", got)
	}
}

// TestFailureLapses guards against a router without a share that is kept from an upstream which
// only it could not reach, while it hears nothing of others.
func TestFailureLapses(t *testing.T) {
	names := newFleet(60).names
	for _, name := range names {
		for _, closed := range []bool{false, true} {
			rule := coldRuleOf(7.8)
			tracker := &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule { return rule }}
			tracker.SetFleet(at(0), name, names, names)
			lapsed := 15.5
			if closed {
				tracker.Closed(at(10), row(1), 2)
				lapsed = 5
			} else {
				tracker.Failed(at(10), row(1), at(10))
			}
			if _, cold := tracker.ColdUntil(at(10+lapsed-0.2), row(1)); !cold {
				t.Errorf("%s: got an upstream that is not failed after %v s, want it failed (closed: %t)", name, lapsed-0.2, closed)
			}
			if !tracker.Take(at(10+lapsed), row(1)) {
				t.Errorf("%s: got a request refused after %v s without news, want it sent (closed: %t)", name, lapsed, closed)
			}
		}
	}
}

// TestFailedStateLapsesWithoutRequests guards against failed states that stay for good at a router
// without requests there, or once the service has no rule any more.
func TestFailedStateLapsesWithoutRequests(t *testing.T) {
	for _, withRule := range []bool{true, false} {
		rule := coldRuleOf(7.8)
		tracker := &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule { return rule }}
		tracker.SetFleet(at(0), "router-0", []string{"router-0"}, []string{"router-0"})
		tracker.Failed(at(3), row(1), at(3))
		tracker.TakeColds(500)
		tracker.Retain(at(4), []registry.Upstream{row(1)})
		if got := tracker.CountCold(at(4)); got != 1 {
			t.Errorf("got %d cold upstreams after the failure, want 1", got)
		}
		if !withRule {
			rule = quota.ColdRule{}
		}
		tracker.Retain(at(20), []registry.Upstream{row(1)})
		if got := tracker.CountCold(at(20)); got != 0 {
			t.Errorf("got %d cold upstreams long after, want none (rule in force: %t)", got, withRule)
		}
	}
}
