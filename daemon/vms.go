package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/vmlist"
)

const (
	// fleetListReadsPerSecond is the rate at which all daemons together read the
	// VM list. Daemons send each other the changes that one of them reads.
	fleetListReadsPerSecond = 6
	minListInterval         = 500 * time.Millisecond
	// behindDivisor shortens the interval to the next read for a daemon whose peers
	// have a newer list but cannot send it the changes.
	behindDivisor = 16
	// peerQueryInterval is the mean time between two queries to neighbours, which
	// are queried in turn.
	peerQueryInterval = 5 * time.Second
	peerCallTimeout   = 2 * time.Second
)

// The net/rpc methods by which daemons send each other changes of the VM list.
const (
	vmsService    = "VMs"
	methodSince   = vmsService + ".Since"
	methodChanged = vmsService + ".Changed"
)

// Names of the events counted in the metrics.
const (
	eventListRead     = "vms.read"
	eventListFromPeer = "vms.learned"
	eventListBehind   = "vms.behind"
)

// vmWatcher maintains the list of VMs. The larger the fleet, the less often each
// daemon reads the platform's list. A daemon that receives a change notifies its
// neighbours, which then fetch the change from it. The complete list, which grows
// with the fleet, is therefore sent rarely, and a change reaches all daemons long
// before each of them has read the list. Neighbours are also queried periodically
// in case a notification was lost.
type vmWatcher struct {
	// self is the daemon's own VM: ID, PeerAddress, Zone and Region.
	self platform.VM
	read func(ctx context.Context, etag string) (platform.VMList, error)
	call func(ctx context.Context, address, method string, args, reply any) error
	// onChange is called with each new list.
	onChange func(vms []platform.VM)
	// onLeave is called when the list marks this VM as leaving.
	onLeave func()
	metrics *metrics.Set
	logger  *slog.Logger

	// readSoon holds a token while peers have a newer list but cannot send the
	// changes that lead to it.
	readSoon chan struct{}
	// queryMu is held during a query, so that several notifications of one change
	// lead to one query.
	queryMu sync.Mutex
	// applyMu is held while a list is published. It guards leaving and neighbours.
	applyMu    sync.Mutex
	leaving    map[ident.VMID]bool
	neighbours []string

	mu   sync.Mutex
	list vmlist.List
}

// newVMWatcher returns the watcher of a daemon and registers its net/rpc service.
// The peer listener must be open.
func newVMWatcher(base *base, role platform.Role, leave func()) (*vmWatcher, error) {
	watcher := &vmWatcher{
		self: base.selfVM(role),
		read: base.platform.VMs,
		call: base.links.Call,
		onChange: func(vms []platform.VM) {
			base.directory.SetVMs(vms)
			base.settings.SetVMs(vms)
		},
		onLeave:  leave,
		metrics:  base.metrics,
		logger:   base.logger,
		readSoon: make(chan struct{}, 1),
	}
	return watcher, base.server.Register(vmsService, &vmReceiver{watcher: watcher})
}

// run reads the platform's list until ctx ends.
func (watcher *vmWatcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	readSoonScheduled := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcher.readSoon:
			if !readSoonScheduled {
				readSoonScheduled = true
				timer.Reset(jitter(watcher.interval() / behindDivisor))
			}
			continue
		case <-timer.C:
		}
		watcher.readOnce(ctx)
		readSoonScheduled = false
		timer.Reset(jitter(watcher.interval()))
	}
}

// peerPoller queries neighbours for changes of the list.
type peerPoller struct {
	watcher *vmWatcher
}

// loop queries the neighbours in turn until ctx ends.
func (poller *peerPoller) loop(ctx context.Context) {
	watcher := poller.watcher
	var queue []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(peerQueryInterval)):
		}
		if len(queue) == 0 {
			queue = watcher.currentNeighbours()
		}
		if len(queue) > 0 {
			watcher.queryPeer(ctx, queue[0])
			queue = queue[1:]
		}
	}
}

// interval returns the mean time between two reads by this daemon at the present
// size of the fleet.
func (watcher *vmWatcher) interval() time.Duration {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return listInterval(watcher.list.Len())
}

// listInterval returns the mean time between two reads by one daemon of a fleet of
// the given size.
func listInterval(fleetSize int) time.Duration {
	return max(minListInterval, time.Duration(fleetSize)*time.Second/fleetListReadsPerSecond)
}

// jitter returns a random time between half of mean and 1.5 times mean, so that
// daemons do not act simultaneously.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

// readOnce reads the platform's list and publishes it if it has changed.
func (watcher *vmWatcher) readOnce(ctx context.Context) {
	etag := watcher.etag()
	// The response reflects the state of the platform at this time or later.
	startedAt := time.Now()
	list, err := watcher.read(ctx, etag)
	switch {
	case err == nil:
		watcher.metrics.CountEvent(eventListRead)
	case errors.Is(err, platform.ErrUnchanged):
		watcher.mu.Lock()
		watcher.list.Confirm(startedAt, etag)
		watcher.mu.Unlock()
		return
	default:
		if ctx.Err() == nil {
			watcher.logger.Warn("Reading the VM list failed.", "error", err)
		}
		return
	}
	watcher.mu.Lock()
	changed := watcher.list.Replace(startedAt, list.ETag, list.VMs)
	watcher.mu.Unlock()
	if changed {
		watcher.publish(ctx, "")
	}
}

