package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// splitCallTimeout bounds a call to the store for splits.
	splitCallTimeout = 2 * time.Second
	// splitCheckInterval is the time between two checks of whether the splits have to
	// change.
	splitCheckInterval = 100 * time.Millisecond
	// splitRepeatInterval is the time between two messages about a split that not all
	// routers are known to have adopted.
	splitRepeatInterval = time.Second
	// pingInterval is the time between two messages to routers that have not shown
	// that they know of splits.
	pingInterval = 300 * time.Millisecond
	// calmTime is how long the upstreams of a service must not have changed for a
	// change of its split that is not urgent.
	calmTime = time.Second
	// restoredRevisions is by how much the revision of a split rises when the store came
	// back from an older copy: more than others are written before that is noticed.
	restoredRevisions = 16
	// coordinatorCount is how many routers change and settle splits: those with the lowest
	// addresses.
	// coordinatorDelay is how much later each of them acts than the one before it.
	coordinatorCount = 3
	coordinatorDelay = 700 * time.Millisecond
)

// versions maintains the splits of services among the software versions of their
// upstreams, and the origins of streams. A split changes by a transaction in the store;
// routers confirm to the coordinators that they have adopted it, and one of those then
// records that it is settled.
type versions struct {
	daemon  *Daemon
	store   *platform.Store
	gossip  *gossip.Gossip
	splits  *split.Tracker
	origins *split.Origins
	metrics *metrics.Set
	logger  *slog.Logger
	// read is closed once the splits were read.
	read      chan struct{}
	era       ident.Era
	refresher *refresher

	// services holds what the loop knows of each service with resumable streams.
	services map[ident.ServiceName]*serviceVersions
	// registered are the routers that this one added as peers since it started.
	registered map[string]struct{}

	// behindOthers is set if another router has adopted a newer split than this one: its
	// writer got no response from the store.
	behindOthers atomic.Bool

	mu sync.Mutex
	// adopted holds which revision of each split the other routers have adopted.
	adopted map[ident.ServiceName]map[string]uint64
}

// storedSplit is the row of a split as last read or written. The version of the row is
// zero if there is none, and the split is empty if it can't be decoded.
type storedSplit struct {
	row   ident.Revision
	split split.Split
}

// serviceVersions is the state of one service.
type serviceVersions struct {
	storedSplit
	capacity split.Capacity
	// changedAt is when capacity changed last, dueAt when the split became due, and
	// repeatedAt when this router last repeated its messages about it.
	changedAt  time.Time
	dueAt      time.Time
	repeatedAt time.Time
	// adoptedAt is since when all routers are known to have adopted a split that is not
	// settled.
	adoptedAt time.Time
}

func newVersions(daemon *Daemon, store *platform.Store, exchange *gossip.Gossip) *versions {
	versions := &versions{
		daemon:     daemon,
		store:      store,
		gossip:     exchange,
		splits:     &daemon.splits,
		origins:    &daemon.origins,
		metrics:    daemon.metrics,
		logger:     logging.Component(daemon.Logger, "versions"),
		read:       daemon.warmup.splitsRead,
		services:   make(map[ident.ServiceName]*serviceVersions),
		registered: make(map[string]struct{}),
		adopted:    make(map[ident.ServiceName]map[string]uint64),
	}
	exchange.OnVersions = versions.receive
	exchange.Splits = versions.splits.All
	daemon.handler.ReplicateOrigin = versions.replicateOrigin
	daemon.handler.FetchOrigin = versions.fetchOrigin
	versions.refresher = &refresher{versions: versions, requests: make(chan *refresh)}
	daemon.handler.RefreshSplits = versions.refresher.refresh
	return versions
}

