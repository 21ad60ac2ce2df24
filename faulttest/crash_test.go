package faulttest_test

import (
	"sync"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/result"
)

// poison is a request that crashes each engine that runs it.
var poison = fleettest.Request{Route: "draft", Body: `{"Text":"POISON in the ledger","MaxTokens":20,"Seed":1}`}

// crashed returns the number of engines whose process has ended.
func crashed(fleet *fleettest.Fleet) int {
	ended := 0
	for _, unit := range fleet.Engines {
		select {
		case <-unit.Upstream.Ended():
			ended++
		default:
		}
	}
	return ended
}

// innocents sends drafts through every router until it is stopped.
type innocents struct {
	fleet *fleettest.Fleet
	stop  chan struct{}
	wait  sync.WaitGroup

	mu       sync.Mutex
	answered int
	problems []string
}

func startInnocents(fleet *fleettest.Fleet, senders int) *innocents {
	innocents := &innocents{fleet: fleet, stop: make(chan struct{})}
	for i := range senders {
		innocents.wait.Add(1)
		go innocents.run(i)
	}
	return innocents
}

func (innocents *innocents) run(sender int) {
	defer innocents.wait.Done()
	for number := 1; ; number++ {
		select {
		case <-innocents.stop:
			return
		default:
		}
		request, want := draft(sender*1_000_000+number, 40)
		reply, err := fleettest.Ask(innocents.fleet.Routers[sender%len(innocents.fleet.Routers)], request)
		innocents.mu.Lock()
		switch {
		case err != nil:
			innocents.problems = append(innocents.problems, err.Error())
		case reply.Text.Text != want:
			innocents.problems = append(innocents.problems, reply.Problem.Name+" "+reply.Problem.Detail)
		default:
			innocents.answered++
		}
		innocents.mu.Unlock()
	}
}

// end stops the senders and checks that every innocent request was answered.
func (innocents *innocents) end(t *testing.T) {
	t.Helper()
	close(innocents.stop)
	innocents.wait.Wait()
	t.Logf("%d innocent requests answered", innocents.answered)
	if len(innocents.problems) > 0 || innocents.answered == 0 {
		t.Errorf("got %d innocent requests answered and %d not, first %v", innocents.answered, len(innocents.problems), innocents.problems[:min(3, len(innocents.problems))])
	}
}

// TestCrashingRequest sends a request that crashes its engine again and again
// through different routers, while others run beside it on 18 engines.
func TestCrashingRequest(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{
		Routers:    3,
		Engines:    18,
		EngineArgs: []string{"--crash-marker", "POISON", "--tokens-per-second", "200"},
	})
	innocents := startInnocents(fleet, 24)
	pause()
	var last fleettest.Reply
	for i := range 12 {
		reply, err := fleettest.Ask(fleet.Routers[i%3], poison)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("sending %d: %s %s, %d engines crashed", i+1, reply.Problem.Name, reply.Problem.Detail, crashed(fleet))
		last = reply
		pause()
	}
	innocents.end(t)
	if got, most := crashed(fleet), 3; got > most {
		t.Errorf("got %d engines crashed, want at most %d", got, most)
	}
	if got, want := last.Problem.Number, result.CrashingRequest; got != want {
		t.Errorf("got %s at last, want %s", got.Name(), want.Name())
	}
}
