package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// strikeCallTimeout bounds a call to the store for strikes.
	strikeCallTimeout = 2 * time.Second
	// maxRestoreDelay bounds the random pause before a router writes rows again that the
	// store has lost.
	maxRestoreDelay = time.Second
	// strikeRetryInterval is the mean pause after a failed call.
	strikeRetryInterval = 300 * time.Millisecond
)

// strikeStore keeps the strikes of requests that were running at several crashes
// in the store, so that they outlast all routers.
type strikeStore struct {
	store   *platform.Store
	guard   *strike.Guard
	metrics *metrics.Set
	logger  *slog.Logger
	// read is closed once the rows were read.
	read chan struct{}
	// unsaved gets a value when strikes have to be written.
	unsaved chan struct{}
	// era is the era of the store in which all rows were written.
	era ident.Era
	// late holds the calls that the store may still perform.
	late lateCalls
}

// newStrikeStore returns a strikeStore of the daemon's strikes.
func newStrikeStore(daemon *Daemon, store *platform.Store) *strikeStore {
	strikeStore := &strikeStore{
		store:   store,
		guard:   &daemon.strikes,
		metrics: daemon.metrics,
		logger:  logging.Component(daemon.Logger, "strike"),
		read:    daemon.warmup.strikesRead,
		unsaved: make(chan struct{}, 1),
	}
	daemon.strikes.OnUnsaved = strikeStore.announce
	return strikeStore
}

// announce has strikes written soon. It does not block.
func (strikeStore *strikeStore) announce() {
	select {
	case strikeStore.unsaved <- struct{}{}:
	default:
	}
}

// run reads the rows, and then writes what changes until ctx ends.
func (strikeStore *strikeStore) run(ctx context.Context) {
	for !strikeStore.call(ctx, "read", strikeStore.readRows) {
		if !wait.Sleep(ctx, wait.Jitter(strikeRetryInterval)) {
			return
		}
	}
	close(strikeStore.read)
	strikeStore.era = strikeStore.store.Era()
	checkEra := time.NewTicker(eraCheckInterval)
	defer checkEra.Stop()
	for ctx.Err() == nil {
		strikeStore.save(ctx)
		select {
		case <-ctx.Done():
		case <-strikeStore.unsaved:
		case <-checkEra.C:
		}
	}
}

// save writes what changed since the last time. After a failure it pauses.
func (strikeStore *strikeStore) save(ctx context.Context) {
	if era := strikeStore.store.Era(); era != strikeStore.era {
		strikeStore.era = era
		strikeStore.restore(ctx)
	}
	unsaved := strikeStore.guard.TakeUnsaved()
	unsaved.Add(strikeStore.reconcile())
	if len(unsaved.Write)+len(unsaved.Remove) == 0 {
		return
	}
	write := func(ctx context.Context) error {
		err := strikeStore.writeRows(ctx, unsaved)
		if errors.Is(err, platform.ErrLost) {
			strikeStore.late.add(time.Now(), unsaved)
		}
		return err
	}
	if !strikeStore.call(ctx, "write", write) {
		strikeStore.guard.PutBackUnsaved(unsaved)
		wait.Sleep(ctx, wait.Jitter(strikeRetryInterval))
	}
}

// reconcile returns what has to be changed in rows behind calls without an answer.
func (strikeStore *strikeStore) reconcile() strike.Unsaved {
	now := time.Now()
	changes := strikeStore.guard.Reconcile(now, strikeStore.late.take(now))
	if len(changes.Write)+len(changes.Remove) > 0 {
		strikeStore.metrics.CountEvent("strike.row.reconciled")
		strikeStore.logger.Info("Rows of strikes written again behind a call without an answer.", "Written", len(changes.Write), "Removed", len(changes.Remove))
	}
	return changes
}

// restore writes the rows again that the store lost when it was restored from an older
// copy, and reads those of other routers. Routers do so at different times.
func (strikeStore *strikeStore) restore(ctx context.Context) {
	strikeStore.metrics.CountEvent("strike.store.restored")
	strikeStore.guard.SaveAgain(time.Now())
	if wait.Sleep(ctx, rand.N(maxRestoreDelay)) {
		strikeStore.call(ctx, "read", strikeStore.readRows)
	}
}

