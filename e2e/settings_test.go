package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/settings"
)

// operators changes settings at the routers of a fleet of processes.
type operators struct {
	t     *testing.T
	fleet *fleettest.Fleet
}

// change has a change accepted at a router and returns its revision.
func (operators *operators) change(entry *fleettest.Entry, weight int) ident.Revision {
	operators.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := &operator.Client{Server: entry.Operators, Team: fleettest.Team, Token: fleettest.Token}
	list, err := client.ListAccepted(ctx)
	if err != nil {
		operators.t.Fatal(err)
	}
	path := settings.Path("/Teams/" + string(fleettest.Team) + "/Workspaces/store-13")
	accepted, err := client.Apply(ctx, list.Revision, map[settings.Path]json.RawMessage{path: json.RawMessage(fmt.Sprintf(`{"Weight":%d}`, weight))})
	if err != nil {
		operators.t.Fatal(err)
	}
	return accepted.Revision
}

func (operators *operators) revision(entry *fleettest.Entry) ident.Revision {
	status, err := operators.fleet.Status(entry)
	if err != nil {
		return 0
	}
	return status.Revisions[fleettest.Team]
}

func (operators *operators) inForce(entries []*fleettest.Entry, want ident.Revision) {
	operators.t.Helper()
	for _, entry := range entries {
		what := fmt.Sprintf("revision %d at %s", want, entry.VM.ID)
		operators.fleet.WaitFor(what, func() bool { return operators.revision(entry) >= want })
	}
}

// TestSettingsWithProcesses cuts the store right after an acceptance, freezes
// half of the routers and resumes them, and replaces a router while the store is
// out. Each ends with the newest settings, and none goes back.
func TestSettingsWithProcesses(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 6})
	operators := &operators{t: t, fleet: fleet}
	routers := fleet.Routers

	accepted := operators.change(routers[0], 2)
	fleet.Switch(`{"Outage": true}`)
	operators.inForce(routers, accepted)
	fleet.Switch(`{"Outage": false}`)

	frozen, awake := routers[3:], routers[:3]
	for _, entry := range frozen {
		entry.Process.Freeze()
	}
	for weight := range 3 {
		accepted = operators.change(awake[weight], weight+3)
	}
	fleet.Switch(`{"Outage": true}`)
	operators.inForce(awake, accepted)
	for _, entry := range frozen {
		entry.Process.Resume()
	}
	operators.inForce(routers, accepted)

	replaced := routers[5]
	replaced.Process.Kill()
	fleet.StartRouter(replaced)
	fleet.WaitFor("a ready router", func() bool {
		status, err := fleet.Status(replaced)
		return err == nil && status.Ready
	})
	if got := operators.revision(replaced); got != accepted {
		t.Errorf("got revision %d at a ready router, want %d", got, accepted)
	}
	fleet.Switch(`{"Outage": false}`)
	next := operators.change(replaced, 9)
	if want := accepted + 1; next != want {
		t.Errorf("got revision %d, want %d", next, want)
	}
	operators.inForce(routers, next)
}
