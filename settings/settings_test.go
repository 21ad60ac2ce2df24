package settings_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

func change(base ident.Revision, values map[settings.Path]string) settings.Change {
	change := settings.Change{ID: "change-1", Team: "beaudoin", Base: base, Values: make(map[settings.Path]json.RawMessage)}
	for path, value := range values {
		change.Values[path] = json.RawMessage(value)
	}
	return change
}

func start(t testing.TB) *settings.Subtree {
	t.Helper()
	subtree, err := settings.Apply(nil, change(0, map[settings.Path]string{
		"/Teams/beaudoin/Priorities/shelf":      `{"Mark": 1}`,
		"/Teams/beaudoin/Routes/draft":          `{"Model": "planogram-7b@3", "Idempotent": true, "Priority": "shelf"}`,
		"/Teams/beaudoin/Workspaces/montreal":   `{"Weight": 2}`,
		"/Teams/beaudoin/Placements/planograms": `{"Model": "planogram-7b@3", "Replicas": 18}`,
	}))
	if err != nil {
		t.Fatal(err)
	}
	return subtree
}

func TestRefusedChanges(t *testing.T) {
	tests := []struct {
		name   string
		base   ident.Revision
		path   settings.Path
		value  string
		code   result.Code
		detail string
	}{
		{"unknown field", 1, "/Teams/beaudoin/Routes/draft", `{"Modell": "x"}`, result.InvalidSettings, `unknown field "Modell"`},
		{"lower case field", 1, "/Teams/beaudoin/Routes/draft", `{"model": "x"}`, result.InvalidSettings, `unknown field "model"`},
		{"field twice", 1, "/Teams/beaudoin/Routes/draft", `{"Model": "x", "Model": "y"}`, result.InvalidSettings, "Model is given twice"},
		{"wrong type", 1, "/Teams/beaudoin/Routes/draft", `{"Model": 7}`, result.InvalidSettings, "Model is a number: want a string"},
		{"not an object", 1, "/Teams/beaudoin/Routes/draft", `[]`, result.InvalidSettings, "want an object"},
		{"out of range", 1, "/Teams/beaudoin/Routes/draft", `{"Model": "x", "LoadMultiple": 20}`, result.InvalidSettings, "LoadMultiple is 20: at most 10"},
		{"neither model nor service", 1, "/Teams/beaudoin/Routes/draft", `{}`, result.InvalidSettings, "must be set if Service is not"},
		{"model and service", 1, "/Teams/beaudoin/Routes/draft", `{"Model": "x", "Service": "y"}`, result.InvalidSettings, "must not be set together with Service"},
		{"unsafe name in a value", 1, "/Teams/beaudoin/Routes/draft", `{"Model": "a/b"}`, result.InvalidSettings, "letters, digits"},
		{"absent priority", 1, "/Teams/beaudoin/Routes/draft", `{"Model": "x", "Priority": "night"}`, result.InvalidSettings, `Priority is "night": want one of the team's priorities, [shelf]`},
		{"priority in use", 1, "/Teams/beaudoin/Priorities/shelf", `null`, result.InvalidSettings, "/Teams/beaudoin/Routes/draft: Priority"},
		{"other team", 1, "/Teams/ndiaye/Routes/draft", `{"Model": "x"}`, result.NotOwner, "may change only /Teams/beaudoin"},
		{"unknown kind", 1, "/Teams/beaudoin/Widgets/a", `{}`, result.InvalidSettings, "want one of Routes, Workspaces, Priorities, Placements"},
		{"short path", 1, "/Teams/beaudoin/Routes", `{}`, result.InvalidSettings, "want /Teams/<team>/<kind>/<name>"},
		{"nothing to delete", 1, "/Teams/beaudoin/Routes/absent", `null`, result.PathNotFound, "nothing to delete"},
		{"stale base", 0, "/Teams/beaudoin/Workspaces/laval", `{"Weight": 1}`, result.RevisionConflict, "based on revision 0, but team beaudoin is at revision 1"},
		{"large value", 1, "/Teams/beaudoin/Workspaces/laval", `{"Weight": 1` + strings.Repeat(" ", 5000) + `}`, result.SettingsLimit, "at most 4096"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			subtree := start(t)
			_, err := settings.Apply(subtree, change(test.base, map[settings.Path]string{test.path: test.value}))
			if got := result.CodeOf(err); got != test.code {
				t.Fatalf("got %v, want code %s", err, test.code.Name())
			}
			if got := err.Error(); !strings.Contains(got, test.detail) {
				t.Errorf("got %q, want it to contain %q", got, test.detail)
			}
			if got, want := subtree.Revision, ident.Revision(1); got != want {
				t.Errorf("got revision %d after a refusal, want %d", got, want)
			}
		})
	}
}

func TestUndoRestoresUnlessTouchedLater(t *testing.T) {
	first := start(t)
	second, err := settings.Apply(first, change(1, map[settings.Path]string{
		"/Teams/beaudoin/Workspaces/montreal": `{"Weight": 9}`,
		"/Teams/beaudoin/Workspaces/laval":    `{"Weight": 1}`,
	}))
	if err != nil {
		t.Fatal(err)
	}
	entry := settings.Entry{Revision: 2, Differences: settings.Diff(first, second)}
	if err := settings.CheckUndo(second, entry); err != nil {
		t.Fatal(err)
	}
	undone, err := settings.Apply(second, settings.Change{ID: "undo", Team: "beaudoin", Base: 2, Values: settings.Undo(entry)})
	if err != nil {
		t.Fatal(err)
	}
	if got := settings.Diff(first, undone); got != nil {
		t.Errorf("got differences %v from the original after the undo, want none", got)
	}
	if got, want := undone.Revision, ident.Revision(3); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	err = settings.CheckUndo(undone, entry)
	if got, want := result.CodeOf(err), result.RevisionConflict; got != want {
		t.Errorf("got %v from a second undo, want %s", err, want.Name())
	}
}

