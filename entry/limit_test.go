package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// namedLimit is the limit in requests a second, limitedTime how long it is named,
	// and liftedTime how long requests continue without it.
	namedLimit  = 2
	limitedTime = 9 * time.Second
	liftedTime  = 4 * time.Second
	// limitTraffic is the time between two requests.
	limitTraffic = 15 * time.Millisecond
)

// limitedCall is one request to a fleet with limits.
type limitedCall struct {
	fleet   *crashFleet
	address string
	attempt string
	took    time.Duration
	reply   standin.Reply
}

func (call *limitedCall) run() {
	started := time.Now()
	call.reply = call.fleet.send(call.address, call.attempt, "/again/x", "body of "+call.attempt)
	call.took = time.Since(started)
}

// traffic sends requests at the routers in turn until the given time, and returns
// them once they are answered.
func (fleet *crashFleet) traffic(name string, until time.Time) []*limitedCall {
	var waiting sync.WaitGroup
	var calls []*limitedCall
	for n := 0; time.Now().Before(until); n++ {
		call := &limitedCall{fleet: fleet, address: fleet.address(n), attempt: fmt.Sprint(name, "-", n)}
		calls = append(calls, call)
		waiting.Go(call.run)
		time.Sleep(limitTraffic)
	}
	waiting.Wait()
	return calls
}

// mostInWindow returns the most of the times from a given one on that lie within
// standin.LimitWindow.
func mostInWindow(times []time.Time, from time.Time) int {
	most := 0
	for i, first := range times {
		if first.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(times, first.Add(standin.LimitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// TestLimitOfAnUpstreamIsKeptByAllRouters guards against an upstream that gets more
// requests from all routers together than the limit that it names, and against
// routers that keep a limit which is gone.
func TestLimitOfAnUpstreamIsKeptByAllRouters(t *testing.T) {
	tests := []struct {
		name string
		// routers and upstreams are their numbers, and limited how many upstreams
		// name a limit.
		routers, upstreams, limited int
	}{
		{"some upstreams", 3, 4, 2},
		{"all upstreams", 2, 3, 3},
		{"more routers than requests in the window", 7, 3, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCrashFleet(t, test.upstreams, test.routers)
			fleet.traffic("before", time.Now().Add(time.Second))
			named := time.Now()
			for _, runner := range fleet.runners[:test.limited] {
				runner.Limit(namedLimit)
			}
			calls := fleet.traffic("limited", named.Add(limitedTime))
			for _, runner := range fleet.runners[:test.limited] {
				runner.Unlimit()
			}
			lifted := time.Now()
			fleet.traffic("lifted", lifted.Add(liftedTime))
			allowed := standin.AllowedInLimitWindow(namedLimit)
			for _, runner := range fleet.runners[:test.limited] {
				times := fleet.runTimes(runner.ID)
				until, _ := slices.BinarySearchFunc(times, lifted, time.Time.Compare)
				if got := mostInWindow(times[:until], named.Add(standin.ContactTime)); got > allowed {
					t.Errorf("got %d requests in %v at %s with a limit of %d a second, want at most %d", got, standin.LimitWindow, runner.ID, namedLimit, allowed)
				}
				t.Logf("%s: %d after the limit was gone", runner.ID, len(times)-until)
				if got := len(times) - until; got < 2*allowed {
					t.Errorf("got %d requests in %v at %s without a limit, want at least %d", got, liftedTime, runner.ID, 2*allowed)
				}
			}
			fleet.checkLimited(calls, named, test.limited == test.upstreams)
		})
	}
}

// checkLimited checks the answers to requests that came while upstreams named limits:
// all are served, or, if no upstream was without a limit, those that are refused are
// refused at once.
func (fleet *crashFleet) checkLimited(calls []*limitedCall, named time.Time, allLimited bool) {
	fleet.t.Helper()
	served := 0
	for _, call := range calls {
		retryAfter, err := strconv.ParseFloat(call.reply.RetryAfter, 64)
		switch {
		case call.reply.Status == http.StatusOK:
			served++
		case !allLimited:
			fleet.t.Errorf("got status %d (%v) for %s, want it served by an upstream without a limit", call.reply.Status, call.reply.Err, call.attempt)
		case call.reply.Status != http.StatusServiceUnavailable || call.took > time.Second/2 || err != nil || retryAfter <= 0:
			fleet.t.Errorf("got status %d after %v and Retry-After %q for %s, want 503 at once with a time", call.reply.Status, call.took, call.reply.RetryAfter, call.attempt)
		}
	}
	if want := namedLimit * int(time.Since(named)/time.Second) / 4; served < want {
		fleet.t.Errorf("got %d requests served, want at least %d", served, want)
	}
	fleet.t.Logf("%d of %d requests served", served, len(calls))
}
