package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// partRequests is how many requests with a part that crashes upstreams are
	// sent, one every partInterval.
	partRequests = 48
	partInterval = 250 * time.Millisecond
	// lostTime after the last crash that a part may cause, minSoundShare of the sound
	// requests have to be served at the first attempt.
	lostTime      = 2 * standin.ContactTime
	minSoundShare = 0.9
)

// promptCall is one request with a prompt, and what came of it.
type promptCall struct {
	fleet   *crashFleet
	address string
	attempt string
	path    string
	parts   []string
	sentAt  time.Time
	reply   standin.Reply
}

func (call *promptCall) run() {
	call.reply = call.fleet.send(call.address, call.attempt, call.path, "body of "+call.attempt, call.parts...)
}

// promptTraffic sends requests with prompts, one every partInterval, at the routers
// in turn.
type promptTraffic struct {
	fleet *crashFleet
	path  string
	name  string
	// parts returns the parts of the nth request, but for its own last one.
	parts func(n int) []string

	waiting sync.WaitGroup
	calls   []*promptCall
}

// send sends the nth request without waiting for its answer.
func (traffic *promptTraffic) send(n int) {
	attempt := fmt.Sprint(traffic.name, "-", n)
	call := &promptCall{
		fleet: traffic.fleet, address: traffic.fleet.address(n), attempt: attempt, path: traffic.path,
		parts: append(traffic.parts(n), attempt), sentAt: time.Now(),
	}
	traffic.calls = append(traffic.calls, call)
	traffic.waiting.Go(call.run)
}

// partScenario is a fleet with requests whose parts crash upstreams, and sound ones
// that share the other parts.
type partScenario struct {
	name string
	path string
	// bad is how many parts crash upstreams, and crashing returns the shared parts
	// of the nth request that does.
	bad      int
	crashing func(n int) []string
	// afterThat is called once, after that many requests.
	after     int
	afterThat func(fleet *crashFleet)
}

func isBadPart(part string) bool { return part == "bad0" || part == "bad1" }

// play plays the scenario and returns the sound traffic.
func (scenario *partScenario) play(fleet *crashFleet) (crashing, sound *promptTraffic) {
	crashing = &promptTraffic{fleet: fleet, path: scenario.path, name: "crash", parts: scenario.crashing}
	sound = &promptTraffic{fleet: fleet, path: scenario.path, name: "sound", parts: func(n int) []string {
		return [][]string{{"common", "other"}, {"other", fmt.Sprint("rare", n%5)}}[n%2]
	}}
	for n := range partRequests {
		started := time.Now()
		crashing.send(n)
		time.Sleep(partInterval / 2)
		sound.send(n)
		if n+1 == scenario.after {
			scenario.afterThat(fleet)
		}
		time.Sleep(time.Until(started.Add(partInterval)))
	}
	crashing.waiting.Wait()
	sound.waiting.Wait()
	return crashing, sound
}

// checkParts fails the test if upstreams crashed too often or if sound requests were
// not served at the first attempt.
func (fleet *crashFleet) checkParts(bad int, crashing, sound *promptTraffic) {
	fleet.t.Helper()
	crashes := fleet.crashTimes()
	first := bad * standin.MaxPartCrashes
	if len(crashes) < bad {
		fleet.t.Fatalf("got %d crashes, want at least %d", len(crashes), bad)
	}
	decisive := crashes[min(first, len(crashes))-1]
	late := 0
	for _, crash := range crashes {
		if crash.After(decisive.Add(standin.ContactTime)) {
			late++
		}
	}
	if late > bad*standin.MaxLateRuns {
		fleet.t.Errorf("got %d crashes, %d of them later than %v after number %d, want at most %d", len(crashes), late, standin.ContactTime, first, bad*standin.MaxLateRuns)
	}
	counted, served, all := 0, 0, 0
	for _, call := range sound.calls {
		ok := call.reply.Status == http.StatusOK && call.reply.Err == nil
		if ok {
			all++
		}
		if call.sentAt.After(decisive.Add(lostTime)) {
			counted++
			if ok {
				served++
			}
		}
	}
	if float64(served) < minSoundShare*float64(counted) || counted == 0 {
		fleet.t.Errorf("got %d of %d sound requests served later than %v after crash %d, want %.0f in 100", served, counted, lostTime, first, 100*minSoundShare)
	}
	refused := 0
	for _, call := range crashing.calls {
		if call.reply.Status == http.StatusTooManyRequests {
			refused++
		}
	}
	fleet.t.Logf("%d crashes, %d of them late; %d of %d requests that crash refused; %d of %d sound ones served, %d of the last %d", len(crashes), late, refused, len(crashing.calls), all, len(sound.calls), served, counted)
}