// drawChain draws consecutive revisions of a team's settings.
func drawChain(t *rapid.T, team ident.TeamID) []*settings.Subtree {
	chain := []*settings.Subtree{}
	var present *settings.Subtree
	for range rapid.IntRange(1, 8).Draw(t, "revisions") {
		values := make(map[settings.Path]json.RawMessage)
		for range rapid.IntRange(1, 4).Draw(t, "paths") {
			name := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "name"))
			address := settings.Address{Team: team, Kind: settings.KindWorkspace, Name: name}
			values[address.Path()] = json.RawMessage(fmt.Sprintf(`{"Weight": %d}`, rapid.IntRange(1, 9).Draw(t, "weight")))
			if present.Value(address) != nil && rapid.Bool().Draw(t, "delete") {
				values[address.Path()] = nil
			}
		}
		next, err := settings.Apply(present, settings.Change{ID: "c", Team: team, Base: revision(present), Values: values})
		if err != nil {
			t.Fatal(err)
		}
		chain = append(chain, next)
		present = next
	}
	return chain
}

func revision(subtree *settings.Subtree) ident.Revision {
	if subtree == nil {
		return 0
	}
	return subtree.Revision
}

// Guards against a view that returns to an older revision. Subtrees arrive in any
// order, repeatedly or not at all, also from peers that restarted with older ones.
// The view must always have the newest revision that arrived.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		received := []*settings.Subtree{}
		for _, team := range []ident.TeamID{"beaudoin", "ndiaye"} {
			received = append(received, drawChain(t, team)...)
		}
		var view *settings.View
		newest := make(map[ident.TeamID]ident.Revision)
		for _, index := range rapid.SliceOf(rapid.IntRange(0, len(received)-1)).Draw(t, "order") {
			subtree := received[index]
			before := view.Revisions()
			adopted, changed := view.Adopt(subtree)
			if got, want := changed, subtree.Revision > before[subtree.Team]; got != want {
				t.Fatalf("got changed %t on adopting revision %d after %d, want %t", got, subtree.Revision, before[subtree.Team], want)
			}
			if got := view.Revisions(); !maps.Equal(got, before) {
				t.Fatalf("got the earlier view modified to %v, want %v", got, before)
			}
			view = adopted
			newest[subtree.Team] = max(newest[subtree.Team], subtree.Revision)
			if got := view.Revisions(); !maps.Equal(got, newest) {
				t.Fatalf("got %v, want %v", got, newest)
			}
		}
	})
}

func TestDeltaLeadsToTheSameSubtree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := drawChain(t, "beaudoin")
		from := rapid.IntRange(0, len(chain)-1).Draw(t, "from")
		to := rapid.IntRange(from, len(chain)-1).Draw(t, "to")
		delta := settings.NewDelta(chain[from], chain[to])
		for index, subtree := range chain {
			got, applied := delta.Apply(subtree)
			if want := index == from; applied != want {
				t.Fatalf("got applied %t for revision %d and a delta with base %d, want %t", applied, subtree.Revision, delta.Base, want)
			}
			if !applied {
				continue
			}
			if left := settings.Diff(got, chain[to]); left != nil || got.Revision != chain[to].Revision {
				t.Fatalf("got revision %d with differences %v, want revision %d and none", got.Revision, left, chain[to].Revision)
			}
		}
	})
}

func TestDigestTellsRevisionsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := drawChain(t, "beaudoin")
		first, second := (*settings.View)(nil), (*settings.View)(nil)
		first, _ = first.Adopt(rapid.SampledFrom(chain).Draw(t, "one"))
		second, _ = second.Adopt(rapid.SampledFrom(chain).Draw(t, "two"))
		if got, want := first.Digest() == second.Digest(), first.Revision("beaudoin") == second.Revision("beaudoin"); got != want {
			t.Fatalf("got digests equal %t, want %t", got, want)
		}
	})
}

func TestChangeDigestIgnoresSpaceOnly(t *testing.T) {
	spaced := change(1, map[settings.Path]string{"/Teams/beaudoin/Workspaces/a": `{ "Weight": 1 }`})
	tight := change(1, map[settings.Path]string{"/Teams/beaudoin/Workspaces/a": `{"Weight":1}`})
	other := change(1, map[settings.Path]string{"/Teams/beaudoin/Workspaces/a": `{"Weight":2}`})
	if spaced.Digest() != tight.Digest() {
		t.Error("got different digests for the same change, want equal ones")
	}
	if tight.Digest() == other.Digest() {
		t.Error("got equal digests for different changes, want different ones")
	}
}

func TestNamesAreInOrder(t *testing.T) {
	subtree, err := settings.Apply(start(t), change(1, map[settings.Path]string{"/Teams/beaudoin/Workspaces/laval": `{"Weight": 1}`}))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := subtree.Names(settings.KindWorkspace), []string{"laval", "montreal"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
