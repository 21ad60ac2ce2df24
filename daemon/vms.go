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
	// listReadsPerSecond is the number of reads of the VM list that the whole
	// fleet shares. What one of them finds, daemons pass on to each other.
	listReadsPerSecond = 6
	minListInterval    = 500 * time.Millisecond
	// behindPart is the part of the interval within which a daemon reads the
	// list that lacks more than the others can tell it.
	behindPart = 16
	// askInterval is the mean time between two questions to a neighbour, which
	// are asked in turn.
	askInterval = 5 * time.Second
	tellTimeout = 2 * time.Second
)

// The net/rpc methods by which daemons pass changes of the VM list on.
const (
	vmsService    = "VMs"
	methodSince   = vmsService + ".Since"
	methodChanged = vmsService + ".Changed"
)

// Events that the watch of the VM list counts.
const (
	eventListRead    = "vms.read"
	eventListLearned = "vms.learned"
	eventListBehind  = "vms.behind"
)

// vmWatch keeps the list of VMs. Each daemon reads the platform's the more
// seldom the larger the fleet is. Whoever learns of a change tells its
// neighbours, and they fetch the change from it. So the whole list, which grows
// with the fleet, is seldom sent, and a change is known everywhere long before
// each daemon has read it. A neighbour is asked now and then as well, in case a
// notice was lost.
type vmWatch struct {
	// self is the daemon's own VM: ID, PeerAddress, Zone and Region.
	self platform.VM
	read func(ctx context.Context, etag string) (platform.VMList, error)
	call func(ctx context.Context, address, method string, args, reply any) error
	// changed takes in each new list.
	changed func(vms []platform.VM)
	// leave is called when the list says that this VM is leaving.
	leave   func()
	metrics *metrics.Set
	logger  *slog.Logger

	// behind holds a token while the others know of a state that they cannot
	// lead to.
	behind chan struct{}
	// asking is held during a question, so that several notices of one change
	// lead to one question.
	asking sync.Mutex
	// applying is held while a list is taken in.
	applying   sync.Mutex
	leaving    map[ident.VMID]bool
	neighbours []string

	mu   sync.Mutex
	list vmlist.List
}

// newVMWatch returns the watch of a daemon that listens for its peers already.
func newVMWatch(base *base, role platform.Role, leave func()) (*vmWatch, error) {
	watch := &vmWatch{
		self: base.vm(role),
		read: base.platform.VMs,
		call: base.links.Call,
		changed: func(vms []platform.VM) {
			base.directory.SetVMs(vms)
			base.settings.SetVMs(vms)
		},
		leave:   leave,
		metrics: base.metrics,
		logger:  base.logger,
		behind:  make(chan struct{}, 1),
	}
	return watch, base.server.Register(vmsService, &vmReceiver{watch: watch})
}

// run reads the platform's list until ctx ends.
func (watch *vmWatch) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	hurried := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-watch.behind:
			if !hurried {
				hurried = true
				timer.Reset(spread(watch.interval() / behindPart))
			}
			continue
		case <-timer.C:
		}
		watch.readOnce(ctx)
		hurried = false
		timer.Reset(spread(watch.interval()))
	}
}

// listAsker asks neighbours for changes of the list.
type listAsker struct {
	watch *vmWatch
}

// loop asks the neighbours in turn until ctx ends.
func (asker *listAsker) loop(ctx context.Context) {
	watch := asker.watch
	var turn []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(spread(askInterval)):
		}
		if len(turn) == 0 {
			turn = watch.neighbourList()
		}
		if len(turn) > 0 {
			watch.ask(ctx, turn[0])
			turn = turn[1:]
		}
	}
}

// interval returns the mean time between two reads of this daemon.
func (watch *vmWatch) interval() time.Duration {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return listInterval(watch.list.Len())
}

// listInterval returns the mean time between two reads of one daemon.
func listInterval(fleet int) time.Duration {
	return max(minListInterval, time.Duration(fleet)*time.Second/listReadsPerSecond)
}

