package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// renewals is the number of renewals in the lifetime of a lease.
const renewals = 3

// Name names a lease.
type Name string

// Row returns the table key of the lease.
func (name Name) Row() platform.Key { return platform.Key("leases/" + string(name)) }

// Record is the value of a lease's row.
type Record struct {
	// Holder is the VM that holds the lease; empty where it was given back.
	Holder ident.VMID
	// Write is unique to each write, so that a lost answer can be read back.
	Write string
	Fence ident.FencingNumber
	// LifetimeMs is how long the lease lasts from before the write was sent.
	LifetimeMs int64
}

// Action is what the driver of a Holder does next.
type Action int

// The actions.
const (
	// Sleep waits until Step.Until and calls Next.
	Sleep Action = iota
	// Read reads the lease's row: RowRead or Failed.
	Read
	// Commit commits Step.Transaction: Committed, RowRead with the conflicting
	// row, or Failed.
	Commit
)

// Step is what follows from an event.
type Step struct {
	Action      Action
	Until       time.Time
	Transaction platform.Transaction
}

// Holder acquires and renews one lease for one daemon. It reads no clock and
// does no I/O, and it is not safe for concurrent use.
type Holder struct {
	Name Name
	VM   ident.VMID
	// Lifetime is how long the lease lasts without a renewal.
	Lifetime time.Duration
	// NewWrite returns a name for a write that was never used before.
	NewWrite func() string

	// deadline is when the lease ends, measured from before the write that
	// acquired or renewed it was sent; zero where it is not held.
	deadline time.Time
	fence    ident.FencingNumber
	// seen is the revision and the record of the row, and takeAt is when the
	// lease of that record has ended for its holder at the latest.
	seen   ident.Revision
	record Record
	takeAt time.Time
	// pending is the write whose answer is not known, sent at sentAt.
	pending Record
	sentAt  time.Time
	failed  int
}

// Held returns the fencing number and whether the lease is held at the time
// now. It is to be asked right before each act: a holder that was paused finds
// its lease lapsed.
func (holder *Holder) Held(now time.Time) (ident.FencingNumber, bool) {
	return holder.fence, now.Before(holder.deadline)
}

// Next returns what to do at the time now.
func (holder *Holder) Next(now time.Time) Step {
	if !holder.deadline.IsZero() && !now.Before(holder.deadline) {
		holder.deadline = time.Time{}
	}
	switch {
	case holder.pending.Write != "" || holder.takeAt.IsZero():
		return Step{Action: Read}
	case !holder.deadline.IsZero():
		return holder.renewOrSleep(now)
	case now.Before(holder.takeAt):
		return Step{Action: Sleep, Until: holder.takeAt}
	}
	return holder.write(now, holder.VM, holder.record.Fence+1)
}

func (holder *Holder) renewOrSleep(now time.Time) Step {
	renewAt := holder.deadline.Add(-holder.Lifetime + holder.Lifetime/renewals)
	if now.Before(renewAt) {
		return Step{Action: Sleep, Until: renewAt}
	}
	return holder.write(now, holder.VM, holder.fence)
}

// Release gives the lease back, so that another daemon need not wait for its
// end. The lease is not held from now on.
func (holder *Holder) Release(now time.Time) Step {
	_, held := holder.Held(now)
	holder.deadline = time.Time{}
	if !held {
		return Step{Action: Sleep, Until: now.Add(holder.Lifetime)}
	}
	return holder.write(now, "", holder.fence)
}

// Committed tells that the transaction was applied at revision.
func (holder *Holder) Committed(now time.Time, revision ident.Revision) Step {
	holder.failed = 0
	holder.observe(now, revision, holder.pending)
	return holder.Next(now)
}

// RowRead tells what the row is now; nil means that it is absent.
func (holder *Holder) RowRead(now time.Time, row *platform.Row) Step {
	holder.failed = 0
	var record Record
	if row == nil {
		holder.observe(now, 0, record)
		return holder.Next(now)
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return holder.Failed(now)
	}
	holder.observe(now, row.Revision, record)
	return holder.Next(now)
}

// Failed tells that the platform gave no answer: a write may have been applied.
func (holder *Holder) Failed(now time.Time) Step {
	holder.failed++
	backoff := min(holder.Lifetime/10<<min(holder.failed-1, 10), holder.Lifetime)
	return Step{Action: Sleep, Until: now.Add(backoff)}
}

// observe takes in the row. A write of this holder counts from before it was
// sent; a row of another counts from when it was first seen here.
func (holder *Holder) observe(now time.Time, revision ident.Revision, record Record) {
	pending := holder.pending
	holder.pending = Record{}
	switch {
	case pending.Write != "" && record.Write == pending.Write:
		holder.adopt(record)
	case revision == holder.seen && !holder.takeAt.IsZero():
		return
	default:
		holder.deadline = time.Time{}
		holder.takeAt = now
		if record.Holder != "" {
			holder.takeAt = now.Add(time.Duration(record.LifetimeMs) * time.Millisecond)
		}
	}
	holder.seen = revision
	holder.record = record
}

// adopt takes in that the pending write of this holder was applied.
func (holder *Holder) adopt(record Record) {
	end := holder.sentAt.Add(holder.Lifetime)
	holder.takeAt = end
	if record.Holder == "" {
		return
	}
	holder.fence = record.Fence
	holder.deadline = end
}

func (holder *Holder) write(now time.Time, vm ident.VMID, fence ident.FencingNumber) Step {
	holder.sentAt = now
	holder.pending = Record{Holder: vm, Write: holder.NewWrite(), Fence: fence, LifetimeMs: holder.Lifetime.Milliseconds()}
	value, err := json.Marshal(holder.pending)
	if err != nil {
		panic(errors.Wrap(err, "a lease record always encodes"))
	}
	return Step{Action: Commit, Transaction: platform.Transaction{
		Checks: []platform.Check{{Key: holder.Name.Row(), Revision: holder.seen}},
		Writes: []platform.Write{{Key: holder.Name.Row(), Value: value}},
	}}
}
