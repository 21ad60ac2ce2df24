package placement

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/lease"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// LeaseName is the lease under which orders are given.
	LeaseName lease.Name = "placement"
	// lifetime is how long the lease lasts without a renewal.
	lifetime = 15 * time.Second
	// tableTimeout bounds one use of the table.
	tableTimeout = 3 * time.Second
	// releaseTimeout bounds the giving back of the lease at a stop.
	releaseTimeout = time.Second
)

// LeaseRunner acquires and renews the lease for one daemon. Each router runs one:
// whichever holds the lease gives the orders.
type LeaseRunner struct {
	VM     ident.VMID
	Client *platform.Client
	// Now tells the time; nil means time.Now.
	Now func() time.Time

	mu     sync.Mutex
	holder *lease.Holder
}

// Held returns the fencing number and whether the lease is held now.
func (tenure *LeaseRunner) Held() (ident.FencingNumber, bool) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.holder == nil {
		return 0, false
	}
	return tenure.holder.Held(tenure.now())
}

// Run wants the lease until ctx ends, and then gives it back.
func (tenure *LeaseRunner) Run(ctx context.Context) {
	step := tenure.next(func(holder *lease.Holder) lease.Step { return holder.Next(tenure.now()) })
	for ctx.Err() == nil {
		step = tenure.do(ctx, step)
	}
	release := tenure.next(func(holder *lease.Holder) lease.Step { return holder.Release(tenure.now()) })
	if release.Action != lease.Commit {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// A lease that could not be given back lapses by itself.
	_, _ = tenure.Client.Commit(ctx, release.Transaction)
}

// do carries out a step and returns the one that follows.
func (tenure *LeaseRunner) do(ctx context.Context, step lease.Step) lease.Step {
	switch step.Action {
	case lease.Read:
		return tenure.read(ctx)
	case lease.Commit:
		return tenure.commit(ctx, step.Transaction)
	}
	wait.Sleep(ctx, step.Until.Sub(tenure.now()))
	return tenure.next(func(holder *lease.Holder) lease.Step { return holder.Next(tenure.now()) })
}

func (tenure *LeaseRunner) read(ctx context.Context) lease.Step {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := tenure.Client.Read(ctx, LeaseName.Row())
	if err != nil {
		return tenure.failed()
	}
	return tenure.rowRead(rows)
}

func (tenure *LeaseRunner) commit(ctx context.Context, transaction platform.Transaction) lease.Step {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	revision, err := tenure.Client.Commit(ctx, transaction)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return tenure.next(func(holder *lease.Holder) lease.Step { return holder.Committed(tenure.now(), revision) })
	case errors.As(err, &conflict):
		return tenure.rowRead(conflict.Conflict.Rows)
	}
	return tenure.failed()
}

func (tenure *LeaseRunner) rowRead(rows []platform.Row) lease.Step {
	var present *platform.Row
	if len(rows) > 0 {
		present = &rows[0]
	}
	return tenure.next(func(holder *lease.Holder) lease.Step { return holder.RowRead(tenure.now(), present) })
}

func (tenure *LeaseRunner) failed() lease.Step {
	return tenure.next(func(holder *lease.Holder) lease.Step { return holder.Failed(tenure.now()) })
}

// next tells the holder of an event.
func (tenure *LeaseRunner) next(event func(holder *lease.Holder) lease.Step) lease.Step {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.holder == nil {
		tenure.holder = &lease.Holder{Name: LeaseName, VM: tenure.VM, Lifetime: lifetime, NewWrite: uuid.NewString}
	}
	return event(tenure.holder)
}

func (tenure *LeaseRunner) now() time.Time {
	if tenure.Now == nil {
		return time.Now()
	}
	return tenure.Now()
}
