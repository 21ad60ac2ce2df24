package directory_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// sidecarVM returns a VM whose upstream has the same name and serves model m@1.
func sidecarVM(name string, region ident.Region) platform.VM {
	upstream := &platform.VMUpstream{ID: ident.UpstreamID(name), Model: "m@1"}
	return platform.VM{ID: ident.VMID(name), Role: platform.RoleSidecar, Region: region, Upstream: upstream}
}

// poolSize returns the number of upstreams in the pool of model m@1.
func poolSize(d *directory.Directory) int {
	pool := d.Pool(directory.PoolKey{Model: "m@1"})
	if pool == nil {
		return 0
	}
	return len(pool.Entries)
}

func TestLeavingUpstreamIsInNoPool(t *testing.T) {
	var d directory.Directory
	d.SetVMs([]platform.VM{sidecarVM("a", ""), sidecarVM("b", "")})
	d.ObserveSidecar("a", "run1", true)
	if got, want := poolSize(&d), 1; got != want {
		t.Errorf("after the upstream reported that it is leaving: got %d upstreams, want %d", got, want)
	}
	d.ObserveSidecar("a", "run1", false)
	if got, want := poolSize(&d), 1; got != want {
		t.Errorf("after a delayed report of the same incarnation: got %d upstreams, want %d", got, want)
	}
	d.SetVMs([]platform.VM{sidecarVM("a", ""), sidecarVM("b", "")})
	if got, want := poolSize(&d), 1; got != want {
		t.Errorf("after an outdated list: got %d upstreams, want %d", got, want)
	}
	d.ObserveSidecar("a", "run2", false)
	if got, want := poolSize(&d), 2; got != want {
		t.Errorf("after a restart: got %d upstreams, want %d", got, want)
	}
}

// TestLateReportOfAnEarlierRun guards against work for a leaving upstream because a
// report of its sidecar's earlier run arrived late.
func TestLateReportOfAnEarlierRun(t *testing.T) {
	var d directory.Directory
	d.SetVMs([]platform.VM{sidecarVM("a", ""), sidecarVM("b", "")})
	d.ObserveSidecar("a", "run1", false)
	d.ObserveSidecar("a", "run2", true)
	d.ObserveSidecar("a", "run1", false)
	if got, want := poolSize(&d), 1; got != want {
		t.Errorf("after a late report of the earlier run: got %d upstreams, want %d", got, want)
	}
	if got, want := d.Incarnation("a"), "run2"; got != want {
		t.Errorf("got incarnation %s, want %s", got, want)
	}
}

func TestPoolFallsBackToOtherRegions(t *testing.T) {
	d := directory.Directory{Region: "est"}
	d.SetVMs([]platform.VM{sidecarVM("a", "est"), sidecarVM("b", "ouest")})
	if got, want := poolSize(&d), 1; got != want {
		t.Errorf("got %d upstreams, want the %d of region est", got, want)
	}
	d.SetVMs([]platform.VM{sidecarVM("b", "ouest")})
	if got, want := poolSize(&d), 1; got != want {
		t.Errorf("got %d upstreams, want the %d of region ouest", got, want)
	}
}
