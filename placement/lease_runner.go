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
	// LeaseName is the name of the lease that allows a router to give orders.
	LeaseName lease.Name = "placement"
	// leaseLifetime is how long the lease remains valid without a renewal.
	leaseLifetime = 15 * time.Second
	// tableTimeout bounds one access to the table.
	tableTimeout = 3 * time.Second
	// releaseTimeout bounds the release of the lease when the daemon stops.
	releaseTimeout = time.Second
)

// LeaseRunner acquires and renews the lease for one daemon. Every router runs
// one, and the router that holds the lease gives the orders. Held may be called
// concurrently with Run.
type LeaseRunner struct {
	VM     ident.VMID
	Client *platform.Client
	// Now returns the current time; nil means time.Now.
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

// Run acquires the lease and keeps it until ctx is done, and then releases it.
func (runner *LeaseRunner) Run(ctx context.Context) {
	step := runner.handle(func(holder *lease.Holder) lease.Step { return holder.Next(runner.now()) })
	for ctx.Err() == nil {
		step = runner.perform(ctx, step)
	}
	release := runner.handle(func(holder *lease.Holder) lease.Step { return holder.Release(runner.now()) })
	if release.Action != lease.Commit {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// If the release fails, the lease expires by itself.
	_, _ = runner.Client.Commit(ctx, release.Transaction)
}

// perform carries out a step and returns the next one.
func (runner *LeaseRunner) perform(ctx context.Context, step lease.Step) lease.Step {
	switch step.Action {
	case lease.Read:
		return runner.read(ctx)
	case lease.Commit:
		return runner.commit(ctx, step.Transaction)
	}
	wait.Sleep(ctx, step.Until.Sub(runner.now()))
	return runner.handle(func(holder *lease.Holder) lease.Step { return holder.Next(runner.now()) })
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
		return runner.handle(func(holder *lease.Holder) lease.Step { return holder.Committed(runner.now(), revision) })
	case errors.As(err, &conflict):
		return runner.rowRead(conflict.Conflict.Rows)
	}
	return runner.failed()
}

func (runner *LeaseRunner) rowRead(rows []platform.Row) lease.Step {
	var row *platform.Row
	if len(rows) > 0 {
		row = &rows[0]
	}
	return runner.handle(func(holder *lease.Holder) lease.Step { return holder.RowRead(runner.now(), row) })
}

func (runner *LeaseRunner) failed() lease.Step {
	return runner.handle(func(holder *lease.Holder) lease.Step { return holder.Failed(runner.now()) })
}

// handle passes an event to the state machine and returns the next step.
func (runner *LeaseRunner) handle(event func(holder *lease.Holder) lease.Step) lease.Step {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.holder == nil {
		runner.holder = &lease.Holder{Name: LeaseName, VM: runner.VM, Lifetime: leaseLifetime, NewWrite: uuid.NewString, Era: runner.Client.CurrentEra}
	}
	return event(runner.holder)
}

func (runner *LeaseRunner) now() time.Time {
	if runner.Now == nil {
		return time.Now()
	}
	return runner.Now()
}
