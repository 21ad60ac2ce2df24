package faulttest_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// TestRetriesDoNotMultiplyLoad breaks the connections of all engines after the
// first 200 bytes of an answer. It guards against retries that multiply the load
// during an outage: the tries must stay within the routers' retry budget.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	const requests = 400
	fleet := fleettest.Start(t, fleettest.Options{Engines: 4, EngineArgs: []string{"--tokens-per-second", "0"}})
	for _, unit := range fleet.Engines {
		relay := startRelay(t, unit.Address)
		relay.bytesPerConnection = 200
		unit.Sidecar.Kill()
		direct := unit.Address
		unit.Address = relay.address()
		fleet.StartSidecar(unit, true)
		unit.Address = direct
	}
	for number := range requests {
		request, want := draft(number, 40)
		reply, err := fleettest.Send(fleet.Routers[0], request)
		if err != nil {
			t.Fatal(err)
		}
		checkCompleteOrError(t, reply, want)
	}
	var tries int64
	for _, unit := range fleet.Engines {
		tries += engineRequests(t, unit)
	}
	t.Logf("%d requests, %d tries at the engines", requests, tries)
	if most := int64(requests + requests/4); tries < requests || tries > most {
		t.Errorf("got %d tries for %d requests, want at most %d", tries, requests, most)
	}
}
