package faulttest_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/load"
	"github.com/hickoryhead/hickoryhead/standin"
)

// graceOfLeaving is the time after which a leaving upstream has no new work.
const graceOfLeaving = 3 * time.Second

// TestLeaving tells an upstream to leave in each of three ways while every
// router's view of the list is stale. No request fails, and after the grace the
// upstream takes no new one.
func TestLeaving(t *testing.T) {
	tests := []struct {
		name  string
		leave func(t *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit)
	}{
		{"by a signal", func(_ *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit) {
			fleet.Switch(`{"ListOutage":true}`)
			unit.Sidecar.Terminate()
		}},
		{"by an operator", func(t *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit) {
			fleet.Switch(`{"ListOutage":true}`)
			drain(t, fleet, unit)
		}},
		{"by the list", func(_ *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit) {
			unit.VM.Leaving = true
			fleet.PutVM(unit.VM)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fleet := fleettest.Start(t, fleettest.Options{Routers: 2, Engines: 3, EngineArgs: []string{"--tokens-per-second", "400"}})
			innocents := startInnocents(fleet, 6)
			pause()
			unit := fleet.Engines[0]
			test.leave(t, fleet, unit)
			time.Sleep(graceOfLeaving)
			before := taken(t, unit)
			time.Sleep(time.Second)
			if got, want := taken(t, unit), before; got != want || got == 0 {
				t.Errorf("got %d requests at the leaving upstream, want %d as before and some", got, want)
			}
			innocents.end(t)
		})
	}
}

// TestPlannedStop stops one daemon of each kind under load. No request fails.
func TestPlannedStop(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 2, Engines: 3, EngineArgs: []string{"--tokens-per-second", "400"}})
	innocents := startInnocents(fleet, 6)
	pause()
	unit := fleet.Engines[1]
	unit.Sidecar.Terminate()
	if err := unit.Sidecar.Wait(); err != nil {
		t.Errorf("got exit %v of the sidecar, want a clean stop", err)
	}
	innocents.end(t)
}

// TestPlannedStopOfAService stops the sidecar of a service with confirmations in
// flight. Every one of them is answered at the first try and ran once.
func TestPlannedStopOfAService(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Services: 2, ServiceArgs: []string{"--delay", "20ms"}})
	runner := &load.Runner{
		Workload: load.Workload{
			Seed:              3,
			Requests:          200,
			RequestsPerSecond: 100,
			Workspaces:        []load.Workspace{{ID: fleettest.Workspace, Share: 1}},
			ConfirmShare:      0.8,
			StatusShare:       0.2,
		},
		Routers:      []string{fleet.Routers[0].Callers},
		Services:     []string{fleet.Services[0].Address, fleet.Services[1].Address},
		Team:         fleettest.Team,
		ModelRoute:   "draft",
		ConfirmRoute: "confirm",
		StatusRoute:  "order-status",
	}
	stop := &lateStop{process: fleet.Services[0].Sidecar, ended: make(chan error, 1)}
	go stop.run()
	report, err := runner.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := <-stop.ended; err != nil {
		t.Errorf("got exit %v of the sidecar, want a clean stop", err)
	}
	if !report.Sound() || report.Whole != report.Requests {
		t.Errorf("got %+v, want every answer whole at the first try", report)
	}
}

// lateStop stops a process gracefully once the load has run for a while.
type lateStop struct {
	process *fleettest.Process
	ended   chan error
}

func (stop *lateStop) run() {
	time.Sleep(time.Second)
	stop.process.Terminate()
	stop.ended <- stop.process.Wait()
}

func drain(t *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit) {
	t.Helper()
	url := "http://" + fleet.Routers[0].Operators + "/v1/drain/" + string(unit.ID) + "?Team=" + string(fleettest.Team)
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleettest.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got, want := response.StatusCode, http.StatusOK; got != want {
		t.Fatalf("got status %d, want %d", got, want)
	}
}

// taken returns the number of requests that an engine took on.
func taken(t *testing.T, unit *fleettest.Unit) int64 {
	t.Helper()
	var counters standin.EngineCounters
	getJSON(t, "http://"+unit.Address+"/v1/counters", &counters)
	return counters.Requests
}