// spread returns a random time around mean, so that daemons do not act at once.
func spread(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

// readOnce reads the platform's list and takes it in if it has changed.
func (watch *vmWatch) readOnce(ctx context.Context) {
	etag := watch.etag()
	// The platform had what it answers after this time.
	at := time.Now()
	list, err := watch.read(ctx, etag)
	switch {
	case err == nil:
		watch.metrics.CountEvent(eventListRead)
	case errors.Is(err, platform.ErrUnchanged):
		watch.mu.Lock()
		watch.list.Confirm(at, etag)
		watch.mu.Unlock()
		return
	default:
		if ctx.Err() == nil {
			watch.logger.Warn("The VM list was not read.", "error", err)
		}
		return
	}
	watch.mu.Lock()
	taken := watch.list.Replace(at, list.ETag, list.VMs)
	watch.mu.Unlock()
	if taken {
		watch.takeIn(ctx, "")
	}
}

func (watch *vmWatch) etag() string {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.list.ETag()
}

// ask asks the daemon at address for what has changed.
func (watch *vmWatch) ask(ctx context.Context, address string) {
	watch.asking.Lock()
	defer watch.asking.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	etag := watch.etag()
	asked := time.Now()
	var news vmlist.News
	if err := watch.call(ctx, address, methodSince, vmlist.Ask{ETag: etag}, &news); err != nil {
		return
	}
	if watch.learn(asked, etag, news) {
		watch.metrics.CountEvent(eventListLearned)
		watch.takeIn(ctx, address)
	}
}

// learn takes in an answer and reports whether the list has changed.
func (watch *vmWatch) learn(asked time.Time, etag string, news vmlist.News) bool {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !news.Known && news.ETag != "" && watch.list.Newer(asked, news.AgeMs) {
		watch.fallBehind()
	}
	return watch.list.Apply(asked, etag, news)
}

// fallBehind asks for a read of the platform's list. It never blocks.
func (watch *vmWatch) fallBehind() {
	select {
	case watch.behind <- struct{}{}:
		watch.metrics.CountEvent(eventListBehind)
	default:
	}
}

// takeIn puts the present list in force and passes it on. From is the daemon
// that gave it, or empty for the platform.
func (watch *vmWatch) takeIn(ctx context.Context, from string) {
	watch.applying.Lock()
	defer watch.applying.Unlock()
	watch.mu.Lock()
	vms, notice := watch.list.VMs(), watch.list.Notice(time.Now(), watch.self.PeerAddress)
	watch.mu.Unlock()
	watch.changed(vms)
	watch.noteLeaving(ctx, vms, from == "")
	for _, address := range watch.renewNeighbours(vms) {
		if address != from {
			told := &vmNotice{call: watch.call, address: address, method: methodChanged, args: notice}
			go told.run(context.WithoutCancel(ctx))
		}
	}
}

// renewNeighbours works out the neighbours and returns them with the former
// ones, since a VM that leaves is told by those that were its neighbours.
func (watch *vmWatch) renewNeighbours(vms []platform.VM) []string {
	former := watch.neighbours
	watch.neighbours = nil
	for _, vm := range peer.Neighbours(watch.self, vms) {
		watch.neighbours = append(watch.neighbours, vm.PeerAddress)
	}
	told := slices.Concat(watch.neighbours, former)
	slices.Sort(told)
	return slices.Compact(told)
}

func (watch *vmWatch) neighbourList() []string {
	watch.applying.Lock()
	defer watch.applying.Unlock()
	return watch.neighbours
}

// noteLeaving acts on the VMs that are newly marked as leaving. A daemon that
// read the mark from the platform tells the VM itself, which may not have heard
// of it; a daemon that heard of it from another need not, or a leaving VM would
// be called by the whole fleet.
func (watch *vmWatch) noteLeaving(ctx context.Context, vms []platform.VM, firstHand bool) {
	leaving := make(map[ident.VMID]bool)
	for _, vm := range vms {
		if !vm.Leaving {
			continue
		}
		leaving[vm.ID] = true
		switch {
		case watch.leaving[vm.ID]:
		case vm.ID == watch.self.ID:
			watch.leave()
		case firstHand && vm.Role == platform.RoleSidecar && vm.PeerAddress != "":
			told := &vmNotice{call: watch.call, address: vm.PeerAddress, method: peer.MethodLeave, args: peer.LeaveArgs{VM: vm.ID}}
			go told.run(context.WithoutCancel(ctx))
		}
	}
	watch.leaving = leaving
}

// vmNotice tells one daemon something about the list. A lost notice is made up
// for by the daemon's own questions and reads.
type vmNotice struct {
	call    func(ctx context.Context, address, method string, args, reply any) error
	address string
	method  string
	args    any
}

func (notice *vmNotice) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	_ = notice.call(ctx, notice.address, notice.method, notice.args, &peer.Nothing{})
}

// vmReceiver serves the list of VMs to peers.
type vmReceiver struct {
	watch *vmWatch
}

// Since answers what has changed after the state that the caller has.
func (receiver *vmReceiver) Since(args vmlist.Ask, reply *vmlist.News) error {
	watch := receiver.watch
	watch.mu.Lock()
	defer watch.mu.Unlock()
	*reply = watch.list.Since(time.Now(), args.ETag)
	return nil
}

// Changed takes a notice and asks its sender, where that has something newer.
func (receiver *vmReceiver) Changed(args vmlist.Notice, _ *peer.Nothing) error {
	watch := receiver.watch
	watch.mu.Lock()
	wanted := args.ETag != watch.list.ETag() && watch.list.Newer(time.Now(), args.AgeMs)
	watch.mu.Unlock()
	if wanted {
		watch.ask(context.Background(), args.From)
	}
	return nil
}
