package peer

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
)

// maxRetainedRevisions is the number of earlier revisions of a team that are kept
// so that a pull can be answered with a delta.
const maxRetainedRevisions = 4

// Events that the replicator counts.
const (
	eventAdopted     = "settings.adopted"
	eventOutdated    = "settings.outdated"
	eventPushFailed  = "settings.push.failed"
	eventPullFailed  = "settings.pull.failed"
	eventStoreFailed = "settings.store.failed"
	eventStoreOlder  = "settings.store.older"
	eventReadyStore  = "settings.ready.store"
	eventReadyPeers  = "settings.ready.peers"
)

// Replicator holds the settings in force at one daemon. It adopts changes that
// the daemon accepted, revisions that neighbours announce and revisions found in
// the store. It announces each newly adopted revision to its neighbours and
// never adopts an older one. Its fields must be set before Run; its methods may
// be called concurrently, also before Run.
type Replicator struct {
	// Self is the daemon's own VM: ID, PeerAddress, Zone and Region.
	Self platform.VM
	// Call calls a net/rpc method of a peer, as Links.Call does.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Heads returns the revision of each team in the store.
	Heads func(ctx context.Context) (map[ident.TeamID]ident.Revision, error)
	// Load returns the settings of the given teams from the store, or of all
	// teams if none is given.
	Load func(ctx context.Context, teams ...ident.TeamID) ([]*settings.Subtree, error)
	// Snapshot returns settings that may be outdated. A new daemon starts from
	// them and loads only newer revisions from the store. May be nil.
	Snapshot func(ctx context.Context) ([]*settings.Subtree, error)
	// WriteAgain writes settings to the store that it has lost. May be nil.
	WriteAgain func(ctx context.Context, subtree *settings.Subtree) error
	// OnAdopt is called with each new revision after it is in force. It may be
	// called concurrently. May be nil.
	OnAdopt func(subtree *settings.Subtree)
	// CompareInterval and MinPollInterval override compareInterval and
	// minPollInterval; zero means the default.
	CompareInterval time.Duration
	MinPollInterval time.Duration
	Metrics         *metrics.Set
	Logger          *slog.Logger

	view  atomic.Pointer[settings.View]
	ready atomic.Bool

	mu         sync.Mutex
	retained   map[ident.TeamID][]*settings.Subtree
	vms        []platform.VM
	neighbours map[string]*neighbour
	fetching   map[ident.TeamID]chan struct{}
	vmsChanged chan struct{}
	tasks      sync.WaitGroup
}

// View returns the settings in force. It is never nil.
func (replicator *Replicator) View() *settings.View {
	view := replicator.view.Load()
	if view == nil {
		return &settings.View{}
	}
	return view
}

// Ready reports whether the daemon has settings that it may serve: those of the
// store or, during an outage of the store, those that a majority of its
// neighbours confirmed.
func (replicator *Replicator) Ready() bool { return replicator.ready.Load() }

// AdoptCommitted puts a subtree in force that this daemon has committed, and
// schedules its announcement to the neighbours. A nil subtree is ignored.
func (replicator *Replicator) AdoptCommitted(subtree *settings.Subtree) {
	if subtree != nil {
		replicator.adopt(subtree)
	}
}

// SetVMs replaces the list of VMs from which the neighbours are derived.
func (replicator *Replicator) SetVMs(vms []platform.VM) {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	replicator.vms = vms
	replicator.signalVMsChanged()
}

// Run replicates settings until ctx ends. It returns after all goroutines that
// it started have ended.
func (replicator *Replicator) Run(ctx context.Context) {
	defer replicator.tasks.Wait()
	replicator.tasks.Add(3)
	starter := &starter{replicator: replicator}
	go starter.loop(ctx)
	poller := &poller{replicator: replicator}
	go poller.loop(ctx)
	comparer := &comparer{replicator: replicator}
	go comparer.loop(ctx)
	vmsChanged := replicator.vmsChangedSignal()
	for {
		select {
		case <-ctx.Done():
			return
		case <-vmsChanged:
			replicator.updateNeighbours(ctx)
		}
	}
}