// run reads the splits once this router is registered, so that a router which changes
// one knows of it, and keeps them until ctx ends.
func (versions *versions) run(ctx context.Context) {
	select {
	case <-versions.daemon.warmup.registered:
	case <-ctx.Done():
		return
	}
	for !versions.readAll(ctx) {
		if !wait.Sleep(ctx, wait.Jitter(strikeRetryInterval)) {
			return
		}
	}
	versions.splits.MarkRead()
	close(versions.read)
	versions.era = versions.store.Era()
	go versions.refresher.run(ctx)
	wait.Every(ctx, splitCheckInterval, func(ctx context.Context) { versions.check(ctx, time.Now()) })
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

// service returns the state of a service.
func (versions *versions) service(name ident.ServiceName) *serviceVersions {
	service := versions.services[name]
	if service == nil {
		service = new(serviceVersions)
		versions.services[name] = service
	}
	return service
}

// adopt puts a split in force unless a newer one is, and confirms that to the
// coordinators.
func (versions *versions) adopt(adopted split.Split, source string) bool {
	if !versions.splits.Adopt(adopted) {
		return false
	}
	versions.metrics.CountEvent("split.adopted")
	versions.logger.Info("Split adopted.", "Service", adopted.Service, "Revision", adopted.Revision, "Settled", adopted.Settled(), "Cells", cellCounts(adopted), "Source", source)
	versions.confirmAdopted(time.Now(), adopted)
	return true
}

// cellCounts returns how many cells each version has.
func cellCounts(of split.Split) map[ident.SoftwareVersion]int {
	counts := make(map[ident.SoftwareVersion]int)
	for _, cell := range of.Cells {
		counts[cell.Version]++
	}
	return counts
}

// confirmAdopted confirms to the coordinators that this router has adopted a split.
func (versions *versions) confirmAdopted(now time.Time, adopted split.Split) {
	if adopted.Settled() {
		return
	}
	item := gossip.AdoptedItem{Service: adopted.Service, Revision: adopted.Revision}
	if coordinators := versions.coordinators(now); len(coordinators) > 0 {
		versions.gossip.SendVersions(gossip.VersionMessage{Adopted: []gossip.AdoptedItem{item}}, coordinators...)
	}
}

// coordinators returns the addresses of the routers that change and settle splits, the
// first to act first.
func (versions *versions) coordinators(now time.Time) []string {
	others := versions.gossip.WithoutVersions(now)
	live := slices.Sorted(slices.Values(versions.gossip.Live(now)))
	live = slices.DeleteFunc(live, func(address string) bool { return slices.Contains(others, address) })
	return live[:min(len(live), coordinatorCount)]
}

// actingDelay returns how long this router waits before it changes a split that another
// one should change.
func (versions *versions) actingDelay(now time.Time) time.Duration {
	rank := slices.Index(versions.coordinators(now), versions.gossip.Address)
	if rank < 0 {
		rank = coordinatorCount + 1
	}
	return time.Duration(rank) * coordinatorDelay
}

// check changes the splits that are due, and settles those that all routers have adopted.
func (versions *versions) check(ctx context.Context, now time.Time) {
	if era := versions.store.Era(); era != versions.era {
		versions.era = era
		versions.restore(ctx, now)
	}
	if versions.behindOthers.Swap(false) {
		versions.readAll(ctx)
	}
	table := versions.daemon.routes.Table()
	if table == nil || !versions.daemon.registry.Loaded() {
		return
	}
	for name := range table.StreamTimeouts() {
		service := versions.service(name)
		capacity := split.Capacity(versions.daemon.registry.Versions(name))
		if !maps.Equal(capacity, service.capacity) {
			service.capacity, service.changedAt = capacity, now
		}
		if versions.isDue(now, name, service) {
			versions.rebalance(ctx, name, service)
			continue
		}
		versions.settle(ctx, now, name, service)
	}
}

// isDue reports whether this router has to change the split of a service now.
func (versions *versions) isDue(now time.Time, name ident.ServiceName, service *serviceVersions) bool {
	current, found := versions.splits.Split(name)
	urgency := current.Due(service.capacity)
	if !found && len(service.capacity) > 0 {
		urgency = split.DueNow
	}
	if urgency == split.NotDue || urgency == split.DueWhenCalm && now.Sub(service.changedAt) < calmTime {
		service.dueAt = time.Time{}
		return false
	}
	if service.dueAt.IsZero() {
		service.dueAt = now
	}
	return now.Sub(service.dueAt) >= versions.actingDelay(now)
}

// rebalance writes the next revision of the split of a service.
func (versions *versions) rebalance(ctx context.Context, name ident.ServiceName, service *serviceVersions) {
	current, _ := versions.splits.Split(name)
	current.Service = name
	if versions.write(ctx, current.Rebalanced(service.capacity), service) {
		versions.metrics.CountEvent("split.rebalanced")
		service.dueAt = time.Time{}
	}
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

// settle records that all routers have adopted the split of a service, once they have.
// Until then it repeats what routers have to know for that.
func (versions *versions) settle(ctx context.Context, now time.Time, name ident.ServiceName, service *serviceVersions) {
	current, found := versions.splits.Split(name)
	if !found || current.Settled() {
		service.adoptedAt = time.Time{}
		if found {
			versions.ping(now, current, service)
			versions.unsettle(ctx, now, current, service)
		}
		return
	}
	behind := versions.behind(current)
	if now.Sub(service.repeatedAt) >= splitRepeatInterval {
		service.repeatedAt = now
		versions.confirmAdopted(now, current)
		if len(behind) > 0 && slices.Contains(versions.coordinators(now), versions.gossip.Address) {
			versions.gossip.SendVersions(gossip.VersionMessage{Splits: []gossip.SplitItem{gossip.NewSplitItem(current)}}, behind...)
		}
	}
	if len(behind) > 0 {
		service.adoptedAt = time.Time{}
		return
	}
	if service.adoptedAt.IsZero() {
		service.adoptedAt = now
	}
	if now.Sub(service.adoptedAt) < versions.actingDelay(now) || !versions.allRegisteredKnown(ctx) {
		return
	}
	if settledAt := versions.splits.StoreTime(time.Now()); settledAt > 0 {
		versions.write(ctx, current.Settle(settledAt), service)
	}
}

// ping sends routers a message that those which know splits answer, if they have sent no
// VersionMessage yet.
func (versions *versions) ping(now time.Time, current split.Split, service *serviceVersions) {
	if now.Sub(service.repeatedAt) < pingInterval {
		return
	}
	if unconfirmed := versions.gossip.Unconfirmed(now); len(unconfirmed) > 0 {
		service.repeatedAt = now
		item := gossip.AdoptedItem{Service: current.Service, Revision: current.Revision}
		versions.gossip.SendVersions(gossip.VersionMessage{Adopted: []gossip.AdoptedItem{item}}, unconfirmed...)
	}
}

// unsettle makes all cells of a split uncertain if a router runs a program that doesn't
// keep to splits, until it has ended.
func (versions *versions) unsettle(ctx context.Context, now time.Time, current split.Split, service *serviceVersions) {
	others := versions.gossip.WithoutVersions(now)
	if len(others) == 0 || slices.Index(versions.coordinators(now), versions.gossip.Address) != 0 {
		return
	}
	if versions.write(ctx, current.Unsettled(), service) {
		versions.metrics.CountEvent("split.unsettled")
		versions.logger.Warn("Split unsettled, routers of an earlier program begin streams at any version.", "Service", current.Service, "Routers", others)
	}
}

// behind returns the other routers that are not known to have adopted a split.
func (versions *versions) behind(current split.Split) []string {
	versions.mu.Lock()
	defer versions.mu.Unlock()
	var behind []string
	for _, address := range versions.gossip.Addresses() {
		if address != versions.gossip.Address && versions.adopted[current.Service][address] < current.Revision {
			behind = append(behind, address)
		}
	}
	return behind
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

// receive applies a message of another router.
func (versions *versions) receive(now time.Time, message gossip.VersionMessage) {
	var reply gossip.VersionMessage
	for _, item := range message.Splits {
		received, err := item.Split()
		if err != nil {
			versions.metrics.CountEvent("gossip.malformed")
			continue
		}
		versions.recordAdopted(message.Address, item.Service, item.Revision)
		versions.adopt(received, "router")
	}
	for _, item := range message.Adopted {
		versions.recordAdopted(message.Address, item.Service, item.Revision)
		current, found := versions.splits.Split(item.Service)
		if item.Revision > current.Revision {
			versions.behindOthers.Store(true)
		}
		if found && (current.Revision > item.Revision || current.Revision == item.Revision && current.Settled()) {
			reply.Splits = append(reply.Splits, gossip.NewSplitItem(current))
		}
	}
	for _, item := range message.Origins {
		versions.origins.Add(now, item.Origin(now))
	}
	for _, attempt := range message.Requested {
		if origin, found := versions.origins.Get(attempt); found {
			reply.Origins = append(reply.Origins, gossip.NewOriginItem(now, origin))
		}
	}
	if len(reply.Splits)+len(reply.Origins) > 0 {
		versions.gossip.SendVersions(reply, message.Address)
	}
}

// recordAdopted records which revision of a split another router has adopted.
func (versions *versions) recordAdopted(address string, service ident.ServiceName, revision uint64) {
	versions.mu.Lock()
	defer versions.mu.Unlock()
	if versions.adopted[service] == nil {
		versions.adopted[service] = make(map[string]uint64)
	}
	versions.adopted[service][address] = max(versions.adopted[service][address], revision)
}
