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

// retained is the number of earlier revisions of a team that are kept in order
// to answer a pull with a step.
const retained = 4

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

// Replicator keeps the settings in force at one daemon. It adopts what the
// daemon accepted, what neighbours announce and what the store holds, passes
// each new revision on once, and never adopts an older one. Its fields are set
// before Run; its methods may be called concurrently, also before Run.
type Replicator struct {
	// Self is the daemon's own VM: ID, PeerAddress, Zone and Region.
	Self platform.VM
	// Call reaches a peer, as Links.Call does.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Heads returns the revision of each team in the store.
	Heads func(ctx context.Context) (map[ident.TeamID]ident.Revision, error)
	// Load returns the settings of teams in the store, all where none is named.
	Load func(ctx context.Context, teams ...ident.TeamID) ([]*settings.Subtree, error)
	// Snapshot returns settings that may be old, from which a new daemon goes on
	// to what is newer in the store; nil means that there are none.
	Snapshot func(ctx context.Context) ([]*settings.Subtree, error)
	// Adopted is told of each new revision in force; nil tells nobody.
	Adopted func(subtree *settings.Subtree)
	// CompareEvery and LeastPollEvery change the defaults of the constants
	// compareEvery and leastPollEvery.
	CompareEvery   time.Duration
	LeastPollEvery time.Duration
	Metrics        *metrics.Set
	Logger         *slog.Logger

	view  atomic.Pointer[settings.View]
	ready atomic.Bool

	mu         sync.Mutex
	former     map[ident.TeamID][]*settings.Subtree
	vms        []platform.VM
	neighbours map[string]*neighbour
	fetching   map[ident.TeamID]chan struct{}
	relisted   chan struct{}
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
// store, or during an outage of it those that most of its neighbours confirm.
func (replicator *Replicator) Ready() bool { return replicator.ready.Load() }

// Accepted puts a subtree in force that this daemon has committed, and announces
// it at once.
func (replicator *Replicator) Accepted(subtree *settings.Subtree) {
	if subtree != nil {
		replicator.adopt(subtree)
	}
}

// SetVMs replaces the list of VMs from which the neighbours are derived.
func (replicator *Replicator) SetVMs(vms []platform.VM) {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	replicator.vms = vms
	replicator.signalRelisted()
}

// Run replicates until ctx ends and every task of it has ended.
func (replicator *Replicator) Run(ctx context.Context) {
	defer replicator.tasks.Wait()
	replicator.tasks.Add(3)
	starter := &starter{replicator: replicator}
	go starter.loop(ctx)
	poller := &poller{replicator: replicator}
	go poller.loop(ctx)
	comparer := &comparer{replicator: replicator}
	go comparer.loop(ctx)
	relisted := replicator.relistedSignal()
	for {
		select {
		case <-ctx.Done():
			return
		case <-relisted:
			replicator.relink(ctx)
		}
	}
}

// adopt puts subtree in force if it is newer, and reports whether it was.
func (replicator *Replicator) adopt(subtree *settings.Subtree) bool {
	if !replicator.replace(subtree) {
		replicator.Metrics.CountEvent(eventOutdated)
		return false
	}
	replicator.Metrics.CountEvent(eventAdopted)
	replicator.logger().Debug("Adopted settings.", "team", subtree.Team, "revision", subtree.Revision)
	if replicator.Adopted != nil {
		replicator.Adopted(subtree)
	}
	return true
}

func (replicator *Replicator) replace(subtree *settings.Subtree) bool {
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

// retain keeps a replaced subtree for the steps of later pulls.
func (replicator *Replicator) retain(replaced *settings.Subtree) {
	if replaced == nil {
		return
	}
	if replicator.former == nil {
		replicator.former = make(map[ident.TeamID][]*settings.Subtree)
	}
	kept := append(replicator.former[replaced.Team], replaced)
	if len(kept) > retained {
		kept = append([]*settings.Subtree(nil), kept[1:]...)
	}
	replicator.former[replaced.Team] = kept
}

// formerAt returns the retained subtree of a revision, or nil.
func (replicator *Replicator) formerAt(team ident.TeamID, revision ident.Revision) *settings.Subtree {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	for _, subtree := range replicator.former[team] {
		if subtree.Revision == revision {
			return subtree
		}
	}
	return nil
}

// relink starts and ends neighbours as the list of VMs says.
func (replicator *Replicator) relink(ctx context.Context) {
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
		news:       make(chan struct{}, 1),
	}
	replicator.tasks.Add(1)
	go started.run(ctx)
	return started
}

// neighbourList returns the present neighbours.
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

// fleet returns the number of daemons in the list of VMs.
func (replicator *Replicator) fleet() int {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	return len(replicator.vms)
}

func (replicator *Replicator) relistedSignal() chan struct{} {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	if replicator.relisted == nil {
		replicator.relisted = make(chan struct{}, 1)
	}
	return replicator.relisted
}

// signalRelisted is called with mu held.
func (replicator *Replicator) signalRelisted() {
	if replicator.relisted == nil {
		replicator.relisted = make(chan struct{}, 1)
	}
	select {
	case replicator.relisted <- struct{}{}:
	default:
	}
}

func (replicator *Replicator) logger() *slog.Logger {
	return logging.Component(replicator.Logger, "settings")
}
