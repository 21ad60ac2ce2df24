package faulttest_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// TestRetriesDoNotMultiplyLoad lets every engine's answers be cut after their
// first bytes. The further tries stay within the budget of the routers.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	const requests = 400
	fleet := fleettest.Start(t, fleettest.Options{Engines: 4, EngineArgs: []string{"--tokens-per-second", "0"}})
	for _, unit := range fleet.Engines {
		relay := startRelay(t, unit.Address)
		relay.each = 200
		unit.Sidecar.Kill()
		direct := unit.Address
		unit.Address = relay.address()
		fleet.StartSidecar(unit, true)
		unit.Address = direct
	}
	for number := range requests {
		request, want := draft(number, 40)
		reply, err := fleettest.Ask(fleet.Routers[0], request)
		if err != nil {
			t.Fatal(err)
		}
		wantWholeOrError(t, reply, want)
	}
	var offered int64
	for _, unit := range fleet.Engines {
		offered += taken(t, unit)
	}
	t.Logf("%d requests, %d tries at the engines", requests, offered)
	if most := int64(requests + requests/4); offered < requests || offered > most {
		t.Errorf("got %d tries for %d requests, want at most %d", offered, requests, most)
	}
}
