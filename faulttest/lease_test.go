package faulttest_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/lease"
	"github.com/hickoryhead/hickoryhead/placement"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// resumedDuration is the time for which the resumed holder runs. A holder issues
// orders several times within it.
const resumedDuration = 4 * time.Second

// TestPausedLeaseHolder freezes the router that holds the placement lease until
// another router has acquired it, requests a change of placement, and resumes
// the first router. It guards against orders of a holder whose lease has expired:
// only the second holder's orders may reach an engine, although the engines
// themselves don't check the fencing numbers.
func TestPausedLeaseHolder(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 2, Engines: 2, EngineArgs: []string{"--model", string(fleettest.Model)}})
	waitFor(t, "a first lease holder", func() bool { return leaseRecord(t, fleet).Fence > 0 })
	first := leaseRecord(t, fleet)
	holder := routerOf(t, fleet, first)
	holder.Process.Freeze()
	waitFor(t, "a second lease holder", func() bool { return leaseRecord(t, fleet).Fence > first.Fence })
	requestMove(t, fleet)
	waitFor(t, "an order at an engine", func() bool { return len(ordersOf(t, fleet)) > 0 })
	holder.Process.Resume()
	time.Sleep(resumedDuration)
	for _, order := range ordersOf(t, fleet) {
		if got, least := order.Fence, first.Fence+1; got < least {
			t.Errorf("got an order with fencing number %d, want at least %d", got, least)
		}
	}
}

// leaseRecord returns the row of the placement lease.
func leaseRecord(t *testing.T, fleet *fleettest.Fleet) lease.Record {
	t.Helper()
	rows, err := fleet.Platform.Read(t.Context(), placement.LeaseName.Row())
	if err != nil {
		t.Fatal(err)
	}
	var record lease.Record
	if len(rows) == 0 {
		return record
	}
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		t.Fatal(err)
	}
	return record
}

// routerOf returns the router that holds the lease.
func routerOf(t *testing.T, fleet *fleettest.Fleet, record lease.Record) *fleettest.Router {
	t.Helper()
	for _, entry := range fleet.Routers {
		if entry.VM.ID == record.Holder {
			return entry
		}
	}
	t.Fatalf("lease holder %q is not a router of the fleet", record.Holder)
	return nil
}

// requestMove stores settings under which one engine has to load another model.
func requestMove(t *testing.T, fleet *fleettest.Fleet) {
	t.Helper()
	store := settingstable.Store{Client: fleet.Platform}
	values := map[settings.Path]json.RawMessage{
		settings.Path("/Teams/" + string(fleettest.Team) + "/Placements/tagging"): json.RawMessage(`{"Model":"tagging-1b@1","Replicas":1}`),
	}
	change := settings.Change{ID: "move", Team: fleettest.Team, Base: 1, Author: "test", Reason: "a second model", Values: values}
	if _, err := store.Accept(t.Context(), change); err != nil {
		t.Fatal(err)
	}
}

// ordersOf returns the orders that the engines have received.
func ordersOf(t *testing.T, fleet *fleettest.Fleet) []upstream.Order {
	t.Helper()
	var all []upstream.Order
	for _, unit := range fleet.Engines {
		var orders []upstream.Order
		getJSON(t, "http://"+unit.Address+"/v1/orders", &orders)
		all = append(all, orders...)
	}
	return all
}
