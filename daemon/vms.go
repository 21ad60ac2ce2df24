package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
)

const (
	// listReadsPerSecond bounds the reads of the VM list by the whole fleet.
	listReadsPerSecond = 300
	minListInterval    = 500 * time.Millisecond
	tellTimeout        = 2 * time.Second
)

// vmWatch reads the platform's list of VMs. Each daemon reads it the more
// seldom the larger the fleet is, and tells a VM that is newly marked as
// leaving, so that the first reader's news is enough.
type vmWatch struct {
	base *base
	self ident.VMID
	// leave is called when the list says that this VM is leaving.
	leave   func()
	logger  *slog.Logger
	etag    string
	leaving map[ident.VMID]bool
}

func (watch *vmWatch) run(ctx context.Context) {
	watch.leaving = make(map[ident.VMID]bool)
	timer := time.NewTimer(0)
	defer timer.Stop()
	fleet := 1
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if size, err := watch.read(ctx); err == nil {
			fleet = size
		} else if !errors.Is(err, platform.ErrUnchanged) && ctx.Err() == nil {
			watch.logger.Warn("The VM list was not read.", "error", err)
		}
		timer.Reset(listInterval(fleet))
	}
}

// listInterval returns the time between two reads of one daemon.
func listInterval(fleet int) time.Duration {
	return max(minListInterval, time.Duration(fleet)*time.Second/listReadsPerSecond)
}

// read takes in the list and returns the number of VMs on it.
func (watch *vmWatch) read(ctx context.Context) (int, error) {
	list, err := watch.base.platform.VMs(ctx, watch.etag)
	if err != nil {
		return 0, err
	}
	watch.etag = list.ETag
	watch.base.directory.SetVMs(list.VMs)
	watch.base.settings.SetVMs(list.VMs)
	for _, vm := range list.VMs {
		if vm.Leaving && !watch.leaving[vm.ID] {
			watch.leaving[vm.ID] = true
			watch.tell(ctx, vm)
		}
		if !vm.Leaving {
			delete(watch.leaving, vm.ID)
		}
	}
	return len(list.VMs), nil
}

// tell lets a VM know that the list says it is leaving.
func (watch *vmWatch) tell(ctx context.Context, vm platform.VM) {
	if vm.ID == watch.self {
		if watch.leave != nil {
			watch.leave()
		}
		return
	}
	if vm.Role != platform.RoleSidecar || vm.PeerAddress == "" {
		return
	}
	notice := &leaveNotice{base: watch.base, vm: vm}
	go notice.run(ctx)
}

// leaveNotice tells one sidecar that the platform's list says it is leaving.
type leaveNotice struct {
	base *base
	vm   platform.VM
}

func (notice *leaveNotice) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var nothing peer.Nothing
	err := notice.base.links.Call(ctx, notice.vm.PeerAddress, peer.MethodLeave, peer.LeaveArgs{VM: notice.vm.ID}, &nothing)
	if err != nil {
		notice.base.logger.Debug("A leaving VM was not told.", "vm", notice.vm.ID, "error", err)
	}
}
