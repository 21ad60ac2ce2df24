package claim_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// table is an in-memory model of the platform's table.
type table struct {
	rows     map[platform.Key]platform.Row
	revision ident.Revision
	commits  int
}

func (table *table) commit(transaction platform.Transaction) (ident.Revision, error) {
	var conflict platform.ConflictError
	failed := false
	for _, check := range transaction.Checks {
		row, present := table.rows[check.Key]
		if row.Revision == check.Revision {
			continue
		}
		failed = true
		if present {
			conflict.Conflict.Rows = append(conflict.Conflict.Rows, row)
		}
	}
	if failed {
		return 0, &conflict
	}
	if table.rows == nil {
		table.rows = make(map[platform.Key]platform.Row)
	}
	table.revision++
	table.commits++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(table.rows, write.Key)
			continue
		}
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
	}
	return table.revision, nil
}

func (table *table) read(key platform.Key) *platform.Row {
	row, present := table.rows[key]
	if !present {
		return nil
	}
	return &row
}

func rowWrite(key platform.Key, revision ident.Revision, value string) platform.Transaction {
	encoded, _ := json.Marshal(value)
	return platform.Transaction{
		Checks: []platform.Check{{Key: key, Revision: revision}},
		Writes: []platform.Write{{Key: key, Value: encoded}},
	}
}

// TestBatcherGivesEachItemItsOwnResult guards against batches that change the
// result of an item. Each item must finish exactly once and be applied if its
// check holds at the commit. Of the items with the same check at most one may
// be applied.
func TestBatcherGivesEachItemItsOwnResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table table
		for i := range rapid.IntRange(0, 4).Draw(t, "taken") {
			if _, err := table.commit(rowWrite(platform.Key(fmt.Sprint(i)), 0, "earlier")); err != nil {
				t.Fatal(err)
			}
		}
		batcher := claim.Batcher{MaxItems: rapid.IntRange(1, 6).Draw(t, "items"), MaxBytes: ident.Bytes(rapid.IntRange(1, 80).Draw(t, "bytes"))}
		items := make(map[claim.ItemID]platform.Transaction)
		for range rapid.IntRange(0, 15).Draw(t, "count") {
			key := platform.Key(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "row")))
			transaction := rowWrite(key, ident.Revision(rapid.IntRange(0, 2).Draw(t, "checked")), "new")
			items[batcher.Add(transaction)] = transaction
		}
		applied := make(map[platform.Check]int)
		finished := make(map[claim.ItemID]bool)
		for round := 0; batcher.Len() > 0; round++ {
			if round > 100 {
				t.Fatalf("got %d items left after %d rounds, want none", batcher.Len(), round)
			}
			batch := batcher.Next()
			revision, err := table.commit(claim.Merge(batch))
			for _, itemResult := range batcher.Resolve(batch, revision, err) {
				if finished[itemResult.ID] {
					t.Fatalf("got a second result of item %d", itemResult.ID)
				}
				finished[itemResult.ID] = true
				key := items[itemResult.ID].Writes[0].Key
				row := table.read(key)
				switch itemResult.Result {
				case claim.CommitApplied:
					applied[items[itemResult.ID].Checks[0]]++
					if row.Revision != itemResult.Revision {
						t.Fatalf("got revision %d, want %d, the revision of the row", itemResult.Revision, row.Revision)
					}
				case claim.CommitConflicted:
					if row != nil && (itemResult.Row == nil || itemResult.Row.Revision != row.Revision) {
						t.Fatalf("got a conflict without the current row %s, want the row", key)
					}
					if (row == nil && items[itemResult.ID].Checks[0].Revision == 0) || (row != nil && row.Revision == items[itemResult.ID].Checks[0].Revision) {
						t.Fatalf("got a conflict of item %d, but its check holds", itemResult.ID)
					}
				default:
					t.Fatalf("got result %d, want applied or conflicted", itemResult.Result)
				}
			}
		}
		if len(finished) != len(items) {
			t.Fatalf("got results of %d items, want %d", len(finished), len(items))
		}
		for check, count := range applied {
			if count > 1 {
				t.Fatalf("got %d writes applied with the check %+v, want at most 1", count, check)
			}
		}
	})
}

// TestBatcherMergesManyClaimsIntoFewWrites guards against batches that are
// larger than the store accepts or smaller than they could be. A claim is a
// check and a write, and a transaction has at most platform.MaxEntries of both
// together.
func TestBatcherMergesManyClaimsIntoFewWrites(t *testing.T) {
	const claims, claimsPerWrite = 100, platform.MaxEntries / 2
	var table table
	var batcher claim.Batcher
	for i := range claims {
		batcher.Add(rowWrite(platform.Key(fmt.Sprint(i)), 0, "claim"))
	}
	for range claims / claimsPerWrite {
		batch := batcher.Next()
		if got := len(batch); got != claimsPerWrite {
			t.Errorf("got %d claims in a write, want %d", got, claimsPerWrite)
		}
		if _, err := table.commit(claim.Merge(batch)); err != nil {
			t.Fatal(err)
		}
	}
	if got := batcher.Next(); len(got) != 0 || table.commits != claims/claimsPerWrite {
		t.Errorf("got %d claims left after %d writes, want none after %d", len(got), table.commits, claims/claimsPerWrite)
	}
}

func TestBatcherDistinguishesUnavailableFromLost(t *testing.T) {
	tests := []struct {
		err  error
		want claim.CommitResult
	}{
		{platform.ErrUnavailable, claim.CommitUnavailable},
		{platform.ErrLost, claim.CommitLost},
		{fmt.Errorf("some other failure"), claim.CommitLost},
	}
	for _, test := range tests {
		var batcher claim.Batcher
		batcher.Add(rowWrite("a", 0, "claim"))
		results := batcher.Resolve(batcher.Next(), 0, test.err)
		if len(results) != 1 || results[0].Result != test.want {
			t.Errorf("got %+v for %v, want result %d", results, test.err, test.want)
		}
	}
}
