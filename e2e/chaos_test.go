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

// faults brings about faults on a running fleet, one after the other and at
// times two together, until it is stopped.
type faults struct {
	fleet *fleettest.Fleet
	rand  *rand.Rand
	stop  chan struct{}
	ended chan struct{}
	seen  []string
}

func (faults *faults) run() {
	defer close(faults.ended)
	for {
		select {
		case <-faults.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		faults.injectSome()
	}
}

// injectSome brings about one fault, or two at different places together, and
// ends them again.
func (faults *faults) injectSome() {
	first := faults.choose()
	undoFirst := first.inject()
	undoSecond := func() {}
	if second := faults.choose(); second.target != first.target && faults.rand.IntN(3) == 0 {
		undoSecond = second.inject()
	}
	time.Sleep(time.Duration(200+faults.rand.IntN(600)) * time.Millisecond)
	undoSecond()
	undoFirst()
}

// fault is one fault. Its inject brings it about and returns what ends it.
type fault struct {
	name   string
	target any
	inject func() func()
}

// choose returns a fault that can be brought about.
func (faults *faults) choose() fault {
	fleet := faults.fleet
	engine := fleet.Engines[faults.rand.IntN(len(fleet.Engines))]
	service := fleet.Services[faults.rand.IntN(len(fleet.Services))]
	router := fleet.Routers[faults.rand.IntN(len(fleet.Routers))]
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
		{"platform out", fleet, func() func() { return faults.platform(`{"Outage":true}`, `{"Outage":false}`) }},
		{"platform slow", fleet, func() func() { return faults.platform(`{"SlowMs":400}`, `{"SlowMs":0}`) }},
		{"platform's answers lost", fleet, func() func() { return faults.platform(`{"LoseAnswers":5}`, `{}`) }},
	}
	chosen := all[faults.rand.IntN(len(all))]
	faults.seen = append(faults.seen, chosen.name)
	return chosen
}

// platform sets the switches of the stand-in platform and returns what sets
// them back.
func (faults *faults) platform(on, off string) func() {
	faults.fleet.Switch(on)
	return func() { faults.fleet.Switch(off) }
}

// TestPromisesUnderFaults sends chats and confirmations, many of them repeated,
// while faults come at any moment. It asserts only what must always hold.
func TestPromisesUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { promisesUnderFaults(t, seed) })
	}
}

func promisesUnderFaults(t *testing.T, seed uint64) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 3, Engines: 4, Services: 2, EngineArgs: []string{"--tokens-per-second", "300"}, ServiceArgs: []string{"--delay", "30ms"}})
	faults := &faults{fleet: fleet, rand: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{}), ended: make(chan struct{})}
	go faults.run()
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
	close(faults.stop)
	<-faults.ended
	if err != nil {
		t.Fatal(err)
	}
	encoded, _ := report.JSON()
	t.Logf("faults: %v\n%s", faults.seen, encoded)
	if !report.Sound() || !report.Confirmations.Checked {
		t.Errorf("got a broken promise, want none")
	}
}
