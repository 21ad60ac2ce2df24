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

// LeaseRunner acquires and renews the lease for one daemon. Each router runs
// one: whichever holds the lease gives the orders.
type LeaseRunner struct {
	VM     ident.VMID
	Client *platform.Client
	// Now tells the time; nil means time.Now.
	Now func() time.Time

	mu     sync.Mutex
	holder *lease.Holder
}

// Held returns the fencing number and whether the lease is held now.
func (runner *LeaseRunner) Held() (ident.FencingNumber, bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.holder == nil {
		return 0, false
	}
	return runner.holder.Held(runner.now())
}

// Run wants the lease until ctx ends, and then gives it back.
func (runner *LeaseRunner) Run(ctx context.Context) {
	step := runner.next(func(holder *lease.Holder) lease.Step { return holder.Next(runner.now()) })
	for ctx.Err() == nil {
		step = runner.do(ctx, step)
	}
	release := runner.next(func(holder *lease.Holder) lease.Step { return holder.Release(runner.now()) })
	if release.Action != lease.Commit {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// A lease that could not be given back lapses by itself.
	_, _ = runner.Client.Commit(ctx, release.Transaction)
}

// do carries out a step and returns the one that follows.
func (runner *LeaseRunner) do(ctx context.Context, step lease.Step) lease.Step {
	switch step.Action {
	case lease.Read:
		return runner.read(ctx)
	case lease.Commit:
		return runner.commit(ctx, step.Transaction)
	}
	wait.Sleep(ctx, step.Until.Sub(runner.now()))
	return runner.next(func(holder *lease.Holder) lease.Step { return holder.Next(runner.now()) })
}

func (runner *LeaseRunner) read(ctx context.Context) lease.Step {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := runner.Client.Read(ctx, LeaseName.Row())
	if err != nil {
		return runner.failed()
	}
	return runner.rowRead(rows)
}

func (runner *LeaseRunner) commit(ctx context.Context, transaction platform.Transaction) lease.Step {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	revision, err := runner.Client.Commit(ctx, transaction)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return runner.next(func(holder *lease.Holder) lease.Step { return holder.Committed(runner.now(), revision) })
	case errors.As(err, &conflict):
		return runner.rowRead(conflict.Conflict.Rows)
	}
	return runner.failed()
}

func (runner *LeaseRunner) rowRead(rows []platform.Row) lease.Step {
	var present *platform.Row
	if len(rows) > 0 {
		present = &rows[0]
	}
	return runner.next(func(holder *lease.Holder) lease.Step { return holder.RowRead(runner.now(), present) })
}

func (runner *LeaseRunner) failed() lease.Step {
	return runner.next(func(holder *lease.Holder) lease.Step { return holder.Failed(runner.now()) })
}

// next tells the holder of an event.
func (runner *LeaseRunner) next(event func(holder *lease.Holder) lease.Step) lease.Step {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.holder == nil {
		runner.holder = &lease.Holder{Name: LeaseName, VM: runner.VM, Lifetime: lifetime, NewWrite: uuid.NewString}
	}
	return event(runner.holder)
}

func (runner *LeaseRunner) now() time.Time {
	if runner.Now == nil {
		return time.Now()
	}
	return runner.Now()
}
