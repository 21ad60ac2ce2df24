package settingstable_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
	"github.com/hickoryhead/hickoryhead/standin"
)

// TestChangeAfterAnOlderCopyComesIntoForce guards against a change that daemons ignore
// because the store was restored from an older copy, in which its revision is lower.
func TestChangeAfterAnOlderCopyComesIntoForce(t *testing.T) {
	fake := new(standin.Platform)
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	store := &settingstable.Store{Client: platform.New(strings.TrimPrefix(server.URL, "http://"), nil)}
	var view *settings.View
	accept := func(n int, base ident.Revision) bool {
		accepted, err := store.Accept(t.Context(), settings.Change{
			ID: fmt.Sprint("change-", n), Team: "team", Base: base,
			Values: map[settings.Path]json.RawMessage{"/Teams/team/Workspaces/w": json.RawMessage(fmt.Sprintf(`{"Weight":%d}`, n+1))},
		})
		if err != nil {
			t.Fatal(err)
		}
		var adopted bool
		view, adopted = view.Adopt(accepted.Subtree)
		return adopted
	}
	accept(0, 0)
	earlier := fake.Copy()
	accept(1, 1)
	accept(2, 2)
	fake.Restore(earlier)
	for range 2 {
		if err := store.WriteAgain(t.Context(), view.Team("team")); err != nil {
			t.Fatal(err)
		}
	}
	heads, err := store.Heads(t.Context())
	if err != nil || heads["team"] != 3 {
		t.Errorf("got heads %v and error %v, want the team at revision 3 again", heads, err)
	}
	if !accept(3, 3) {
		t.Error("got a change accepted after the store came back ignored by a daemon that knows later ones, want it in force")
	}
}
