package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// callTimeout bounds a call to the store beyond the time that it may wait. A
	// store that sends nothing is given up far earlier, by platform.Store.
	callTimeout = 15 * time.Second
	// dueStep is the time between two looks at whether a call is due.
	dueStep = 50 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call, which doubles
	// with each failure in a row.
	firstPause = 150 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Table follows one table of the store.
type Table struct {
	Name platform.TableName
	// Wait returns how long the store may hold a call without changes; nil means
	// not at all.
	Wait func() ident.Milliseconds
	// Due reports whether a call is due, the last one having been answered at
	// readAt; nil means always.
	Due func(now, readAt time.Time) bool
	// Pause is the time between two calls.
	Pause ident.Milliseconds
	// ReadAll reads the whole table, and Changes what changed since a version.
	ReadAll func(ctx context.Context, table platform.TableName, part platform.Part) (platform.Records, error)
	Changes func(ctx context.Context, table platform.TableName, after ident.Revision, wait ident.Milliseconds) (platform.Records, error)
	// Replaced takes in the whole table, and Changed the rows that changed, both
	// as of a version.
	Replaced func(records []platform.Record, version ident.Revision)
	Changed  func(records []platform.Record, version ident.Revision)
	// Reachable takes in whether the store answered the last call.
	Reachable func(reachable bool)
	Metrics   *metrics.Set
	Logger    *slog.Logger

	version  ident.Revision
	known    bool
	readAt   time.Time
	failures int
}

// Run follows the table until ctx ends.
func (table *Table) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if table.known && table.Due != nil && !table.Due(time.Now(), table.readAt) {
			wait.Sleep(ctx, dueStep)
			continue
		}
		began := time.Now()
		err := table.step(ctx)
		table.Metrics.ObserveStoreCall(string(table.Name), time.Since(began))
		if ctx.Err() != nil {
			return
		}
		wait.Sleep(ctx, table.pause(err))
	}
}

// step makes one call and takes in what it says.
func (table *Table) step(ctx context.Context) error {
	if !table.known {
		return table.readAll(ctx)
	}
	hold := ident.Milliseconds(0)
	if table.failures == 0 && table.Wait != nil {
		// A store that has just come back shows at once what was missed.
		hold = table.Wait()
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout+hold.Duration())
	defer cancel()
	records, err := table.Changes(bounded, table.Name, table.version, hold)
	if errors.Is(err, platform.ErrHistoryLost) {
		table.known = false
		table.Metrics.CountEvent("store.history.lost")
		table.Logger.Warn("History lost, reading the table whole.", "Table", table.Name, "Version", table.version)
		return table.readAll(ctx)
	}
	if err != nil {
		return err
	}
	table.Changed(records.Records, records.Version)
	table.version = max(table.version, records.Version)
	return nil
}

func (table *Table) readAll(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := table.ReadAll(bounded, table.Name, "")
	if err != nil {
		return err
	}
	if records.Version < table.version {
		return errors.Newf("table read at version %d, older than %d", records.Version, table.version)
	}
	table.reached(true, nil)
	table.Replaced(records.Records, records.Version)
	table.version = records.Version
	table.known = true
	return nil
}

// pause returns the time to the next call after one that ended with err.
func (table *Table) pause(err error) time.Duration {
	if err == nil {
		table.reached(true, nil)
		table.failures = 0
		table.readAt = time.Now()
		return table.Pause.Duration()
	}
	table.reached(false, err)
	table.failures++
	return wait.Jitter(min(firstPause<<min(table.failures-1, 8), maxPause))
}

// reached tells of a change between a store that answers and one that does not.
func (table *Table) reached(reachable bool, err error) {
	table.Reachable(reachable)
	switch {
	case reachable && table.failures > 0:
		table.Logger.Info("Table followed again.", "Table", table.Name, "Version", table.version)
	case !reachable && table.failures == 0:
		table.Metrics.CountEvent("store.lost")
		table.Logger.Warn("Store not reached.", "Table", table.Name, "Version", table.version, "Error", err)
	}
}
