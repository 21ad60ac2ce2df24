package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/vmlist"
)

// watches is a fleet of watches that call each other, and the platform's list.
type watches struct {
	all map[string]*vmWatch

	mu    sync.Mutex
	vms   []platform.VM
	state int
	// whole counts the reads that sent the whole list.
	whole int
	// cut holds the addresses that cannot be called.
	cut map[string]bool
	// left counts the notices to leave.
	left map[string]int
}

func newWatches(count int) *watches {
	watches := &watches{all: make(map[string]*vmWatch), cut: make(map[string]bool), left: make(map[string]int), state: 1}
	for i := range count {
		vm := platform.VM{ID: ident.VMID(fmt.Sprint("vm-", i)), Role: platform.RoleSidecar, PeerAddress: fmt.Sprint("peer-", i), Zone: "est-a", Region: "est"}
		watches.vms = append(watches.vms, vm)
		watches.all[vm.PeerAddress] = &vmWatch{
			self:    vm,
			read:    watches.read,
			call:    watches.call,
			changed: func([]platform.VM) {},
			leave:   func() {},
			logger:  slog.New(slog.DiscardHandler),
			behind:  make(chan struct{}, 1),
		}
	}
	return watches
}

func (watches *watches) read(_ context.Context, etag string) (platform.VMList, error) {
	watches.mu.Lock()
	defer watches.mu.Unlock()
	if etag == fmt.Sprint(watches.state) {
		return platform.VMList{}, platform.ErrUnchanged
	}
	watches.whole++
	return platform.VMList{ETag: fmt.Sprint(watches.state), VMs: slices.Clone(watches.vms)}, nil
}

func (watches *watches) call(_ context.Context, address, method string, args, reply any) error {
	watches.mu.Lock()
	called, cut := watches.all[address], watches.cut[address]
	if method == peer.MethodLeave {
		watches.left[address]++
	}
	watches.mu.Unlock()
	if called == nil || cut {
		return errors.New("unreachable")
	}
	receiver := &vmReceiver{watch: called}
	switch method {
	case methodSince:
		return receiver.Since(args.(vmlist.Ask), reply.(*vmlist.News))
	case methodChanged:
		return receiver.Changed(args.(vmlist.Notice), reply.(*peer.Nothing))
	}
	return nil
}

// change changes the platform's list.
func (watches *watches) change(change func(vms []platform.VM) []platform.VM) {
	time.Sleep(time.Second)
	watches.mu.Lock()
	defer watches.mu.Unlock()
	watches.vms = change(watches.vms)
	watches.state++
	watches.whole = 0
}

// readAll has every daemon read the platform's list, as at its start.
func (watches *watches) readAll(ctx context.Context) {
	for _, watch := range watches.all {
		watch.readOnce(ctx)
	}
	synctest.Wait()
}

// check compares the list of each daemon that is not cut off with the
// platform's.
func (watches *watches) check(t *testing.T) {
	t.Helper()
	var want vmlist.List
	want.Replace(time.Now(), "", watches.vms)
	for address, watch := range watches.all {
		if got := watch.list.VMs(); !watches.cut[address] && !reflect.DeepEqual(got, want.VMs()) {
			t.Errorf("%s: got %d VMs of state %s, want %d of state %d", address, len(got), watch.list.ETag(), len(watches.vms), watches.state)
		}
	}
}

// One daemon reads a change; all have it without another whole read.
func TestOneReadTellsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := newWatches(60)
		watches.readAll(t.Context())
		watches.change(func(vms []platform.VM) []platform.VM {
			return append(vms[1:], platform.VM{ID: "vm-new", PeerAddress: "peer-new"})
		})
		watches.all["peer-7"].readOnce(t.Context())
		synctest.Wait()
		watches.check(t)
		if got, want := watches.whole, 1; got != want {
			t.Errorf("got %d whole reads, want %d", got, want)
		}
	})
}

// A daemon that missed the notices catches up by its own questions.
func TestAskingMakesUpForLostNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := newWatches(20)
		watches.readAll(t.Context())
		watches.cut["peer-3"] = true
		for range 3 {
			watches.change(func(vms []platform.VM) []platform.VM {
				vms[len(vms)-1].Address = fmt.Sprint("10.0.0.1:", watches.state)
				return vms
			})
			watches.all["peer-7"].readOnce(t.Context())
			synctest.Wait()
		}
		watches.cut["peer-3"] = false
		ctx, cancel := context.WithCancel(t.Context())
		go (&listAsker{watch: watches.all["peer-3"]}).loop(ctx)
		time.Sleep(2 * askInterval)
		cancel()
		synctest.Wait()
		watches.check(t)
		if got, want := watches.whole, 1; got != want {
			t.Errorf("got %d whole reads after the last change, want %d", got, want)
		}
	})
}

// A daemon whose state nobody can lead on from reads the list itself, soon and
// not at its next turn.
func TestDaemonThatFellBehindReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := newWatches(120)
		watches.readAll(t.Context())
		watches.cut["peer-3"] = true
		watches.change(func(vms []platform.VM) []platform.VM {
			for i := range vms {
				vms[i].Address = "10.0.0.1:1"
			}
			return vms
		})
		watches.all["peer-7"].readOnce(t.Context())
		watches.change(func(vms []platform.VM) []platform.VM { return vms[:119] })
		watches.all["peer-7"].readOnce(t.Context())
		synctest.Wait()
		watches.cut["peer-3"] = false
		late := watches.all["peer-3"]
		late.ask(t.Context(), "peer-7")
		ctx, cancel := context.WithCancel(t.Context())
		go late.run(ctx)
		time.Sleep(2 * listInterval(120) / behindPart)
		cancel()
		synctest.Wait()
		watches.check(t)
	})
}

// A leaving VM is told by the daemon that read it, and acts on the list itself
// too; the whole fleet does not call it.
func TestLeavingVMIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := newWatches(30)
		watches.readAll(t.Context())
		left := 0
		watches.all["peer-5"].leave = func() { left++ }
		watches.change(func(vms []platform.VM) []platform.VM {
			vms[5].Leaving = true
			return vms
		})
		watches.all["peer-7"].readOnce(t.Context())
		synctest.Wait()
		watches.all["peer-9"].readOnce(t.Context())
		synctest.Wait()
		if got, want := watches.left["peer-5"], 1; got != want {
			t.Errorf("got told %d times, want %d", got, want)
		}
		if left != 1 {
			t.Errorf("got left %d times by its own list, want 1", left)
		}
	})
}

func TestListInterval(t *testing.T) {
	for fleet, want := range map[int]time.Duration{0: minListInterval, 3: minListInterval, 12: 2 * time.Second, 2922: 487 * time.Second} {
		if got := listInterval(fleet); got != want {
			t.Errorf("%d daemons: got %s, want %s", fleet, got, want)
		}
	}
}
