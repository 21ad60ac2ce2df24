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

// fleet is a set of watchers that call each other, together with the platform's
// list.
type fleet struct {
	watchers map[string]*vmWatcher

	mu      sync.Mutex
	vms     []platform.VM
	version int
	// fullReads counts the reads that returned the complete list since the last
	// change.
	fullReads int
	// partitioned holds the addresses at which calls fail.
	partitioned map[string]bool
	// leaveNotices counts the notifications to leave by address.
	leaveNotices map[string]int
}

func newFleet(count int) *fleet {
	fleet := &fleet{watchers: make(map[string]*vmWatcher), partitioned: make(map[string]bool), leaveNotices: make(map[string]int), version: 1}
	for i := range count {
		vm := platform.VM{ID: ident.VMID(fmt.Sprint("vm-", i)), Role: platform.RoleSidecar, PeerAddress: fmt.Sprint("peer-", i), Zone: "est-a", Region: "est"}
		fleet.vms = append(fleet.vms, vm)
		fleet.watchers[vm.PeerAddress] = &vmWatcher{
			self:     vm,
			read:     fleet.read,
			call:     fleet.call,
			onChange: func([]platform.VM) {},
			onLeave:  func() {},
			logger:   slog.New(slog.DiscardHandler),
			readSoon: make(chan struct{}, 1),
		}
	}
	return fleet
}

func (fleet *fleet) read(_ context.Context, etag string) (platform.VMList, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if etag == fmt.Sprint(fleet.version) {
		return platform.VMList{}, platform.ErrUnchanged
	}
	fleet.fullReads++
	return platform.VMList{ETag: fmt.Sprint(fleet.version), VMs: slices.Clone(fleet.vms)}, nil
}

func (fleet *fleet) call(_ context.Context, address, method string, args, reply any) error {
	fleet.mu.Lock()
	called, unreachable := fleet.watchers[address], fleet.partitioned[address]
	if method == peer.MethodLeave {
		fleet.leaveNotices[address]++
	}
	fleet.mu.Unlock()
	if called == nil || unreachable {
		return errors.New("unreachable")
	}
	receiver := &vmReceiver{watcher: called}
	switch method {
	case methodSince:
		return receiver.Since(args.(vmlist.Ask), reply.(*vmlist.News))
	case methodChanged:
		return receiver.Changed(args.(vmlist.Notice), reply.(*peer.Nothing))
	}
	return nil
}

// changeList changes the platform's list.
func (fleet *fleet) changeList(change func(vms []platform.VM) []platform.VM) {
	time.Sleep(time.Second)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.vms = change(fleet.vms)
	fleet.version++
	fleet.fullReads = 0
}

// readAll lets every daemon read the platform's list, as at its start.
func (fleet *fleet) readAll(ctx context.Context) {
	for _, watcher := range fleet.watchers {
		watcher.readOnce(ctx)
	}
	synctest.Wait()
}

// check compares the list of each daemon that is not partitioned with the
// platform's list.
func (fleet *fleet) check(t *testing.T) {
	t.Helper()
	var want vmlist.List
	want.Replace(time.Now(), "", fleet.vms)
	for address, watcher := range fleet.watchers {
		if got := watcher.list.VMs(); !fleet.partitioned[address] && !reflect.DeepEqual(got, want.VMs()) {
			t.Errorf("%s: got %d VMs of version %s, want %d of version %d", address, len(got), watcher.list.ETag(), len(fleet.vms), fleet.version)
		}
	}
}

// After one daemon reads a change, all daemons get it without another complete
// read.
func TestOneReadTellsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(60)
		fleet.readAll(t.Context())
		fleet.changeList(func(vms []platform.VM) []platform.VM {
			return append(vms[1:], platform.VM{ID: "vm-new", PeerAddress: "peer-new"})
		})
		fleet.watchers["peer-7"].readOnce(t.Context())
		synctest.Wait()
		fleet.check(t)
		if got, want := fleet.fullReads, 1; got != want {
			t.Errorf("got %d complete reads, want %d", got, want)
		}
	})
}

// A daemon that missed notifications gets the changes by querying its neighbours.
func TestAskingMakesUpForLostNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(20)
		fleet.readAll(t.Context())
		fleet.partitioned["peer-3"] = true
		for range 3 {
			fleet.changeList(func(vms []platform.VM) []platform.VM {
				vms[len(vms)-1].Address = fmt.Sprint("10.0.0.1:", fleet.version)
				return vms
			})
			fleet.watchers["peer-7"].readOnce(t.Context())
			synctest.Wait()
		}
		fleet.partitioned["peer-3"] = false
		ctx, cancel := context.WithCancel(t.Context())
		go (&peerPoller{watcher: fleet.watchers["peer-3"]}).loop(ctx)
		time.Sleep(2 * peerQueryInterval)
		cancel()
		synctest.Wait()
		fleet.check(t)
		if got, want := fleet.fullReads, 1; got != want {
			t.Errorf("got %d complete reads after the last change, want %d", got, want)
		}
	})
}

// A daemon whose peers have a newer list but cannot send it the changes reads the
// platform's list soon instead of at its regular time.
func TestDaemonThatFellBehindReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(120)
		fleet.readAll(t.Context())
		fleet.partitioned["peer-3"] = true
		fleet.changeList(func(vms []platform.VM) []platform.VM {
			for i := range vms {
				vms[i].Address = "10.0.0.1:1"
			}
			return vms
		})
		fleet.watchers["peer-7"].readOnce(t.Context())
		fleet.changeList(func(vms []platform.VM) []platform.VM { return vms[:119] })
		fleet.watchers["peer-7"].readOnce(t.Context())
		synctest.Wait()
		fleet.partitioned["peer-3"] = false
		behind := fleet.watchers["peer-3"]
		behind.queryPeer(t.Context(), "peer-7")
		ctx, cancel := context.WithCancel(t.Context())
		go behind.run(ctx)
		time.Sleep(2 * listInterval(120) / behindDivisor)
		cancel()
		synctest.Wait()
		fleet.check(t)
	})
}

// A leaving VM is notified once, by the daemon that read the mark from the platform,
// and leaves once when it gets the list itself. The other daemons do not call it.
func TestLeavingVMIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(30)
		fleet.readAll(t.Context())
		leaveCalls := 0
		fleet.watchers["peer-5"].onLeave = func() { leaveCalls++ }
		fleet.changeList(func(vms []platform.VM) []platform.VM {
			vms[5].Leaving = true
			return vms
		})
		fleet.watchers["peer-7"].readOnce(t.Context())
		synctest.Wait()
		fleet.watchers["peer-9"].readOnce(t.Context())
		synctest.Wait()
		if got, want := fleet.leaveNotices["peer-5"], 1; got != want {
			t.Errorf("got %d notifications to leave, want %d", got, want)
		}
		if leaveCalls != 1 {
			t.Errorf("got %d calls of onLeave by its own list, want 1", leaveCalls)
		}
	})
}

func TestListInterval(t *testing.T) {
	for size, want := range map[int]time.Duration{0: minListInterval, 3: minListInterval, 12: 2 * time.Second, 2922: 487 * time.Second} {
		if got := listInterval(size); got != want {
			t.Errorf("%d daemons: got %s, want %s", size, got, want)
		}
	}
}
