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

// settingsOperator changes the team's settings through the routers of a fleet.
type settingsOperator struct {
	t     *testing.T
	fleet *fleettest.Fleet
}

// change sets the weight of a workspace through a router and returns the revision
// of the accepted change.
func (operators *settingsOperator) change(entry *fleettest.Router, weight int) ident.Revision {
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

// revision returns the revision in force at a router, or 0 if the router does not
// answer.
func (operators *settingsOperator) revision(entry *fleettest.Router) ident.Revision {
	status, err := operators.fleet.Status(entry)
	if err != nil {
		return 0
	}
	return status.Revisions[fleettest.Team]
}

// waitInForce waits until the routers have at least the revision want in force.
func (operators *settingsOperator) waitInForce(entries []*fleettest.Router, want ident.Revision) {
	operators.t.Helper()
	for _, entry := range entries {
		what := fmt.Sprintf("revision %d at %s", want, entry.VM.ID)
		operators.fleet.WaitFor(what, func() bool { return operators.revision(entry) >= want })
	}
}

// TestSettingsWithProcesses makes the store unavailable right after a change is
// accepted, freezes half of the routers while settings change, and replaces a
// router during an outage of the store. It guards against lost and outdated
// settings: every router must end with the latest revision, and none may revert
// to an older one.
func TestSettingsWithProcesses(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 6})
	operators := &settingsOperator{t: t, fleet: fleet}
	routers := fleet.Routers

	accepted := operators.change(routers[0], 2)
	fleet.Switch(`{"Outage": true}`)
	operators.waitInForce(routers, accepted)
	fleet.Switch(`{"Outage": false}`)

	frozen, awake := routers[3:], routers[:3]
	for _, entry := range frozen {
		entry.Process.Freeze()
	}
	for weight := range 3 {
		accepted = operators.change(awake[weight], weight+3)
	}
	fleet.Switch(`{"Outage": true}`)
	operators.waitInForce(awake, accepted)
	for _, entry := range frozen {
		entry.Process.Resume()
	}
	operators.waitInForce(routers, accepted)

	replaced := routers[5]
	replaced.Process.Kill()
	fleet.StartRouter(replaced)
	fleet.WaitFor("a ready router", func() bool {
		status, err := fleet.Status(replaced)
		return err == nil && status.Ready
	})
	if got := operators.revision(replaced); got != accepted {
		t.Errorf("got revision %d at the replaced router, want %d", got, accepted)
	}
	fleet.Switch(`{"Outage": false}`)
	next := operators.change(replaced, 9)
	if want := accepted + 1; next != want {
		t.Errorf("got revision %d for the next change, want %d", next, want)
	}
	operators.waitInForce(routers, next)
}
