package claim

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Bounds of a Batcher whose fields are zero.
const (
	defaultMaxItems             = 100
	defaultMaxBytes ident.Bytes = 1 << 20
)

// ItemID names one transaction given to a Batcher.
type ItemID uint64

// Item is one transaction that waits to be committed: one check and one write
// of one claim's row.
type Item struct {
	ID          ItemID
	Transaction platform.Transaction

	// alone says that the item must not share a transaction.
	alone bool
}

func (item Item) row() platform.Key { return item.Transaction.Writes[0].Key }

func (item Item) size() ident.Bytes {
	return ident.Bytes(len(item.row()) + len(item.Transaction.Writes[0].Value))
}

// CommitResult says how a commit ended.
type CommitResult int

// The results of a commit.
const (
	CommitApplied CommitResult = iota
	CommitConflicted
	CommitUnavailable
	CommitLost
)

// Settled is the end of one item.
type Settled struct {
	ID       ItemID
	Result   CommitResult
	Revision ident.Revision
	// Row is the conflicting row, or nil where it is absent.
	Row *platform.Row
}

// Batcher collects the transactions of many attempts and merges them, so that
// many claims cost one write of the table. A conflict of one claim does not
// fail the others of its batch. The zero value is empty and ready. It is not
// safe for concurrent use.
type Batcher struct {
	// MaxItems bounds the items of a batch; zero means 100.
	MaxItems int
	// MaxBytes bounds the rows of a batch; zero means 1 MiB. A larger item has
	// a batch of its own.
	MaxBytes ident.Bytes

	pending []Item
	lastID  ItemID
}

// Add takes in the transaction of one row.
func (batcher *Batcher) Add(transaction platform.Transaction) ItemID {
	batcher.lastID++
	batcher.pending = append(batcher.pending, Item{ID: batcher.lastID, Transaction: transaction})
	return batcher.lastID
}

// Len returns the number of items that wait for a batch.
func (batcher *Batcher) Len() int { return len(batcher.pending) }

// Next takes out the items of the next batch, oldest first and no two of the
// same row, since their checks would exclude each other.
func (batcher *Batcher) Next() []Item {
	var batch, kept []Item
	var size ident.Bytes
	rows := make(map[platform.Key]bool)
	for _, item := range batcher.pending {
		size += item.size()
		if batcher.fits(batch, item, size) && !rows[item.row()] {
			batch = append(batch, item)
		} else {
			size -= item.size()
			kept = append(kept, item)
		}
		rows[item.row()] = true
	}
	batcher.pending = kept
	return batch
}

// fits reports whether item may join batch, with which the batch has size.
func (batcher *Batcher) fits(batch []Item, item Item, size ident.Bytes) bool {
	if len(batch) == 0 {
		return true
	}
	if batch[0].alone || item.alone {
		return false
	}
	entries := item.entries()
	for _, joined := range batch {
		entries += joined.entries()
	}
	return len(batch) < batcher.maxItems() && entries <= platform.MaxEntries && size <= batcher.maxBytes()
}

// entries returns how many entries of a transaction the item takes.
func (item Item) entries() int {
	return len(item.Transaction.Checks) + len(item.Transaction.Writes)
}

// Merge returns one transaction of all items of a batch.
func Merge(batch []Item) platform.Transaction {
	var merged platform.Transaction
	for _, item := range batch {
		merged.Checks = append(merged.Checks, item.Transaction.Checks...)
		merged.Writes = append(merged.Writes, item.Transaction.Writes...)
	}
	return merged
}

// Resolve takes in how the commit of a batch ended, as platform.Client.Commit
// returned it, and returns the items that ended with it. The others are part of
// a later batch.
func (batcher *Batcher) Resolve(batch []Item, revision ident.Revision, err error) []Settled {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return settleAll(batch, Settled{Result: CommitApplied, Revision: revision})
	case errors.As(err, &conflict):
		return batcher.conflicted(batch, conflict.Conflict)
	case errors.Is(err, platform.ErrUnavailable):
		return settleAll(batch, Settled{Result: CommitUnavailable})
	}
	return settleAll(batch, Settled{Result: CommitLost})
}

func settleAll(batch []Item, settled Settled) []Settled {
	var all []Settled
	for _, item := range batch {
		settled.ID = item.ID
		all = append(all, settled)
	}
	return all
}

// conflicted settles the items whose rows the platform named and puts the
// others back in front. An absent row is not named: where nothing is named, the
// items are committed one by one.
func (batcher *Batcher) conflicted(batch []Item, conflict platform.Conflict) []Settled {
	var settled []Settled
	var kept []Item
	for _, item := range batch {
		index := slices.IndexFunc(conflict.Rows, func(row platform.Row) bool { return row.Key == item.row() })
		switch {
		case index >= 0:
			settled = append(settled, Settled{ID: item.ID, Result: CommitConflicted, Row: &conflict.Rows[index]})
		case len(batch) == 1:
			settled = append(settled, Settled{ID: item.ID, Result: CommitConflicted})
		default:
			kept = append(kept, item)
		}
	}
	if len(settled) == 0 {
		for i := range kept {
			kept[i].alone = true
		}
	}
	batcher.pending = append(kept, batcher.pending...)
	return settled
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