// TestPartOfPromptKeepsCrashingUpstreams guards against a part of prompts that
// crashes upstream after upstream, in requests of which no two are alike.
func TestPartOfPromptKeepsCrashingUpstreams(t *testing.T) {
	middle := func(int) []string { return []string{"common", "bad0", "other"} }
	tests := []partScenario{
		{name: "in the middle", path: "/stream/x", bad: 1, crashing: middle},
		{name: "in the middle, idempotent", path: "/again/x", bad: 1, crashing: middle},
		{name: "in first place, resumable", path: "/resume/stream/x", bad: 1, crashing: func(int) []string { return []string{"bad0", "common"} }},
		{name: "two parts", path: "/again/x", bad: 2, crashing: func(n int) []string { return []string{"common", fmt.Sprint("bad", n%2)} }},
		{name: "late router", path: "/stream/x", bad: 1, crashing: middle, after: 22, afterThat: func(fleet *crashFleet) {
			router := fleet.startRouter("c")
			router.waitFor(3*time.Second, "readiness", router.ready)
		}},
		{name: "all routers restarted", path: "/stream/x", bad: 1, crashing: middle, after: 22, afterThat: (*crashFleet).restartRouters},
		{name: "store down from the second request on", path: "/stream/x", bad: 1, crashing: middle, after: 2, afterThat: func(fleet *crashFleet) {
			const outage = 3 * time.Second
			fleet.store.Switch(standin.PlatformSwitches{Outage: true})
			time.AfterFunc(outage, func() { fleet.store.Switch(standin.PlatformSwitches{}) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := &crashFleet{t: t, store: new(standin.Platform), rowExpiry: standin.RunnerExpiry, restartAfter: restartTime, wait: 2500, crashPart: isBadPart, runTime: 75 * time.Millisecond}
			fleet.start(8, 3)
			crashing, sound := test.play(fleet)
			fleet.checkParts(test.bad, crashing, sound)
		})
	}
}

// TestSoundRequestsBesideCrashesAreServed guards against sound requests that are
// refused because they ran beside several others that each crashed an upstream.
func TestSoundRequestsBesideCrashesAreServed(t *testing.T) {
	const (
		bodies, timesEach = 8, 5
		interval          = 60 * time.Millisecond
		crashEvery        = 5
		pause             = 3 * time.Second
	)
	for _, path := range []string{"/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			fleet := &crashFleet{t: t, store: new(standin.Platform), rowExpiry: standin.RunnerExpiry, restartAfter: restartTime, wait: 2500, runTime: 375 * time.Millisecond}
			fleet.start(8, 2)
			var calls sync.WaitGroup
			for n := range bodies * timesEach {
				started := time.Now()
				calls.Go(func() {
					fleet.send(fleet.address(n), fmt.Sprint("sound-", n), path, fmt.Sprint("sound body ", n%bodies))
				})
				if n%crashEvery == 0 {
					calls.Go(func() { fleet.send(fleet.address(n), fmt.Sprint("crash-", n), path, fmt.Sprint(crashBody, n)) })
				}
				time.Sleep(time.Until(started.Add(interval)))
			}
			calls.Wait()
			time.Sleep(pause)
			served := 0
			for n := range bodies {
				reply := fleet.send(fleet.address(n), fmt.Sprint("again-", n), path, fmt.Sprint("sound body ", n))
				if reply.Status == http.StatusOK {
					served++
					continue
				}
				t.Logf("body %d: status %d, %s", n, reply.Status, reply.Body)
			}
			if served != bodies {
				t.Errorf("got %d of %d sound requests served %v after the crashes, want all", served, bodies, pause)
			}
		})
	}
}
