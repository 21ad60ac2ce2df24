package capacity_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// vmCounts holds the lengths of the VM list that are measured. The last is the
// full size that docs/CAPACITY.md refers to.
var vmCounts = []int{300, 1200, 2920}

// makeVMs returns a list of count VMs with 37 sidecars for every 10 routers.
func makeVMs(count int) []platform.VM {
	vms := make([]platform.VM, count)
	for i := range vms {
		vms[i] = platform.VM{
			ID:          ident.VMID(fmt.Sprintf("vm-%05d", i)),
			Role:        platform.RoleRouter,
			Address:     fmt.Sprintf("10.%d.%d.%d:7001", i%3, i/250, i%250),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7002", i%3, i/250, i%250),
			Zone:        ident.Zone(fmt.Sprintf("est-%d", i%8)),
			Region:      ident.Region(fmt.Sprintf("est-%d", i%3)),
		}
		if i%47 < 37 {
			vms[i].Role = platform.RoleSidecar
			vms[i].Upstream = &platform.VMUpstream{ID: ident.UpstreamID(fmt.Sprintf("engine-%05d", i)), Model: ident.ModelName(fmt.Sprintf("planogram-7b@%d", i%11))}
		}
	}
	return vms
}

// BenchmarkListRead measures the bytes on the socket and the time of one read of
// the platform's VM list, when the list has changed since the previous read and
// when it has not.
func BenchmarkListRead(b *testing.B) {
	var changed, unchanged []point
	for _, count := range vmCounts {
		fakePlatform := new(standin.Platform)
		for _, vm := range makeVMs(count) {
			fakePlatform.PutVM(vm)
		}
		server := httptest.NewServer(fakePlatform)
		traffic := &metrics.Traffic{Peer: metrics.PeerPlatform}
		client := platform.New(strings.TrimPrefix(server.URL, "http://"), traffic)
		b.Run(fmt.Sprintf("vms=%d/changed", count), func(b *testing.B) {
			bytes := measureListRead(b, client, traffic, "")
			changed = append(changed, point{x1: float64(count), y: bytes})
		})
		b.Run(fmt.Sprintf("vms=%d/unchanged", count), func(b *testing.B) {
			list, err := client.VMs(b.Context(), "")
			if err != nil {
				b.Fatal(err)
			}
			bytes := measureListRead(b, client, traffic, list.ETag)
			unchanged = append(unchanged, point{x1: float64(count), y: bytes})
		})
		server.Close()
	}
	reportLinearFits(b, "-bytes/vm", map[string][]point{"changed": changed, "unchanged": unchanged})
}

// measureListRead reads the list repeatedly and returns the mean number of bytes
// of one read. With an empty etag each read returns the complete list.
func measureListRead(b *testing.B, client *platform.Client, traffic *metrics.Traffic, etag string) float64 {
	before, reads := traffic.Sent()+traffic.Received(), 0
	for b.Loop() {
		if _, err := client.VMs(b.Context(), etag); err != nil && !errors.Is(err, platform.ErrUnchanged) {
			b.Fatal(err)
		}
		reads++
	}
	bytes := float64(traffic.Sent()+traffic.Received()-before) / float64(reads)
	b.ReportMetric(bytes, "bytes/read")
	return bytes
}
