package settingstable_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
)

// fault is the fault injected into one commit.
type fault int

const (
	faultNone fault = iota
	faultRefused
	faultLostBefore
	faultLostAfter
	// faultDelayed loses the answer and applies the commit before the next call.
	faultDelayed
	// faultRaced makes another operator commit first.
	faultRaced
	faultCount
)

// table is an in-memory transactional table that injects faults into commits.
type table struct {
	rows     map[platform.Key]platform.Row
	revision ident.Revision
	faults   []fault
	delayed  []platform.Transaction
	race     func()
}

func (table *table) client() *platform.Client {
	noObject := func(context.Context, string) ([]byte, error) { return nil, platform.ErrNotFound }
	return &platform.Client{Commit: table.commit, Read: table.read, Scan: table.scan, GetObject: noObject}
}

func (table *table) applyDelayed() {
	delayed := table.delayed
	table.delayed = nil
	for _, transaction := range delayed {
		table.apply(transaction)
	}
}

func (table *table) apply(transaction platform.Transaction) error {
	for _, check := range transaction.Checks {
		if table.rows[check.Key].Revision != check.Revision {
			return &platform.ConflictError{}
		}
	}
	table.revision++
	for _, write := range transaction.Writes {
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
	}
	return nil
}

func (table *table) commit(_ context.Context, transaction platform.Transaction) (ident.Revision, error) {
	table.applyDelayed()
	injected := faultNone
	if len(table.faults) > 0 {
		injected = table.faults[0]
		table.faults = table.faults[1:]
	}
	switch injected {
	case faultRefused:
		return 0, platform.ErrUnavailable
	case faultLostBefore:
		return 0, platform.ErrLost
	case faultLostAfter:
		table.apply(transaction)
		return 0, platform.ErrLost
	case faultDelayed:
		table.delayed = append(table.delayed, transaction)
		return 0, platform.ErrLost
	case faultRaced:
		table.race()
	}
	return table.revision, table.apply(transaction)
}

func (table *table) read(_ context.Context, keys ...platform.Key) ([]platform.Row, error) {
	table.applyDelayed()
	var rows []platform.Row
	for _, key := range keys {
		if row, found := table.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (table *table) scan(_ context.Context, prefix, after platform.Key, limit int) ([]platform.Row, error) {
	table.applyDelayed()
	var rows []platform.Row
	for key, row := range table.rows {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return rows[:min(limit, len(rows))], nil
}

func weightChange(id string, base ident.Revision, weight int) settings.Change {
	raw := json.RawMessage(fmt.Sprintf(`{"Weight": %d}`, weight))
	return settings.Change{ID: id, Team: "beaudoin", Base: base, Values: map[settings.Path]json.RawMessage{"/Teams/beaudoin/Workspaces/laval": raw}}
}

// Guards against changes that are lost or applied twice when commits fail, are
// delayed or lose their answers. A change reported as accepted must be in the
// history once, a change reported as refused must not be in it, and the history
// must have no gap.
func TestEachChangeIsAcceptedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 4), 1, 6).Draw(rt, "faults of each change")
		stale := rapid.SliceOfN(rapid.Bool(), 6, 6).Draw(rt, "stale bases")
		deadline := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Minute}).Draw(rt, "deadline")
		var problem string
		synctest.Test(t, func(*testing.T) { problem = runOperators(drawn, stale, deadline) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func runOperators(drawn [][]int, stale []bool, deadline time.Duration) string {
	table := &table{rows: make(map[platform.Key]platform.Row)}
	store := &settingstable.Store{Client: table.client()}
	raced := 0
	table.race = func() {
		raced++
		heads, _ := store.Heads(context.Background())
		store.Accept(context.Background(), weightChange(fmt.Sprintf("race-%d", raced), heads["beaudoin"], 7))
	}
	outcomes := make(map[string]error)
	for index, numbers := range drawn {
		heads, _ := store.Heads(context.Background())
		base := heads["beaudoin"]
		if stale[index] && base > 0 {
			base--
		}
		table.faults = nil
		for _, number := range numbers {
			table.faults = append(table.faults, fault(number))
		}
		id := fmt.Sprintf("change-%d", index)
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		_, err := store.Accept(ctx, weightChange(id, base, index+1))
		cancel()
		outcomes[id] = err
		table.faults = nil
	}
	table.applyDelayed()
	return checkHistory(store, outcomes)
}

func checkHistory(store *settingstable.Store, outcomes map[string]error) string {
	entries, err := store.History(context.Background(), "beaudoin", 0, 500)
	if err != nil {
		return err.Error()
	}
	seen := make(map[string]int)
	for index, entry := range entries {
		seen[entry.ChangeID]++
		if got, want := entry.Revision, ident.Revision(index+1); got != want {
			return fmt.Sprintf("got revision %d at index %d of the history, want %d", got, index, want)
		}
	}
	for id, err := range outcomes {
		got := seen[id]
		switch code := result.CodeOf(err); {
		case code == result.OK && got != 1:
			return fmt.Sprintf("got %s %d times in the history, want once: it was reported as accepted", id, got)
		case code == result.CommitUnknown && got > 1:
			return fmt.Sprintf("got %s %d times in the history, want at most once", id, got)
		case code != result.OK && code != result.CommitUnknown && got != 0:
			return fmt.Sprintf("got %s in the history, want it absent: Accept returned %v", id, err)
		}
	}
	return ""
}

func TestRepeatedChangeIsAnsweredWithItsRevision(t *testing.T) {
	table := &table{rows: make(map[platform.Key]platform.Row)}
	store := &settingstable.Store{Client: table.client()}
	ctx := context.Background()
	for range 2 {
		accepted, err := store.Accept(ctx, weightChange("one", 0, 3))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := accepted.Revision, ident.Revision(1); got != want {
			t.Errorf("got revision %d, want %d", got, want)
		}
	}
	_, err := store.Accept(ctx, weightChange("one", 1, 4))
	if got, want := result.CodeOf(err), result.KeyReused; got != want {
		t.Errorf("got %v for other values under the same ID, want %s", err, want.Name())
	}
	if got, want := len(table.rows), 4; got != want {
		t.Errorf("got %d rows, want %d", got, want)
	}
}

func TestTeamAcceptsOnlyItsCredentials(t *testing.T) {
	team := settingstable.Team{CredentialSHA256: []string{settingstable.HashCredential("old"), settingstable.HashCredential("new")}}
	tests := []struct {
		token string
		want  bool
	}{{"old", true}, {"new", true}, {"", false}, {"other", false}}
	for _, test := range tests {
		if got := team.Accepts(test.token); got != test.want {
			t.Errorf("got %t for %q, want %t", got, test.token, test.want)
		}
	}
	if got := (settingstable.Team{}).Accepts(""); got {
		t.Error("got an empty token accepted by a team without credentials, want it refused")
	}
}
