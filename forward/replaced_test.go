package forward_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
)

// currentGate is a Handler.AwaitCurrent that holds each request at its nth call until it is opened.
type currentGate struct {
	nth     int
	arrived sync.WaitGroup
	opened  chan struct{}

	mu     sync.Mutex
	isOpen bool
	calls  map[context.Context]int
}

func newCurrentGate(nth, requests int) *currentGate {
	gate := &currentGate{nth: nth, opened: make(chan struct{}), calls: make(map[context.Context]int)}
	gate.arrived.Add(requests)
	return gate
}

func (gate *currentGate) await(ctx context.Context) {
	gate.mu.Lock()
	gate.calls[ctx]++
	held := !gate.isOpen && gate.calls[ctx] == gate.nth
	gate.mu.Unlock()
	if held {
		gate.arrived.Done()
		<-gate.opened
	}
}

// open lets all requests pass, those that come later, too.
func (gate *currentGate) open() {
	gate.mu.Lock()
	gate.isOpen = true
	gate.mu.Unlock()
	close(gate.opened)
}

// TestUpstreamReplacedWhileRequestsWait guards against requests that wait until the router is
// current, as behind a pause of its process, and are then sent as to the process that the upstream
// had before: a new one that is cold ends under so many.
func TestUpstreamReplacedWhileRequestsWait(t *testing.T) {
	const requests, most = 40, 11
	tests := []struct {
		name string
		nth  int
	}{
		{"before the choice", 1},
		{"before the request is sent", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var served atomic.Int64
			router := startRouter(t, startCounting(t, &served))
			router.handler.Quota = coldTracker(3 * time.Second)
			gate := newCurrentGate(test.nth, requests)
			router.handler.AwaitCurrent = gate.await
			var waiting sync.WaitGroup
			var answered atomic.Int64
			for n := range requests {
				waiting.Go(func() {
					if got := router.send(t, fmt.Sprint("a", n), "POST", "/once/", ""); got.status == 200 {
						answered.Add(1)
					}
				})
			}
			gate.arrived.Wait()
			next := router.handler.Registry.Upstreams()[0]
			next.Incarnation, next.Version = next.Incarnation+1, 2
			router.handler.Registry.Replace(time.Now(), 2, []registry.Upstream{next})
			router.handler.Quota.Started(time.Now(), next)
			gate.open()
			waiting.Wait()
			if got := served.Load(); got > most {
				t.Errorf("got %d of %d requests at the cold process, want at most %d", got, requests, most)
			}
			if got, want := answered.Load(), served.Load(); got != want {
				t.Errorf("got %d requests answered, want the %d that were sent", got, want)
			}
			time.Sleep(time.Second)
			if got := router.send(t, "later", "POST", "/once/", ""); got.status != 200 {
				t.Errorf("got status %d a second later, want 200", got.status)
			}
		})
	}
}