// call makes one call to the store and reports whether it succeeded. operation is
// logged.
func (strikeStore *strikeStore) call(ctx context.Context, operation string, call func(ctx context.Context) error) bool {
	bounded, cancel := context.WithTimeout(ctx, strikeCallTimeout)
	defer cancel()
	err := call(bounded)
	if err != nil {
		strikeStore.metrics.CountEvent("strike.store.failed")
		strikeStore.logger.Warn("Could not "+operation+" the rows of strikes.", "Error", err)
	}
	return err == nil
}

// readRows applies the strikes that are rows of the store.
func (strikeStore *strikeStore) readRows(ctx context.Context) error {
	records, err := strikeStore.store.ReadAll(ctx, platform.StrikeTable, "")
	if err != nil {
		return err
	}
	report := strike.Report{Saved: true}
	for _, record := range records.Records {
		decoded, err := platform.DecodeStrike(record)
		if err != nil {
			strikeStore.metrics.CountEvent("strike.row.unreadable")
			strikeStore.logger.Warn("Could not decode the row of a strike.", "Key", record.Key, "Error", err)
			continue
		}
		report.Strikes = append(report.Strikes, decoded)
	}
	strikeStore.guard.Apply(time.Now(), report)
	return nil
}

// writeRows writes the rows of new strikes and removes those of strikes that no
// longer count. Either may be repeated.
func (strikeStore *strikeStore) writeRows(ctx context.Context, unsaved strike.Unsaved) error {
	var batch platform.Batch
	for _, strike := range unsaved.Write {
		record, err := platform.EncodeStrike(strike)
		if err != nil {
			return err
		}
		batch.Writes = append(batch.Writes, record)
	}
	for _, strike := range unsaved.Remove {
		batch.Removes = append(batch.Removes, platform.StrikeName(strike))
	}
	return strikeStore.transact(ctx, batch)
}

// transact applies a batch in as many transactions as its size takes, the writes
// first.
func (strikeStore *strikeStore) transact(ctx context.Context, batch platform.Batch) error {
	for len(batch.Writes)+len(batch.Removes) > 0 {
		writes := min(len(batch.Writes), platform.MaxEntries)
		removes := 0
		if writes == 0 {
			removes = min(len(batch.Removes), platform.MaxEntries)
		}
		next := platform.Batch{Writes: batch.Writes[:writes], Removes: batch.Removes[:removes]}
		if _, err := strikeStore.store.Transact(ctx, next); err != nil {
			return err
		}
		batch.Writes, batch.Removes = batch.Writes[writes:], batch.Removes[removes:]
	}
	return nil
}

// logStrike counts and logs a decision on a strike. What other routers saw once is
// in their own logs, so it is logged for debugging only.
func (daemon *Daemon) logStrike(event strike.Event) {
	names := [...]struct{ metric, message string }{
		strike.Counted:   {"strike.added", "Strike counted, the upstream broke off while it ran the request."},
		strike.Withdrawn: {"strike.withdrawn", "Strike withdrawn, the upstream ran on."},
		strike.Cleared:   {"strike.cleared", "Strike cleared, the request succeeded."},
	}
	name := names[event.Decision]
	source, level := "router", slog.LevelDebug
	if event.Strike.Own {
		source = "own"
	}
	if event.Strike.Own || event.Strikes > 1 || event.Decision == strike.Withdrawn {
		level = slog.LevelWarn
	}
	metric := name.metric
	if event.Strike.Part {
		metric = strings.Replace(metric, "strike.", "strike.part.", 1)
		if event.Strikes < 2 && event.Decision == strike.Counted {
			level = slog.LevelDebug
		}
	}
	daemon.metrics.CountEvent(metric)
	daemon.Logger.Log(context.Background(), level, "strike: "+name.message,
		"Fingerprint", event.Strike.Fingerprint.String(), "Kind", keyKind(event.Strike), "Attempt", event.Strike.Attempt,
		"Upstream", event.Strike.Upstream, "Incarnation", event.Strike.Incarnation,
		"At", event.Strike.At, "Strikes", event.Strikes, "Source", source)
}

// keyKind returns what a strike is of, as logged.
func keyKind(strike strike.Strike) string {
	if strike.Part {
		return "part"
	}
	return "request"
}
