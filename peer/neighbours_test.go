package peer_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
)

const maxDegree = 8

func fleetOf(size, regions, zones int) []platform.VM {
	vms := make([]platform.VM, 0, size)
	for i := range size {
		region := i % regions
		vms = append(vms, platform.VM{
			ID:          ident.VMID(fmt.Sprintf("vm-%d", i)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250+1),
			Region:      ident.Region(fmt.Sprintf("region-%d", region)),
			Zone:        ident.Zone(fmt.Sprintf("zone-%d-%d", region, i/regions%zones)),
		})
	}
	return vms
}

func graph(vms []platform.VM) map[ident.VMID][]platform.VM {
	links := make(map[ident.VMID][]platform.VM, len(vms))
	for _, vm := range vms {
		links[vm.ID] = peer.Neighbours(vm, vms)
	}
	return links
}

// hops returns the number of hops from start to the most distant VM that can be
// reached over VMs for which member returns true, and the number of VMs reached
// including start.
func hops(links map[ident.VMID][]platform.VM, start platform.VM, member func(platform.VM) bool) (last, reached int) {
	distance := map[ident.VMID]int{start.ID: 0}
	queue := []ident.VMID{start.ID}
	for len(queue) > 0 {
		vm := queue[0]
		queue = queue[1:]
		last = distance[vm]
		for _, next := range links[vm] {
			if _, seen := distance[next.ID]; !seen && member(next) {
				distance[next.ID] = distance[vm] + 1
				queue = append(queue, next.ID)
			}
		}
	}
	return last, len(distance)
}

func count(vms []platform.VM, member func(platform.VM) bool) int {
	found := 0
	for _, vm := range vms {
		if member(vm) {
			found++
		}
	}
	return found
}

func TestNeighboursAreMutualAndConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleetOf(rapid.IntRange(1, 60).Draw(t, "size"), rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "zones"))
		links := graph(vms)
		for _, vm := range vms {
			if got := len(links[vm.ID]); got > maxDegree {
				t.Fatalf("got %d neighbours of %s, want at most %d", got, vm.ID, maxDegree)
			}
			for _, neighbour := range links[vm.ID] {
				if !slices.Contains(links[neighbour.ID], vm) {
					t.Fatalf("got %s not among the neighbours of %s, want a symmetric relation", vm.ID, neighbour.ID)
				}
			}
			scopes := map[string]func(platform.VM) bool{
				"fleet":  func(platform.VM) bool { return true },
				"region": func(other platform.VM) bool { return other.Region == vm.Region },
				"zone":   func(other platform.VM) bool { return other.Zone == vm.Zone },
			}
			for name, member := range scopes {
				if _, got := hops(links, vm, member); got != count(vms, member) {
					t.Fatalf("got %d VMs reached in the %s of %s, want %d", got, name, vm.ID, count(vms, member))
				}
			}
		}
	})
}

func TestLeaverChangesOnlyItsNeighbours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleetOf(rapid.IntRange(2, 60).Draw(t, "size"), 3, 2)
		leaver := rapid.IntRange(0, len(vms)-1).Draw(t, "leaver")
		before := graph(vms)
		after := slices.Clone(vms)
		after[leaver].Leaving = true
		for index, vm := range vms {
			if index == leaver || slices.Contains(before[vm.ID], vms[leaver]) {
				continue
			}
			if got, want := peer.Neighbours(vm, after), before[vm.ID]; !slices.Equal(got, want) {
				t.Fatalf("got neighbours %v of %s, want %v unchanged: %s was not a neighbour", got, vm.ID, want, vms[leaver].ID)
			}
		}
	})
}

func TestHopsStayFew(t *testing.T) {
	checkHops(t, 730)
}

// BenchmarkNeighbours computes the neighbours of one VM at the fleet size that
// the system is designed for, and logs the number of hops at that size.
func BenchmarkNeighbours(b *testing.B) {
	vms := fleetOf(2920, 3, 3)
	checkHops(b, len(vms))
	b.ReportAllocs()
	for b.Loop() {
		peer.Neighbours(vms[0], vms)
	}
}

func checkHops(t testing.TB, size int) {
	t.Helper()
	vms := fleetOf(size, 3, 3)
	links := graph(vms)
	everywhere := func(platform.VM) bool { return true }
	oneRegion := func(vm platform.VM) bool { return vm.Region == "region-0" }
	tests := []struct {
		name   string
		member func(platform.VM) bool
		want   int
	}{{"fleet", everywhere, 6}, {"partitioned region", oneRegion, 8}}
	for _, test := range tests {
		last, reached := hops(links, vms[0], test.member)
		if want := count(vms, test.member); reached != want {
			t.Errorf("got %d VMs reached in the %s, want %d", reached, test.name, want)
		}
		if last > test.want {
			t.Errorf("got %d hops in the %s, want at most %d", last, test.name, test.want)
		}
		t.Logf("%s: %d hops to the last of %d", test.name, last, reached)
	}
}
