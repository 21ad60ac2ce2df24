package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/wait"
)

// storedSplit is the row of a split as last read or written. The version of the row is
// zero if there is none, and the split is empty if it can't be decoded.
type storedSplit struct {
	row   ident.Revision
	split split.Split
}

// readAll reads the splits, and the versions of their rows, and reports whether that
// succeeded.
func (versions *versions) readAll(ctx context.Context) bool {
	rows, read := versions.readRows(ctx, splitCallTimeout)
	if !read {
		return false
	}
	for _, service := range versions.services {
		service.storedSplit = storedSplit{}
	}
	for name, row := range rows {
		versions.service(name).storedSplit = row
	}
	return true
}

// readRows reads and adopts the splits in the store. It returns them by service, and
// whether that succeeded.
func (versions *versions) readRows(ctx context.Context, timeout time.Duration) (map[ident.ServiceName]storedSplit, bool) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records, err := versions.store.ReadAll(bounded, platform.SplitTable, "")
	if err != nil {
		versions.metrics.CountEvent("split.store.failed")
		versions.logger.Warn("Could not read the splits.", "Error", err)
		return nil, false
	}
	versions.splits.ObserveClock(time.Now(), records.Now)
	rows := make(map[ident.ServiceName]storedSplit, len(records.Records))
	for _, record := range records.Records {
		adopted, err := platform.DecodeSplit(record)
		rows[ident.ServiceName(record.Key)] = storedSplit{row: record.Version, split: adopted}
		if err != nil {
			versions.metrics.CountEvent("split.row.unreadable")
			versions.logger.Warn("Could not decode the row of a split.", "Key", record.Key, "Error", err)
			continue
		}
		versions.adopt(adopted, "store")
	}
	return rows, true
}

// write writes a split whose row must be the one last read, adopts it and sends it to
// all routers. It reports whether that succeeded.
func (versions *versions) write(ctx context.Context, next split.Split, service *serviceVersions) bool {
	record, err := platform.EncodeSplit(next)
	if err != nil {
		versions.logger.Error("Could not encode a split.", "Service", next.Service, "Error", err)
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, splitCallTimeout)
	defer cancel()
	expected := platform.Expectation{Row: platform.SplitName(next.Service), Version: service.row}
	row, err := versions.store.Transact(bounded, platform.Batch{Expected: []platform.Expectation{expected}, Writes: []platform.Record{record}})
	if err != nil {
		versions.writeFailed(ctx, next.Service, err)
		return false
	}
	service.storedSplit = storedSplit{row: row, split: next}
	versions.adopt(next, "own")
	versions.gossip.SendVersions(gossip.VersionMessage{Splits: []gossip.SplitItem{gossip.NewSplitItem(next)}})
	return true
}

// writeFailed reads the splits again after a write of one failed, since another router
// may have written it, or pauses if the store does not answer.
func (versions *versions) writeFailed(ctx context.Context, service ident.ServiceName, err error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		versions.metrics.CountEvent("split.store.failed")
		versions.logger.Warn("Could not write a split.", "Service", service, "Error", err)
		wait.Sleep(ctx, wait.Jitter(strikeRetryInterval))
	}
	versions.readAll(ctx)
}

// allRegisteredKnown reports whether all registered routers were peers of this one, and
// adds those that were not. Each read of the store brings its clock.
func (versions *versions) allRegisteredKnown(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, splitCallTimeout)
	defer cancel()
	records, err := versions.store.ReadAll(bounded, platform.RouterTable, "")
	if err != nil {
		versions.metrics.CountEvent("split.store.failed")
		return false
	}
	versions.splits.ObserveClock(time.Now(), records.Now)
	for _, address := range versions.gossip.Addresses() {
		versions.registered[address] = struct{}{}
	}
	known := true
	for _, record := range records.Records {
		if _, found := versions.registered[string(record.Key)]; !found {
			known = false
			versions.gossip.Add(string(record.Key))
		}
	}
	return known
}

// restore writes the splits again that the store lost when it was restored from an older
// copy, unless another router has. Some router may have written another split under the
// same revision meanwhile, so they get higher ones, and no cell is settled.
func (versions *versions) restore(ctx context.Context, now time.Time) {
	wait.Sleep(ctx, versions.actingDelay(now))
	if !versions.readAll(ctx) {
		versions.era = 0
		return
	}
	versions.metrics.CountEvent("split.store.restored")
	for _, current := range versions.splits.All() {
		service := versions.service(current.Service)
		if service.split == current {
			continue
		}
		next := current.Unsettled()
		next.Revision += restoredRevisions
		versions.write(ctx, next, service)
	}
}
