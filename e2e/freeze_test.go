package e2e_test

import (
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// TestFrozenInTheMiddleOfAnAnswer freezes an engine, and then a sidecar, while
// it gives an answer. The answer goes on elsewhere from what was already sent.
func TestFrozenInTheMiddleOfAnAnswer(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Engines: 2, EngineArgs: []string{"--tokens-per-second", "100"}})
	freeze := map[string]func(unit *fleettest.Unit) *fleettest.Process{
		"engine":  func(unit *fleettest.Unit) *fleettest.Process { return unit.Upstream },
		"sidecar": func(unit *fleettest.Unit) *fleettest.Process { return unit.Sidecar },
	}
	for name, process := range freeze {
		t.Run(name, func(t *testing.T) { frozen(t, fleet, process) })
	}
}

func frozen(t *testing.T, fleet *fleettest.Fleet, process func(unit *fleettest.Unit) *fleettest.Process) {
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
	if got, want := text, wholeText(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := last.Name, "end"; got != want {
		t.Errorf("last event: got %q %s, want %q", got, last.Data, want)
	}
}
