package faulttest_test

import (
	"sync"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/result"
)

// crashingRequest crashes every engine that runs it.
var crashingRequest = fleettest.Request{Route: "draft", Body: `{"Text":"POISON in the ledger","MaxTokens":20,"Seed":1}`}

// crashedEngines returns the number of engines whose process has exited.
func crashedEngines(fleet *fleettest.Fleet) int {
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

// backgroundLoad sends ordinary requests through all routers until it is stopped.
type backgroundLoad struct {
	fleet *fleettest.Fleet
	stop  chan struct{}
	wait  sync.WaitGroup

	mu       sync.Mutex
	answered int
	problems []string
}

func startBackgroundLoad(fleet *fleettest.Fleet, senders int) *backgroundLoad {
	load := &backgroundLoad{fleet: fleet, stop: make(chan struct{})}
	for i := range senders {
		load.wait.Add(1)
		go load.run(i)
	}
	return load
}

func (load *backgroundLoad) run(sender int) {
	defer load.wait.Done()
	for number := 1; ; number++ {
		select {
		case <-load.stop:
			return
		default:
		}
		request, want := draft(sender*1_000_000+number, 40)
		reply, err := fleettest.Send(load.fleet.Routers[sender%len(load.fleet.Routers)], request)
		load.mu.Lock()
		switch {
		case err != nil:
			load.problems = append(load.problems, err.Error())
		case reply.Text.Text != want:
			load.problems = append(load.problems, reply.Problem.Name+" "+reply.Problem.Detail)
		default:
			load.answered++
		}
		load.mu.Unlock()
	}
}

// stopAndCheck stops the senders and checks that they sent requests and that
// every one of them was answered.
func (load *backgroundLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(load.stop)
	load.wait.Wait()
	t.Logf("%d background requests answered", load.answered)
	if len(load.problems) > 0 || load.answered == 0 {
		t.Errorf("got %d background requests answered and %d failed, first %v, want some answered and none failed", load.answered, len(load.problems), load.problems[:min(3, len(load.problems))])
	}
}

// TestCrashingRequest sends a request that crashes its engine 12 times, through
// all routers in turn, while other requests run on the same 18 engines. It
// guards against a retried request that takes down one engine after the other:
// at most 3 may crash, and the request is refused in the end.
func TestCrashingRequest(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{
		Routers:    3,
		Engines:    18,
		EngineArgs: []string{"--crash-marker", "POISON", "--tokens-per-second", "200"},
	})
	load := startBackgroundLoad(fleet, 24)
	pause()
	var last fleettest.Reply
	for i := range 12 {
		reply, err := fleettest.Send(fleet.Routers[i%3], crashingRequest)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("try %d: %s %s, %d engines crashed", i+1, reply.Problem.Name, reply.Problem.Detail, crashedEngines(fleet))
		last = reply
		pause()
	}
	load.stopAndCheck(t)
	if got, most := crashedEngines(fleet), 3; got > most {
		t.Errorf("got %d engines crashed, want at most %d", got, most)
	}
	if got, want := last.Problem.Number, result.CrashingRequest; got != want {
		t.Errorf("last try: got %s, want %s", got.Name(), want.Name())
	}
}