func (watcher *vmWatcher) etag() string {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return watcher.list.ETag()
}

// queryPeer asks the daemon at address for changes of the list.
func (watcher *vmWatcher) queryPeer(ctx context.Context, address string) {
	watcher.queryMu.Lock()
	defer watcher.queryMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	etag := watcher.etag()
	askedAt := time.Now()
	var update vmlist.News
	if err := watcher.call(ctx, address, methodSince, vmlist.Ask{ETag: etag}, &update); err != nil {
		return
	}
	if watcher.applyUpdate(askedAt, etag, update) {
		watcher.metrics.CountEvent(eventListFromPeer)
		watcher.publish(ctx, address)
	}
}

// applyUpdate applies a peer's reply to a query sent at askedAt for the changes
// since etag. It reports whether the list has changed.
func (watcher *vmWatcher) applyUpdate(askedAt time.Time, etag string, update vmlist.News) bool {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if !update.Known && update.ETag != "" && watcher.list.Newer(askedAt, update.AgeMs) {
		watcher.requestRead()
	}
	return watcher.list.Apply(askedAt, etag, update)
}

// requestRead requests a read of the platform's list ahead of its regular time. It
// never blocks.
func (watcher *vmWatcher) requestRead() {
	select {
	case watcher.readSoon <- struct{}{}:
		watcher.metrics.CountEvent(eventListBehind)
	default:
	}
}

// publish calls onChange with the current list and notifies the neighbours, except
// the peer at address from, which sent the change. from is empty if the list was
// read from the platform.
func (watcher *vmWatcher) publish(ctx context.Context, from string) {
	watcher.applyMu.Lock()
	defer watcher.applyMu.Unlock()
	watcher.mu.Lock()
	vms, notice := watcher.list.VMs(), watcher.list.Notice(time.Now(), watcher.self.PeerAddress)
	watcher.mu.Unlock()
	watcher.onChange(vms)
	watcher.handleLeaving(ctx, vms, from == "")
	for _, address := range watcher.updateNeighbours(vms) {
		if address != from {
			notification := &peerNotice{call: watcher.call, address: address, method: methodChanged, args: notice}
			go notification.run(context.WithoutCancel(ctx))
		}
	}
}

// updateNeighbours recomputes the neighbours. It returns the new and the former
// ones, because a leaving VM is no longer a neighbour but must still be notified.
func (watcher *vmWatcher) updateNeighbours(vms []platform.VM) []string {
	former := watcher.neighbours
	watcher.neighbours = nil
	for _, vm := range peer.Neighbours(watcher.self, vms) {
		watcher.neighbours = append(watcher.neighbours, vm.PeerAddress)
	}
	addresses := slices.Concat(watcher.neighbours, former)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (watcher *vmWatcher) currentNeighbours() []string {
	watcher.applyMu.Lock()
	defer watcher.applyMu.Unlock()
	return watcher.neighbours
}

// handleLeaving acts on VMs that are newly marked as leaving. A daemon that read
// the mark from the platform notifies the VM directly, which may not know yet. A
// daemon that received the mark from a peer does not, because otherwise the entire
// fleet would call the leaving VM.
func (watcher *vmWatcher) handleLeaving(ctx context.Context, vms []platform.VM, fromPlatform bool) {
	leaving := make(map[ident.VMID]bool)
	for _, vm := range vms {
		if !vm.Leaving {
			continue
		}
		leaving[vm.ID] = true
		switch {
		case watcher.leaving[vm.ID]:
		case vm.ID == watcher.self.ID:
			watcher.onLeave()
		case fromPlatform && vm.Role == platform.RoleSidecar && vm.PeerAddress != "":
			notification := &peerNotice{call: watcher.call, address: vm.PeerAddress, method: peer.MethodLeave, args: peer.LeaveArgs{VM: vm.ID}}
			go notification.run(context.WithoutCancel(ctx))
		}
	}
	watcher.leaving = leaving
}

// peerNotice notifies one daemon of a change of the list. If the call fails, the
// daemon finds the change by its own queries and reads.
type peerNotice struct {
	call    func(ctx context.Context, address, method string, args, reply any) error
	address string
	method  string
	args    any
}

func (notice *peerNotice) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_ = notice.call(ctx, notice.address, notice.method, notice.args, &peer.Nothing{})
}

// vmReceiver serves the list of VMs to peers.
type vmReceiver struct {
	watcher *vmWatcher
}

// Since replies with the changes after the state that the caller has.
func (receiver *vmReceiver) Since(args vmlist.Ask, reply *vmlist.News) error {
	watcher := receiver.watcher
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	*reply = watcher.list.Since(time.Now(), args.ETag)
	return nil
}

// Changed handles a notification: it queries the sender if its list is newer.
func (receiver *vmReceiver) Changed(args vmlist.Notice, _ *peer.Nothing) error {
	watcher := receiver.watcher
	watcher.mu.Lock()
	newer := args.ETag != watcher.list.ETag() && watcher.list.Newer(time.Now(), args.AgeMs)
	watcher.mu.Unlock()
	if newer {
		watcher.queryPeer(context.Background(), args.From)
	}
	return nil
}
