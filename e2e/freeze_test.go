package e2e_test

import (
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// TestFrozenInTheMiddleOfAnAnswer freezes an engine or a sidecar during an
// answer. It guards against answers that hang: another upstream must continue
// the answer after the text that was already sent.
func TestFrozenInTheMiddleOfAnAnswer(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Engines: 2, EngineArgs: []string{"--tokens-per-second", "100"}})
	freeze := map[string]func(unit *fleettest.Unit) *fleettest.Process{
		"engine":  func(unit *fleettest.Unit) *fleettest.Process { return unit.Upstream },
		"sidecar": func(unit *fleettest.Unit) *fleettest.Process { return unit.Sidecar },
	}
	for name, process := range freeze {
		t.Run(name, func(t *testing.T) { freezeDuringAnswer(t, fleet, process) })
	}
}

// freezeDuringAnswer freezes a process of the unit that runs a request and checks
// that the answer is complete.
func freezeDuringAnswer(t *testing.T, fleet *fleettest.Fleet, process func(unit *fleettest.Unit) *fleettest.Process) {
	response, err := fleettest.Open(fleet.Routers[0], fleettest.Request{Route: "draft", Body: prompt, Events: true})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	for _, unit := range fleet.Engines {
		if strings.HasPrefix(response.Header.Get("Hickoryhead-Answer"), string(unit.ID)+"~") {
			process(unit).Freeze()
			defer process(unit).Resume()
		}
	}
	text, last := readEvents(t, response)
	if got, want := text, completeText(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := last.Name, "end"; got != want {
		t.Errorf("last event: got %q with data %s, want %q", got, last.Data, want)
	}
}
