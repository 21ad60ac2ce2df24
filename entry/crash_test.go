package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// crashBody is the body of the request that crashes each upstream that
	// begins to run it.
	crashBody = "crash this upstream"
	// crashRetries is how many times the request is sent, and crashRetryInterval
	// the time between two of them.
	crashRetries       = 24
	crashRetryInterval = 350 * time.Millisecond
	// restartTime is how long a crashed upstream is away.
	restartTime = time.Second
)

// crashFleet is a store, upstreams that a request may crash, and routers.
type crashFleet struct {
	t      *testing.T
	store  *standin.Platform
	server *httptest.Server
	// silent makes a crashing upstream keep its connections open.
	silent bool
	// restartAfter is how long a crashed upstream is away, and sameID is set if it comes
	// back under its ID.
	restartAfter time.Duration
	sameID       bool
	// crashAttempt reports whether an attempt crashes its upstream; nil means that none
	// does by itself.
	crashAttempt func(attempt ident.AttemptID) bool
	// rowExpiry is how long the row of a crashed upstream stays.
	rowExpiry time.Duration
	// wait is how long callers wait for an answer.
	wait ident.Milliseconds
	// crashPart reports whether a part of a prompt crashes upstreams.
	crashPart func(part string) bool
	// software returns the software version of the nth upstream; nil means v1.
	software func(n int) ident.SoftwareVersion
	// onRun, if set, is called when an upstream begins to run an attempt.
	onRun func(runner *standin.Runner, attempt ident.AttemptID)
	// cold is how upstreams are cold, unless nil.
	cold *quota.ColdRule
	// runTime is how much longer than usual a run takes.
	runTime time.Duration
	routers []*fixture

	mu      sync.Mutex
	crashes []time.Time
	// runs holds when each upstream began to run its requests.
	runs    map[ident.UpstreamID][]time.Time
	runners []*standin.Runner
	started int
	// upstreams is how many upstreams the fleet began with, and replaced how many have
	// return under a new ID.
	upstreams int
	replaced  int
	lives     []lifetime
	// beganAt is when the fleet was started, and ran holds when each attempt began to run.
	beganAt time.Time
	ran     map[string][]time.Time
	servers []*http.Server
	// callers holds the addresses at which the routers listen for callers.
	callers []string
}

// newCrashFleet starts upstreams and routers, the last one in another zone.
func newCrashFleet(t *testing.T, upstreams, routers int) *crashFleet {
	t.Helper()
	fleet := &crashFleet{t: t, store: new(standin.Platform), rowExpiry: standin.RunnerExpiry, restartAfter: restartTime, wait: 2500}
	fleet.start(upstreams, routers)
	return fleet
}

// start starts the upstreams and routers of a fleet whose settings are made, the
// last router in another zone.
func (fleet *crashFleet) start(upstreams, routers int) {
	t := fleet.t
	t.Helper()
	fleet.beganAt = time.Now()
	fleet.upstreams = upstreams
	fleet.server = httptest.NewServer(fleet.store)
	t.Cleanup(fleet.server.Close)
	t.Cleanup(fleet.closeServers)
	fleet.writeConfig()
	for n := range upstreams {
		fleet.startUpstream(newUpstreamID(n + 1))
	}
	for i := range routers {
		zone := ident.Zone("a")
		if i == routers-1 {
			zone = "b"
		}
		fleet.startRouter(zone)
	}
	for _, router := range fleet.routers {
		router.waitFor(3*time.Second, "readiness", router.ready)
	}
}

// writeConfig writes a configuration with a route of each kind.
func (fleet *crashFleet) writeConfig() {
	shares := []routing.Share{{Service: "pool", Weight: 1}}
	service := routing.Service{Name: "pool", MaxConnections: 400}
	if fleet.cold != nil {
		service.ColdStart, service.ColdPerSecond = fleet.cold.Start, fleet.cold.PerSecond
	}
	value, err := platform.EncodeConfig(routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: routing.NonIdempotent, Timeout: 2000, Target: 300, MaxAttempts: 1, Shares: shares},
			{Name: "again", Host: "a.example", Prefix: "/again/", Kind: routing.Idempotent, Timeout: 2000, Target: 300, MaxAttempts: 2, Shares: shares},
			{Name: "stream", Host: "a.example", Prefix: "/stream/", Kind: routing.Stream, Timeout: 2000, Target: 300, MaxAttempts: 1, Sticky: true, Shares: shares},
			{Name: "resume", Host: "a.example", Prefix: "/resume/", Kind: routing.Stream, Resumable: true, Timeout: 2000, Target: 300, MaxAttempts: 2, Sticky: true, Shares: shares},
		},
		Services:   []routing.Service{service},
		Workspaces: []routing.Workspace{{ID: "t", Keys: []string{"key-1"}}},
		Limits:     routing.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3000, IdleTimeout: 15000},
	})
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value})
}

