package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/load"
)

// faultInjector injects random faults into a running fleet, one at a time or two
// together, until it is stopped. injected lists their names in order.
type faultInjector struct {
	fleet    *fleettest.Fleet
	rand     *rand.Rand
	stop     chan struct{}
	ended    chan struct{}
	injected []string
}

func (injector *faultInjector) run() {
	defer close(injector.ended)
	for {
		select {
		case <-injector.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		injector.injectSome()
	}
}

// injectSome injects one fault, or two with different targets together, and
// removes them after a random time.
func (injector *faultInjector) injectSome() {
	first := injector.choose()
	undoFirst := first.inject()
	undoSecond := func() {}
	if second := injector.choose(); second.target != first.target && injector.rand.IntN(3) == 0 {
		undoSecond = second.inject()
	}
	time.Sleep(time.Duration(200+injector.rand.IntN(600)) * time.Millisecond)
	undoSecond()
	undoFirst()
}

// fault is a fault that can be injected into its target. inject returns the
// function that removes the fault.
type fault struct {
	name   string
	target any
	inject func() func()
}

// choose returns a random fault with a random target.
func (injector *faultInjector) choose() fault {
	fleet := injector.fleet
	engine := fleet.Engines[injector.rand.IntN(len(fleet.Engines))]
	service := fleet.Services[injector.rand.IntN(len(fleet.Services))]
	router := fleet.Routers[injector.rand.IntN(len(fleet.Routers))]
	all := []fault{
		{"engine killed", engine, func() func() {
			engine.Upstream.Kill()
			return func() { fleet.StartUpstream(engine, true, engine.Address) }
		}},
		{"engine frozen", engine, func() func() {
			engine.Upstream.Freeze()
			return engine.Upstream.Resume
		}},
		{"engine's sidecar killed", engine, func() func() {
			engine.Sidecar.Kill()
			return func() { fleet.StartSidecar(engine, true) }
		}},
		{"engine's sidecar frozen", engine, func() func() {
			engine.Sidecar.Freeze()
			return engine.Sidecar.Resume
		}},
		{"service's sidecar killed", service, func() func() {
			service.Sidecar.Kill()
			return func() { fleet.StartSidecar(service, false) }
		}},
		{"service's sidecar frozen", service, func() func() {
			service.Sidecar.Freeze()
			return service.Sidecar.Resume
		}},
		{"router killed", router, func() func() {
			router.Process.Kill()
			return func() { fleet.StartRouter(router) }
		}},
		{"router frozen", router, func() func() {
			router.Process.Freeze()
			return router.Process.Resume
		}},
		{"platform out", fleet, func() func() { return injector.platform(`{"Outage":true}`, `{"Outage":false}`) }},
		{"platform slow", fleet, func() func() { return injector.platform(`{"SlowMs":400}`, `{"SlowMs":0}`) }},
		{"platform's answers lost", fleet, func() func() { return injector.platform(`{"LoseAnswers":5}`, `{}`) }},
	}
	chosen := all[injector.rand.IntN(len(all))]
	injector.injected = append(injector.injected, chosen.name)
	return chosen
}

// platform sets switches of the stand-in for the platform and returns the
// function that resets them.
func (injector *faultInjector) platform(on, off string) func() {
	injector.fleet.Switch(on)
	return func() { injector.fleet.Switch(off) }
}

// TestPromisesUnderFaults sends prompts and confirmations, many of them repeated,
// while random faults are injected. Requests may fail, so it checks only what
// must always hold: no wrong answers, and no confirmation that runs twice or has
// an outcome that contradicts its runs.
func TestPromisesUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { promisesUnderFaults(t, seed) })
	}
}

func promisesUnderFaults(t *testing.T, seed uint64) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 3, Engines: 4, Services: 2, EngineArgs: []string{"--tokens-per-second", "300"}, ServiceArgs: []string{"--delay", "30ms"}})
	injector := &faultInjector{fleet: fleet, rand: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{}), ended: make(chan struct{})}
	go injector.run()
	runner := &load.Runner{
		Workload: load.Workload{
			Seed:              seed,
			Requests:          1000,
			RequestsPerSecond: 100,
			Chats:             100,
			Workspaces:        []load.Workspace{{ID: fleettest.Workspace, Share: 1}, {ID: "store-13", Share: 1}},
			WholeShare:        0.3,
			ConfirmShare:      0.3,
			RepeatShare:       0.4,
		},
		Team:         fleettest.Team,
		ModelRoute:   "draft",
		ConfirmRoute: "confirm",
		StatusRoute:  "order-status",
		Retries:      4,
	}
	for _, entry := range fleet.Routers {
		runner.Routers = append(runner.Routers, entry.Callers)
	}
	for _, unit := range fleet.Services {
		runner.Services = append(runner.Services, unit.Address)
	}
	report, err := runner.Run(context.Background())
	close(injector.stop)
	<-injector.ended
	if err != nil {
		t.Fatal(err)
	}
	encoded, _ := report.JSON()
	t.Logf("faults: %v\n%s", injector.injected, encoded)
	if !report.Sound() || !report.Confirmations.Checked {
		t.Errorf("got wrong answers, or confirmations that contradict their runs or were not checked, want none")
	}
}
