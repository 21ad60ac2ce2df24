package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// renewalsPerLifetime is how often a held lease is renewed in its lifetime. With
// more than one, a failed renewal can be repeated before the lease expires.
const renewalsPerLifetime = 3

// Name identifies a lease.
type Name string

// Row returns the table key of the lease.
func (name Name) Row() platform.Key { return platform.Key("leases/" + string(name)) }

// Record is the value of a lease's row, encoded as JSON.
type Record struct {
	// Holder is the VM that holds the lease, or empty after it was released.
	Holder ident.VMID
	// Write is unique to each write. If the response to a commit is lost, reading
	// the row shows whether it was applied.
	Write string
	Fence ident.FencingNumber
	// LifetimeMs is the lifetime of the lease in milliseconds, counted from just
	// before the holder sent the write.
	LifetimeMs int64
}

// Action is what the caller that drives a Holder has to do next.
type Action int

// The actions of a Step.
const (
	// Sleep asks the caller to wait until Step.Until and then call Next.
	Sleep Action = iota
	// Read asks the caller to read the lease's row and call RowRead or Failed.
	Read
	// Commit asks the caller to commit Step.Transaction and call Committed,
	// RowRead with the row of a conflict, or Failed.
	Commit
)

// Step is the next action, as returned by Next and by the event methods of
// Holder. Until is set for Sleep and Transaction for Commit.
type Step struct {
	Action      Action
	Until       time.Time
	Transaction platform.Transaction
}

// Holder acquires and renews one lease for one daemon. It doesn't read the clock
// or do I/O, and it is not safe for concurrent use.
type Holder struct {
	Name Name
	VM   ident.VMID
	// Lifetime is how long the lease remains valid without a renewal. All daemons have
	// the same one if the store may be restored from an older copy.
	Lifetime time.Duration
	// NewWrite returns a value for Record.Write that was never used before.
	NewWrite func() string
	// Era returns the era of the store as of its last response; nil means zero.
	Era func() ident.Era

	// expiresAt is when the lease expires, counted from just before the write that
	// acquired or renewed it was sent. It is zero while the lease is not held.
	expiresAt time.Time
	fence     ident.FencingNumber
	// lastRevision and lastRecord are the row as last seen. From acquirableAt on
	// the lease of that record has certainly expired; zero means that no row was
	// seen yet.
	lastRevision ident.Revision
	lastRecord   Record
	acquirableAt time.Time
	// pending is the write whose outcome is not known, sent at sentAt. Its Write
	// is empty if there is none.
	pending Record
	sentAt  time.Time
	// lastEra is the era of the store in which the row was last seen.
	lastEra ident.Era
	// failures counts the failed accesses to the table since the last success.
	failures int
}

// Held returns the fencing number and whether the lease is held at the time now.
// Call it right before each action that needs the lease: the lease of a process
// that was paused may have expired.
func (holder *Holder) Held(now time.Time) (ident.FencingNumber, bool) {
	return holder.fence, now.Before(holder.expiresAt)
}

// Next returns the next step at the time now.
func (holder *Holder) Next(now time.Time) Step {
	if !holder.expiresAt.IsZero() && !now.Before(holder.expiresAt) {
		holder.expiresAt = time.Time{}
	}
	switch {
	case holder.pending.Write != "" || holder.acquirableAt.IsZero():
		return Step{Action: Read}
	case !holder.expiresAt.IsZero():
		return holder.renewOrSleep(now)
	case now.Before(holder.acquirableAt):
		return Step{Action: Sleep, Until: holder.acquirableAt}
	}
	return holder.commitStep(now, holder.VM, holder.nextFence())
}

// nextFence returns a fencing number above those of all earlier terms. In a later era
// the row may not hold the last of them: then it is above all revisions that the row
// had, each of which was written by at most one term.
func (holder *Holder) nextFence() ident.FencingNumber {
	next := holder.lastRecord.Fence + 1
	if holder.lastEra == 0 {
		return next
	}
	return max(next, ident.FencingNumber(max(holder.lastEra.Revision(0), holder.lastRevision))+1)
}

func (holder *Holder) era() ident.Era {
	if holder.Era == nil {
		return 0
	}
	return holder.Era()
}

func (holder *Holder) renewOrSleep(now time.Time) Step {
	renewAt := holder.expiresAt.Add(-holder.Lifetime + holder.Lifetime/renewalsPerLifetime)
	written := holder.lastRecord.Holder == holder.VM && holder.lastRecord.Fence == holder.fence
	if now.Before(renewAt) && written {
		return Step{Action: Sleep, Until: renewAt}
	}
	return holder.commitStep(now, holder.VM, holder.fence)
}

