package faulttest_test

import (
	"net/http"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// startOrders starts a fleet with two routers and services whose calls take 400
// ms, so that faults can be injected while a call runs.
func startOrders(t *testing.T, services int) *fleettest.Fleet {
	t.Helper()
	return fleettest.Start(t, fleettest.Options{
		Routers:     2,
		Services:    services,
		ServiceArgs: []string{"--delay", "400ms"},
		Values: map[settings.Path]string{
			settings.Path("/Teams/" + fleettest.Team + "/Routes/confirm"): `{"Service":"orders","Operation":"confirm","TimeoutMs":3000}`,
		},
	})
}

// TestAtMostOnce injects faults of the claim table, a service and a router around
// a confirmation. The confirmation must never run twice, the outcome Done may be
// reported only if it ran, and NotRun only if it did not.
func TestAtMostOnce(t *testing.T) {
	fleet := startOrders(t, 2)
	tests := []struct {
		name string
		run  func(t *testing.T, confirmation *confirmation)
	}{
		{"the claim's answer is lost", claimAnswerLost},
		{"the table is down before the claim", tableDownBefore},
		{"the table is slower than the commit's timeout", tableSlow},
		{"the table is down while the request runs", tableDownDuring},
		{"the service's answer is lost", serviceAnswerLost},
		{"a router is killed after forwarding", routerKilled},
		{"two routers at once", twoRouters},
		{"another body", otherBody},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			confirmation := newConfirmation(t, fleet)
			test.run(t, confirmation)
			if got := confirmation.runs(); got > 1 {
				t.Errorf("got %d runs, want at most 1", got)
			}
		})
	}
}

func claimAnswerLost(_ *testing.T, confirmation *confirmation) {
	confirmation.fleet.Switch(`{"LoseAnswers":1}`)
	confirmation.wantOutcome(confirmation.send(0), result.Done)
	confirmation.wantRuns(1)
}

func tableDownBefore(_ *testing.T, confirmation *confirmation) {
	confirmation.fleet.Switch(`{"Outage":true}`)
	refused := confirmation.send(0)
	confirmation.wantOutcome(refused, result.NotRun)
	if refused.Problem.RetryAfterMs == 0 {
		confirmation.t.Error("got no retry-after time, want one")
	}
	confirmation.wantRuns(0)
	confirmation.fleet.Switch(`{"Outage":false}`)
	confirmation.repeat(1)
	confirmation.wantRuns(1)
}

// The claim is written after the commit has timed out at the sidecar. It must
// neither make the confirmation run then nor block the key.
func tableSlow(_ *testing.T, confirmation *confirmation) {
	confirmation.fleet.Switch(`{"SlowMs":4000}`)
	refused := confirmation.send(0)
	confirmation.wantOutcome(refused, result.NotRun)
	confirmation.wantRuns(0)
	confirmation.fleet.Switch(`{"SlowMs":0}`)
	waitFor(confirmation.t, "the late claim", confirmation.claimed)
	pause()
	confirmation.wantRuns(0)
	confirmation.repeat(1)
	confirmation.wantRuns(1)
}

func tableDownDuring(_ *testing.T, confirmation *confirmation) {
	pending := confirmation.start(0)
	confirmation.waitForRun()
	confirmation.fleet.Switch(`{"Outage":true}`)
	first := pending.wait()
	confirmation.wantOutcome(first, result.Done)
	confirmation.send(1)
	confirmation.fleet.Switch(`{"Outage":false}`)
	again := confirmation.repeat(1)
	if got, want := again.Body, first.Body; got != want {
		confirmation.t.Errorf("got answer %q, want the recorded %q", got, want)
	}
	confirmation.wantRuns(1)
}

func serviceAnswerLost(t *testing.T, confirmation *confirmation) {
	for _, unit := range confirmation.fleet.Services {
		switchService(t, unit, `{"LoseAnswers":1}`)
		defer switchService(t, unit, `{"LoseAnswers":0}`)
	}
	for router := range confirmation.fleet.Routers {
		confirmation.wantOutcome(confirmation.send(router), result.Unknown)
	}
	confirmation.wantRuns(1)
}

func routerKilled(_ *testing.T, confirmation *confirmation) {
	pending := confirmation.start(0)
	confirmation.waitForRun()
	router := confirmation.fleet.Routers[0]
	router.Process.Kill()
	confirmation.wantOutcome(pending.wait(), result.Unknown)
	confirmation.repeat(1)
	confirmation.wantRuns(1)
	confirmation.fleet.StartRouter(router)
}

