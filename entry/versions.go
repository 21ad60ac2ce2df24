package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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

// service returns the state of a service.
func (versions *versions) service(name ident.ServiceName) *serviceVersions {
	service := versions.services[name]
	if service == nil {
		service = new(serviceVersions)
		versions.services[name] = service
	}
	return service
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