func (fleet *crashFleet) closeServers() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, server := range fleet.servers {
		_ = server.Close()
	}
}

// startRouter starts a router in a zone.
func (fleet *crashFleet) startRouter(zone ident.Zone) *fixture {
	router := &fixture{t: fleet.t, store: fleet.store, storeAddress: strings.TrimPrefix(fleet.server.URL, "http://")}
	router.config.VM = ident.VMID(fmt.Sprint("vm-", len(fleet.routers)+1))
	router.config.Zone = zone
	router.config.Platform = router.storeAddress
	router.config.CallerListen, router.config.ReadyListen, router.config.PeerListen = anyPort, anyPort, anyPort
	router.config.StopTimeoutMs, router.config.LoadMultiple, router.config.RetryShare, router.config.RetrySlack = 1000, 2, 0.2, 20
	if fleet.cold != nil {
		router.config.ColdOverage, router.config.ColdSlack = fleet.cold.Overage, fleet.cold.Slack
	}
	fleet.routers = append(fleet.routers, router)
	fleet.run(len(fleet.routers) - 1)
	return router
}

// run runs the router with the given number.
func (fleet *crashFleet) run(number int) {
	router := fleet.routers[number]
	router.start()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if number == len(fleet.callers) {
		fleet.callers = append(fleet.callers, "")
	}
	fleet.callers[number] = router.addresses.Callers
}

// address returns where one of the routers listens for callers, in turn.
func (fleet *crashFleet) address(n int) string {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.callers[n%len(fleet.callers)]
}

// restartRouters ends all routers and starts them again.
func (fleet *crashFleet) restartRouters() {
	for _, router := range fleet.routers {
		router.cancel()
	}
	for number, router := range fleet.routers {
		<-router.done
		fleet.run(number)
	}
	for _, router := range fleet.routers {
		router.waitFor(3*time.Second, "readiness", router.ready)
	}
}

// send sends a request with body, and a prompt of the given parts if there are any,
// to the router at address.
func (fleet *crashFleet) send(address, attempt, path, body string, parts ...string) standin.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call := &standin.Call{
		Method: http.MethodPost, Router: address, Host: "a.example", Path: path, Body: body,
		Head: platform.RequestHead{Attempt: ident.AttemptID(attempt), Wait: fleet.wait, APIKey: "key-1"},
	}
	for _, part := range parts {
		call.Head.Prompt = append(call.Head.Prompt, platform.PromptPart{ID: part, Tokens: 100})
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return call.Send(ctx, &http.Client{Transport: transport})
}

// soundCaller sends sound requests of the same caller and path as the crashing
// one until stop is closed, each until it is served.
type soundCaller struct {
	fleet  *crashFleet
	path   string
	stop   chan struct{}
	done   chan struct{}
	served int
	failed []string
}

