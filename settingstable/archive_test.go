package settingstable_test

import (
	"context"
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

// writeHistory writes the history rows of revisions 1 to last.
func writeHistory(fake *standin.Platform, last int) {
	for revision := 1; revision <= last; revision++ {
		entry := settings.Entry{Team: "beaudoin", Revision: ident.Revision(revision), ChangeID: fmt.Sprint("change-", revision)}
		raw, _ := json.Marshal(entry)
		fake.Commit(platform.Transaction{Writes: []platform.Write{
			{Key: platform.Key(fmt.Sprintf("settings/history/beaudoin/%020d", revision)), Value: raw},
			{Key: platform.Key(fmt.Sprint("settings/changes/beaudoin/change-", revision)), Value: json.RawMessage(`{}`)},
		}})
	}
}

func TestArchiveKeepsTheWholeHistory(t *testing.T) {
	const last = 2100
	ctx := context.Background()
	fake := &standin.Platform{}
	server := httptest.NewServer(fake)
	defer server.Close()
	store := &settingstable.Store{Client: platform.New(strings.TrimPrefix(server.URL, "http://"), nil)}
	writeHistory(fake, last)
	// The first run fails after it has stored its block: the answer to a commit
	// that deletes rows is lost.
	fake.Switch(standin.PlatformSwitches{LoseAnswers: 1})
	if err := store.Archive(ctx, "beaudoin", last); err == nil {
		t.Error("got no error from a run whose answer was lost, want one")
	}
	if err := store.Archive(ctx, "beaudoin", last); err != nil {
		t.Fatal(err)
	}
	if got, want := len(fake.Scan("settings/history/beaudoin/")), last-1000; got != want {
		t.Errorf("got %d rows of history, want %d", got, want)
	}
	if got, want := len(fake.Scan("settings/changes/beaudoin/")), last-1000; got != want {
		t.Errorf("got %d change IDs, want %d", got, want)
	}
	revision := ident.Revision(0)
	for {
		entries, err := store.History(ctx, "beaudoin", revision, 200)
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) == 0 {
			break
		}
		for _, entry := range entries {
			revision++
			if got := entry.Revision; got != revision {
				t.Fatalf("got revision %d, want %d", got, revision)
			}
		}
	}
	if got, want := revision, ident.Revision(last); got != want {
		t.Errorf("got a history of %d revisions, want %d", got, want)
	}
	entry, err := store.Entry(ctx, "beaudoin", 7)
	if got, want := entry.ChangeID, "change-7"; got != want || err != nil {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

func TestSnapshotIsReadBack(t *testing.T) {
	fake := &standin.Platform{}
	server := httptest.NewServer(fake)
	defer server.Close()
	store := &settingstable.Store{Client: platform.New(strings.TrimPrefix(server.URL, "http://"), nil)}
	accepted, err := store.Accept(context.Background(), weightChange("one", 0, 3))
	if err != nil {
		t.Fatal(err)
	}
	view, _ := (*settings.View)(nil).Adopt(accepted.Subtree)
	if err := store.WriteSnapshot(context.Background(), view); err != nil {
		t.Fatal(err)
	}
	subtrees, err := store.ReadSnapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(subtrees), 1; got != want {
		t.Fatalf("got %d subtrees, want %d", got, want)
	}
	if left := settings.Diff(subtrees[0], accepted.Subtree); left != nil {
		t.Errorf("got differences %v from the stored settings, want none", left)
	}
}