// Release returns the step that releases the lease in the table, so that another
// daemon need not wait until it expires. Held reports false from then on. If the
// lease is not held, the step is Sleep.
func (holder *Holder) Release(now time.Time) Step {
	_, held := holder.Held(now)
	holder.expiresAt = time.Time{}
	if !held {
		return Step{Action: Sleep, Until: now.Add(holder.Lifetime)}
	}
	return holder.commitStep(now, "", holder.fence)
}

// Committed reports that the platform applied Step.Transaction at revision, and
// returns the next step.
func (holder *Holder) Committed(now time.Time, revision ident.Revision) Step {
	holder.failures = 0
	holder.observe(now, revision, holder.pending)
	return holder.Next(now)
}

// RowRead reports the current row of the lease, or nil if there is none, and
// returns the next step. A row that doesn't decode counts as a failure.
func (holder *Holder) RowRead(now time.Time, row *platform.Row) Step {
	var record Record
	revision := ident.Revision(0)
	if row != nil {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return holder.Failed(now)
		}
		revision = row.Revision
	}
	holder.failures = 0
	holder.observe(now, revision, record)
	return holder.Next(now)
}

// Failed reports that the platform did not respond, so that a write may or may
// not have been applied. It returns a Sleep whose length doubles with each
// consecutive failure, from a tenth of the lifetime up to the lifetime.
func (holder *Holder) Failed(now time.Time) Step {
	holder.failures++
	backoff := min(holder.Lifetime/10<<min(holder.failures-1, 10), holder.Lifetime)
	return Step{Action: Sleep, Until: now.Add(backoff)}
}

// observe records the row as it is now. The lifetime of a lease counts from just
// before the write was sent if this holder wrote it, and otherwise from when the
// revision was first seen here.
func (holder *Holder) observe(now time.Time, revision ident.Revision, record Record) {
	pending := holder.pending
	holder.pending = Record{}
	era := holder.era()
	_, held := holder.Held(now)
	switch {
	case pending.Write != "" && record.Write == pending.Write && (held || era == holder.lastEra):
		holder.applyWrite(record)
	case era > holder.lastEra:
		holder.observeRestored(now, record)
	case revision == holder.lastRevision && !holder.acquirableAt.IsZero():
		return
	default:
		holder.expiresAt = time.Time{}
		holder.acquirableAt = now
		if record.Holder != "" {
			holder.acquirableAt = now.Add(time.Duration(record.LifetimeMs) * time.Millisecond)
		}
	}
	holder.lastRevision = revision
	holder.lastRecord = record
	holder.lastEra = era
}

// observeRestored processes the row of a store that was restored from an older copy.
// Another daemon may hold a lease of which that knows nothing; if this one does, it
// writes its record again.
func (holder *Holder) observeRestored(now time.Time, record Record) {
	if _, held := holder.Held(now); held {
		return
	}
	holder.expiresAt = time.Time{}
	holder.acquirableAt = now.Add(max(holder.Lifetime, time.Duration(record.LifetimeMs)*time.Millisecond))
}

// applyWrite updates the state after a write of this holder, sent at sentAt, was
// found to be applied.
func (holder *Holder) applyWrite(record Record) {
	end := holder.sentAt.Add(holder.Lifetime)
	holder.acquirableAt = end
	if record.Holder == "" {
		return
	}
	holder.fence = record.Fence
	holder.expiresAt = end
}

// commitStep returns the step that writes a record with the given holder and
// fencing number, on condition that the row has not changed since it was last
// seen. The write becomes the pending one.
func (holder *Holder) commitStep(now time.Time, vm ident.VMID, fence ident.FencingNumber) Step {
	holder.sentAt = now
	holder.pending = Record{Holder: vm, Write: holder.NewWrite(), Fence: fence, LifetimeMs: holder.Lifetime.Milliseconds()}
	value, err := json.Marshal(holder.pending)
	if err != nil {
		panic(errors.Wrap(err, "encode lease record"))
	}
	return Step{Action: Commit, Transaction: platform.Transaction{
		Checks: []platform.Check{{Key: holder.Name.Row(), Revision: holder.lastRevision}},
		Writes: []platform.Write{{Key: holder.Name.Row(), Value: value}},
	}}
}