// adopt puts subtree in force if it is newer than the one in force, and reports
// whether it was.
func (replicator *Replicator) adopt(subtree *settings.Subtree) bool {
	if !replicator.replaceIfNewer(subtree) {
		replicator.Metrics.CountEvent(eventOutdated)
		return false
	}
	replicator.Metrics.CountEvent(eventAdopted)
	replicator.logger().Debug("Settings adopted.", "team", subtree.Team, "revision", subtree.Revision)
	if replicator.OnAdopt != nil {
		replicator.OnAdopt(subtree)
	}
	return true
}

func (replicator *Replicator) replaceIfNewer(subtree *settings.Subtree) bool {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	view := replicator.View()
	present := view.Team(subtree.Team)
	next, newer := view.Adopt(subtree)
	if !newer {
		return false
	}
	replicator.view.Store(next)
	replicator.retain(present)
	for _, neighbour := range replicator.neighbours {
		neighbour.wake()
	}
	return true
}

// retain keeps a replaced subtree as the base of deltas for later pulls. It is
// called with mu held.
func (replicator *Replicator) retain(replaced *settings.Subtree) {
	if replaced == nil {
		return
	}
	if replicator.retained == nil {
		replicator.retained = make(map[ident.TeamID][]*settings.Subtree)
	}
	kept := append(replicator.retained[replaced.Team], replaced)
	if len(kept) > maxRetainedRevisions {
		kept = append([]*settings.Subtree(nil), kept[1:]...)
	}
	replicator.retained[replaced.Team] = kept
}

// retainedAt returns the retained subtree of a revision, or nil.
func (replicator *Replicator) retainedAt(team ident.TeamID, revision ident.Revision) *settings.Subtree {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	for _, subtree := range replicator.retained[team] {
		if subtree.Revision == revision {
			return subtree
		}
	}
	return nil
}

// updateNeighbours starts new neighbours and stops former ones according to the
// current list of VMs.
func (replicator *Replicator) updateNeighbours(ctx context.Context) {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if replicator.neighbours == nil {
		replicator.neighbours = make(map[string]*neighbour)
	}
	wanted := make(map[string]struct{})
	for _, vm := range Neighbours(replicator.Self, replicator.vms) {
		wanted[vm.PeerAddress] = struct{}{}
		if replicator.neighbours[vm.PeerAddress] == nil {
			replicator.neighbours[vm.PeerAddress] = replicator.startNeighbour(ctx, vm.PeerAddress)
		}
	}
	for address, neighbour := range replicator.neighbours {
		if _, kept := wanted[address]; !kept {
			neighbour.cancel()
			delete(replicator.neighbours, address)
		}
	}
}

func (replicator *Replicator) startNeighbour(ctx context.Context, address string) *neighbour {
	ctx, cancel := context.WithCancel(ctx)
	started := &neighbour{
		replicator: replicator,
		address:    address,
		cancel:     cancel,
		wakeup:     make(chan struct{}, 1),
	}
	replicator.tasks.Add(1)
	go started.run(ctx)
	return started
}

// neighbourList returns the current neighbours in no particular order.
func (replicator *Replicator) neighbourList() []*neighbour {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	list := make([]*neighbour, 0, len(replicator.neighbours))
	for neighbour := range maps.Values(replicator.neighbours) {
		list = append(list, neighbour)
	}
	return list
}

func (replicator *Replicator) neighbourAt(address string) *neighbour {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	return replicator.neighbours[address]
}

// fleetSize returns the number of VMs in the list.
func (replicator *Replicator) fleetSize() int {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	return len(replicator.vms)
}

func (replicator *Replicator) vmsChangedSignal() chan struct{} {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	if replicator.vmsChanged == nil {
		replicator.vmsChanged = make(chan struct{}, 1)
	}
	return replicator.vmsChanged
}

// signalVMsChanged makes Run update the neighbours. It is called with mu held.
func (replicator *Replicator) signalVMsChanged() {
	if replicator.vmsChanged == nil {
		replicator.vmsChanged = make(chan struct{}, 1)
	}
	select {
	case replicator.vmsChanged <- struct{}{}:
	default:
	}
}

func (replicator *Replicator) logger() *slog.Logger {
	return logging.Component(replicator.Logger, "settings")
}
