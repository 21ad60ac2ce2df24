package faulttest_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/load"
	"github.com/hickoryhead/hickoryhead/standin"
)

// leaveGracePeriod is the time after which a leaving upstream must receive no
// new requests.
const leaveGracePeriod = 3 * time.Second

// TestLeaving makes an upstream leave by a signal, by an operator's drain and by
// the list of VMs. In the first two cases the list is unavailable, so that the
// routers' view of it is stale. No request may fail, and after the grace period
// the upstream must receive no new ones.
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
			background := startBackgroundLoad(fleet, 6)
			pause()
			unit := fleet.Engines[0]
			test.leave(t, fleet, unit)
			time.Sleep(leaveGracePeriod)
			before := engineRequests(t, unit)
			time.Sleep(time.Second)
			if got, want := engineRequests(t, unit), before; got != want || got == 0 {
				t.Errorf("got %d requests at the leaving upstream, want %d, as a second before, and more than 0", got, want)
			}
			background.stopAndCheck(t)
		})
	}
}

// TestPlannedStop stops the sidecar of an engine gracefully under load. No
// request may fail.
func TestPlannedStop(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 2, Engines: 3, EngineArgs: []string{"--tokens-per-second", "400"}})
	background := startBackgroundLoad(fleet, 6)
	pause()
	unit := fleet.Engines[1]
	unit.Sidecar.Terminate()
	if err := unit.Sidecar.Wait(); err != nil {
		t.Errorf("got exit %v of the sidecar, want a clean stop", err)
	}
	background.stopAndCheck(t)
}

// TestPlannedStopOfAService stops the sidecar of a service gracefully while
// confirmations are in flight. Every one of them must be answered at the first
// try and run once.
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
	stop := &delayedStop{process: fleet.Services[0].Sidecar, ended: make(chan error, 1)}
	go stop.run()
	report, err := runner.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := <-stop.ended; err != nil {
		t.Errorf("got exit %v of the sidecar, want a clean stop", err)
	}
	if !report.Sound() || report.Whole != report.Requests {
		t.Errorf("got %+v, want every answer complete and correct at the first try", report)
	}
}

// delayedStop stops a process gracefully after the load has run for a second. It
// sends the exit error to ended.
type delayedStop struct {
	process *fleettest.Process
	ended   chan error
}

func (stop *delayedStop) run() {
	time.Sleep(time.Second)
	stop.process.Terminate()
	stop.ended <- stop.process.Wait()
}

// drain drains an upstream as an operator, through the first router.
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
		t.Fatalf("drain of %s: got status %d, want %d", unit.ID, got, want)
	}
}

// engineRequests returns the number of requests that an engine has received.
func engineRequests(t *testing.T, unit *fleettest.Unit) int64 {
	t.Helper()
	var counters standin.EngineCounters
	getJSON(t, "http://"+unit.Address+"/v1/counters", &counters)
	return counters.Requests
}