func twoRouters(t *testing.T, confirmation *confirmation) {
	var pendingSends []*pendingSend
	for i := range 10 {
		pendingSends = append(pendingSends, confirmation.start(i%2))
	}
	answers := make(map[string]bool)
	for _, pending := range pendingSends {
		reply := pending.wait()
		switch outcome(reply) {
		case result.Done:
			answers[reply.Body] = true
		case result.Running, result.Unknown:
		case result.NotRun:
			if !reply.Problem.Number.RetryOnAnother() {
				t.Errorf("got %s, want a refusal before any claim", reply.Problem.Name)
			}
		default:
			t.Errorf("got outcome %s, want Done, Running, Unknown or NotRun", outcome(reply))
		}
	}
	answers[confirmation.repeat(0).Body] = true
	if got, want := len(answers), 1; got != want {
		t.Errorf("got %d different answers to the same key, want %d", got, want)
	}
	confirmation.wantRuns(1)
}

func otherBody(t *testing.T, confirmation *confirmation) {
	confirmation.wantOutcome(confirmation.send(0), result.Done)
	request := confirmation.request()
	request.Body = `{"Headers":41}`
	reply, err := fleettest.Send(confirmation.fleet.Routers[1], request)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := reply.Problem.Number, result.KeyReused; got != want {
		t.Errorf("got %s, want %s", got.Name(), want.Name())
	}
	confirmation.wantRuns(1)
}

// TestSidecarKilled kills the only sidecar of the service before and after it
// forwards a confirmation. The restarted sidecar can't know whether the
// confirmation ran, so its outcome must be Unknown and it must not run again.
func TestSidecarKilled(t *testing.T) {
	fleet := startOrders(t, 1)
	unit := fleet.Services[0]
	t.Run("before forwarding", func(t *testing.T) {
		confirmation := newConfirmation(t, fleet)
		fleet.Switch(`{"SlowMs":1500}`)
		pending := confirmation.start(0)
		pause()
		unit.Sidecar.Kill()
		if got := outcome(pending.wait()); got == result.Done {
			t.Errorf("got outcome %s, want another one, since the confirmation did not run", got)
		}
		fleet.Switch(`{"SlowMs":0}`)
		restart(t, fleet, unit)
		waitFor(t, "the late claim", confirmation.claimed)
		confirmation.wantOutcome(confirmation.send(1), result.Unknown)
		confirmation.wantRuns(0)
	})
	t.Run("after forwarding", func(t *testing.T) {
		confirmation := newConfirmation(t, fleet)
		pending := confirmation.start(0)
		confirmation.waitForRun()
		unit.Sidecar.Kill()
		confirmation.wantOutcome(pending.wait(), result.Unknown)
		restart(t, fleet, unit)
		confirmation.wantOutcome(confirmation.send(1), result.Unknown)
		confirmation.wantRuns(1)
	})
}

// restart restarts a killed sidecar and waits until it is ready.
func restart(t *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit) {
	t.Helper()
	fleet.StartSidecar(unit, false)
	waitFor(t, "the sidecar to be ready", func() bool {
		response, err := http.Get("http://" + unit.Hop + "/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// TestSidecarFrozen freezes the sidecar that holds the claim until all deadlines
// have expired, while the caller retries through another router and another
// sidecar, and then resumes it. The confirmation must not run twice, neither at
// the other sidecar nor when the frozen one continues.
func TestSidecarFrozen(t *testing.T) {
	fleet := startOrders(t, 2)
	tests := []struct {
		name string
		// slow delays the claim, so that the sidecar is frozen before the
		// answer to its commit arrives.
		slow string
		runs int
	}{
		{"before its claim is confirmed", `{"SlowMs":1000}`, 0},
		{"while the request runs", `{"SlowMs":0}`, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			confirmation := newConfirmation(t, fleet)
			fleet.Switch(test.slow)
			pending := confirmation.start(0)
			if test.runs == 0 {
				pause()
			} else {
				confirmation.waitForRun()
			}
			for _, unit := range fleet.Services {
				unit.Sidecar.Freeze()
			}
			fleet.Switch(`{"SlowMs":0}`)
			waitFor(t, "the claim", confirmation.claimed)
			for _, unit := range fleet.Services {
				if unit.VM.PeerAddress != confirmation.holder() {
					unit.Sidecar.Resume()
				}
			}
			for range 2 {
				confirmation.wantOutcome(confirmation.send(1), result.Unknown)
			}
			confirmation.wantOutcome(pending.wait(), result.Unknown)
			confirmation.wantRuns(test.runs)
			for _, unit := range fleet.Services {
				unit.Sidecar.Resume()
			}
			confirmation.repeat(1)
			confirmation.wantRuns(1)
		})
	}
}
