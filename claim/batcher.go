package claim

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Default limits of a Batcher.
const (
	defaultMaxItems             = 100
	defaultMaxBytes ident.Bytes = 1 << 20
)

// ItemID identifies a transaction added to a Batcher.
type ItemID uint64

// Item is a transaction that waits to be committed. It has one check and one
// write, both of the same claim's row.
type Item struct {
	ID          ItemID
	Transaction platform.Transaction

	// commitAlone requires that the item has a batch of its own.
	commitAlone bool
}

func (item Item) row() platform.Key { return item.Transaction.Writes[0].Key }

func (item Item) size() ident.Bytes {
	return ident.Bytes(len(item.row()) + len(item.Transaction.Writes[0].Value))
}

// CommitResult is the outcome of a commit.
type CommitResult int

// The outcomes of a commit.
const (
	// CommitApplied means that the transaction was applied.
	CommitApplied CommitResult = iota
	// CommitConflicted means that a check failed; nothing was written.
	CommitConflicted
	// CommitUnavailable means that the platform refused the transaction or did
	// not receive it; nothing was written.
	CommitUnavailable
	// CommitLost means that the answer was lost; the transaction may have been
	// applied or may still be.
	CommitLost
)

// ItemResult is the final result of one item.
type ItemResult struct {
	ID       ItemID
	Result   CommitResult
	Revision ident.Revision
	// Row is the row found on a conflict, or nil if it is absent.
	Row *platform.Row
}

// Batcher merges the transactions of many attempts, so that many claims cost
// one write to the table. A conflict of one claim does not fail the other items
// of its batch. The zero value is ready to use. It is not safe for concurrent
// use.
type Batcher struct {
	// MaxItems limits the items of a batch; zero means 100.
	MaxItems int
	// MaxBytes limits the total size of the keys and values of a batch; zero
	// means 1 MiB. A larger item gets a batch of its own.
	MaxBytes ident.Bytes

	pending []Item
	lastID  ItemID
}

// Add queues the transaction of one row for a later batch.
func (batcher *Batcher) Add(transaction platform.Transaction) ItemID {
	batcher.lastID++
	batcher.pending = append(batcher.pending, Item{ID: batcher.lastID, Transaction: transaction})
	return batcher.lastID
}

// Len returns the number of items that wait for a batch.
func (batcher *Batcher) Len() int { return len(batcher.pending) }

// Next removes the items of the next batch from the queue and returns them,
// oldest first. A batch has at most one item of a row, because two checks of
// the same row would exclude each other.
func (batcher *Batcher) Next() []Item {
	var batch, remaining []Item
	var size ident.Bytes
	seenRows := make(map[platform.Key]bool)
	for _, item := range batcher.pending {
		size += item.size()
		if batcher.fits(batch, item, size) && !seenRows[item.row()] {
			batch = append(batch, item)
		} else {
			size -= item.size()
			remaining = append(remaining, item)
		}
		seenRows[item.row()] = true
	}
	batcher.pending = remaining
	return batch
}

// fits reports whether item can be added to batch. size is the size of the
// batch including the item.
func (batcher *Batcher) fits(batch []Item, item Item, size ident.Bytes) bool {
	if len(batch) == 0 {
		return true
	}
	if batch[0].commitAlone || item.commitAlone {
		return false
	}
	entries := item.entryCount()
	for _, joined := range batch {
		entries += joined.entryCount()
	}
	return len(batch) < batcher.maxItems() && entries <= platform.MaxEntries && size <= batcher.maxBytes()
}

// entryCount returns the number of entries that the item adds to a transaction.
func (item Item) entryCount() int {
	return len(item.Transaction.Checks) + len(item.Transaction.Writes)
}

// Merge combines the items of a batch into one transaction.
func Merge(batch []Item) platform.Transaction {
	var merged platform.Transaction
	for _, item := range batch {
		merged.Checks = append(merged.Checks, item.Transaction.Checks...)
		merged.Writes = append(merged.Writes, item.Transaction.Writes...)
	}
	return merged
}

// Resolve processes the result of committing a batch, as returned by
// platform.Client.Commit, and returns the results of the items that are
// finished. The other items are queued again, ahead of newer ones.
func (batcher *Batcher) Resolve(batch []Item, revision ident.Revision, err error) []ItemResult {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return resolveAll(batch, ItemResult{Result: CommitApplied, Revision: revision})
	case errors.As(err, &conflict):
		return batcher.resolveConflict(batch, conflict.Conflict)
	case errors.Is(err, platform.ErrUnavailable):
		return resolveAll(batch, ItemResult{Result: CommitUnavailable})
	}
	return resolveAll(batch, ItemResult{Result: CommitLost})
}

func resolveAll(batch []Item, result ItemResult) []ItemResult {
	var results []ItemResult
	for _, item := range batch {
		result.ID = item.ID
		results = append(results, result)
	}
	return results
}

// resolveConflict finishes the items whose rows the platform named and queues
// the others again. The platform does not name absent rows: if it named no row
// of the batch, the items are committed one by one.
func (batcher *Batcher) resolveConflict(batch []Item, conflict platform.Conflict) []ItemResult {
	var results []ItemResult
	var remaining []Item
	for _, item := range batch {
		index := slices.IndexFunc(conflict.Rows, func(row platform.Row) bool { return row.Key == item.row() })
		switch {
		case index >= 0:
			results = append(results, ItemResult{ID: item.ID, Result: CommitConflicted, Row: &conflict.Rows[index]})
		case len(batch) == 1:
			results = append(results, ItemResult{ID: item.ID, Result: CommitConflicted})
		default:
			remaining = append(remaining, item)
		}
	}
	if len(results) == 0 {
		for i := range remaining {
			remaining[i].commitAlone = true
		}
	}
	batcher.pending = append(remaining, batcher.pending...)
	return results
}

func (batcher *Batcher) maxItems() int {
	if batcher.MaxItems == 0 {
		return defaultMaxItems
	}
	return batcher.MaxItems
}

func (batcher *Batcher) maxBytes() ident.Bytes {
	if batcher.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return batcher.MaxBytes
}