func (caller *soundCaller) run() {
	defer close(caller.done)
	const maxTime = 3 * time.Second
	for n := 0; ; n++ {
		select {
		case <-caller.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		last := standin.Reply{}
		until := time.Now().Add(maxTime)
		for try := 0; last.Status != http.StatusOK && time.Now().Before(until); try++ {
			attempt := fmt.Sprintf("sound-%d-%d", n, try)
			last = caller.fleet.send(caller.fleet.address(n+try), attempt, caller.path, fmt.Sprint("sound ", n))
			if last.Status != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if last.Status != http.StatusOK {
			caller.failed = append(caller.failed, fmt.Sprintf("sound-%d: status %d, %v, %s", n, last.Status, last.Err, last.Body))
			continue
		}
		caller.served++
	}
}

// crashCall is one attempt of the crashing request.
type crashCall struct {
	fleet   *crashFleet
	address string
	attempt string
	path    string
}

func (call *crashCall) run() { call.fleet.send(call.address, call.attempt, call.path, crashBody) }

// play sends the crashing request crashRetries times to the routers in turn,
// with sound requests beside it. afterThird is called once, after the third
// crash; nil means nothing.
func (fleet *crashFleet) play(path string, afterThird func()) *soundCaller {
	sound := &soundCaller{fleet: fleet, path: path, stop: make(chan struct{}), done: make(chan struct{})}
	go sound.run()
	for n := range crashRetries {
		started := time.Now()
		call := &crashCall{fleet: fleet, address: fleet.address(n), attempt: fmt.Sprint("crash-", n), path: path}
		go call.run()
		time.Sleep(time.Until(started.Add(crashRetryInterval)))
		if len(fleet.crashTimes()) >= standin.MaxCrashes && afterThird != nil {
			afterThird()
			afterThird = nil
		}
	}
	close(sound.stop)
	<-sound.done
	return sound
}

// check fails the test if upstreams crashed too often, if sound requests were
// not served, or if the crashing request is not refused as not run.
func (fleet *crashFleet) check(path string, sound *soundCaller) {
	fleet.t.Helper()
	crashes := fleet.crashTimes()
	if len(crashes) < standin.MaxCrashes {
		fleet.t.Fatalf("got %d crashes, want at least %d", len(crashes), standin.MaxCrashes)
	}
	late := 0
	for _, crash := range crashes[standin.MaxCrashes:] {
		if crash.After(crashes[standin.MaxCrashes-1].Add(standin.ContactTime)) {
			late++
		}
	}
	if late > standin.MaxLateRuns {
		fleet.t.Errorf("got %d crashes, %d of them later than %v after the third, want at most %d", len(crashes), late, standin.ContactTime, standin.MaxLateRuns)
	}
	if len(sound.failed) > 0 || sound.served == 0 {
		fleet.t.Errorf("got %d sound requests served and failures %v, want all served", sound.served, sound.failed)
	}
	before := len(fleet.crashTimes())
	for i := range fleet.routers {
		started := time.Now()
		reply := fleet.send(fleet.address(i), fmt.Sprint("last-", i), path, crashBody)
		if reply.Status != http.StatusTooManyRequests || time.Since(started) > time.Second {
			fleet.t.Errorf("got status %d (%v) after %v from router %d, want 429 at once", reply.Status, reply.Err, time.Since(started), i)
		}
	}
	if got := len(fleet.crashTimes()); got != before {
		fleet.t.Errorf("got %d crashes by refused requests, want none", got-before)
	}
	fleet.t.Logf("%d crashes, %d of them late; %d sound requests served", len(crashes), late, sound.served)
}

// TestRequestKeepsCrashingUpstreams guards against a request that crashes every
// upstream that runs it and comes again and again.
func TestRequestKeepsCrashingUpstreams(t *testing.T) {
	tests := []struct {
		name string
		path string
		play func(fleet *crashFleet) *soundCaller
	}{
		{"not idempotent", "/once/x", func(fleet *crashFleet) *soundCaller { return fleet.play("/once/x", nil) }},
		{"idempotent", "/again/x", func(fleet *crashFleet) *soundCaller { return fleet.play("/again/x", nil) }},
		{"silent crash", "/once/x", func(fleet *crashFleet) *soundCaller {
			fleet.silent = true
			return fleet.play("/once/x", nil)
		}},
		{"silent crash, rows that stay and callers that leave", "/once/x", func(fleet *crashFleet) *soundCaller {
			fleet.silent = true
			fleet.rowExpiry = 3600 * time.Millisecond
			fleet.wait = 1000
			return fleet.play("/once/x", nil)
		}},
		{"router started after the third crash", "/again/x", func(fleet *crashFleet) *soundCaller {
			return fleet.play("/again/x", func() {
				router := fleet.startRouter("c")
				router.waitFor(3*time.Second, "readiness", router.ready)
			})
		}},
		{"all routers restarted after the third crash", "/once/x", func(fleet *crashFleet) *soundCaller {
			return fleet.play("/once/x", fleet.restartRouters)
		}},
		{"store down from the first crash on", "/once/x", func(fleet *crashFleet) *soundCaller {
			time.AfterFunc(crashRetryInterval/2, func() { fleet.store.Switch(standin.PlatformSwitches{Outage: true}) })
			return fleet.play("/once/x", nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCrashFleet(t, 8, 3)
			fleet.check(test.path, test.play(fleet))
		})
	}
}
