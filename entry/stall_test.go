package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
)

// TestPausedRouterCatchesUpFirst guards against a router whose VM was paused while a
// zone was evacuated, and that sends the requests which wait for it to that zone before it has
// read what came meanwhile; and against requests that wait without such a pause, or for long.
func TestPausedRouterCatchesUpFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := &stallGuard{longest: 2500 * time.Millisecond, logger: logging.Component(nil, "entry")}
		waited := func() time.Duration {
			began := time.Now()
			guard.await(context.Background())
			return time.Since(began)
		}
		if got := waited(); got != 0 {
			t.Errorf("got a wait of %v before the first tick, want none", got)
		}
		guard.tick(time.Now())
		time.Sleep(2400 * time.Millisecond)
		guard.tick(time.Now())
		if got := waited(); got != 0 {
			t.Errorf("got a wait of %v after a short pause, want none", got)
		}
		time.Sleep(7 * time.Second)
		if guard.current(time.Now()) {
			t.Error("got a current router after a pause, before it has run again, want none")
		}
		guard.tick(time.Now())
		if got := waited(); got < catchUpTime || got > catchUpTime+catchUpPollInterval {
			t.Errorf("got a wait of %v after a pause, want %v", got, catchUpTime)
		}
		if got := waited(); got != 0 {
			t.Errorf("got a wait of %v once it has caught up, want none", got)
		}
		time.Sleep(7 * time.Second)
		if got := waited(); got > maxCatchUpWait+catchUpPollInterval {
			t.Errorf("got a wait of %v without another tick, want at most %v", got, maxCatchUpWait)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		began := time.Now()
		guard.await(ctx)
		if got := time.Since(began); got != 0 {
			t.Errorf("got a wait of %v of a request that has ended, want none", got)
		}
	})
}

// TestLongestStall guards against a router that sends the requests which waited while its process was
// paused before it has read that their upstream ended, came back and is cold.
func TestLongestStall(t *testing.T) {
	tests := []struct {
		evacuateMs  ident.Milliseconds
		coldOverage float64
		want        time.Duration
	}{
		{0, 0, 0},
		{5000, 0, 2500 * time.Millisecond},
		{0, 1.5, 500 * time.Millisecond},
		{5000, 1.5, 500 * time.Millisecond},
		{400, 1.5, 200 * time.Millisecond},
	}
	for _, test := range tests {
		if got := longestStall(config.Entry{EvacuateMs: test.evacuateMs, ColdOverage: test.coldOverage}); got != test.want {
			t.Errorf("got %v with EvacuateMs %d and ColdOverage %v, want %v", got, test.evacuateMs, test.coldOverage, test.want)
		}
	}
}

// TestStallsAreIgnoredWithoutEvacuateMs guards against waits on a deployment whose
// settings don't say within which time an evacuation has to be in force.
func TestStallsAreIgnoredWithoutEvacuateMs(t *testing.T) {
	guard := new(stallGuard)
	guard.run(context.Background())
	if !guard.current(time.Now().Add(time.Hour)) {
		t.Error("got a router that is not current, want it current always")
	}
}
