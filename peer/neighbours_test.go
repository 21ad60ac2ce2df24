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

// hops returns the number of hops from start to the last VM that it reaches
// over VMs that may pass on, and how many it reaches.
func hops(links map[ident.VMID][]platform.VM, start platform.VM, on func(platform.VM) bool) (last, reached int) {
	distance := map[ident.VMID]int{start.ID: 0}
	queue := []ident.VMID{start.ID}
	for len(queue) > 0 {
		vm := queue[0]
		queue = queue[1:]
		last = distance[vm]
		for _, next := range links[vm] {
			if _, seen := distance[next.ID]; !seen && on(next) {
				distance[next.ID] = distance[vm] + 1
				queue = append(queue, next.ID)
			}
		}
	}
	return last, len(distance)
}

func count(vms []platform.VM, on func(platform.VM) bool) int {
	found := 0
	for _, vm := range vms {
		if on(vm) {
			found++
		}
	}
	return found
}

func TestNeighboursChooseEachOtherAndHangTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleetOf(rapid.IntRange(1, 60).Draw(t, "size"), rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "zones"))
		links := graph(vms)
		for _, vm := range vms {
			if got := len(links[vm.ID]); got > maxDegree {
				t.Fatalf("got %d neighbours of %s, want at most %d", got, vm.ID, maxDegree)
			}
			for _, neighbour := range links[vm.ID] {
				if !slices.Contains(links[neighbour.ID], vm) {
					t.Fatalf("got %s not chosen back by %s, want it chosen", vm.ID, neighbour.ID)
				}
			}
			within := map[string]func(platform.VM) bool{
				"fleet":  func(platform.VM) bool { return true },
				"region": func(other platform.VM) bool { return other.Region == vm.Region },
				"zone":   func(other platform.VM) bool { return other.Zone == vm.Zone },
			}
			for name, on := range within {
				if _, got := hops(links, vm, on); got != count(vms, on) {
					t.Fatalf("got %d reached in the %s of %s, want %d", got, name, vm.ID, count(vms, on))
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
				t.Fatalf("got %v at %s, want %v: %s was no neighbour", got, vm.ID, want, vms[leaver].ID)
			}
		}
	})
}

func TestHopsStayFew(t *testing.T) {
	checkHops(t, 730)
}

// BenchmarkNeighbours derives the neighbours of one VM at the size to design
// for, and logs the hops at that size.
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
		name string
		on   func(platform.VM) bool
		want int
	}{{"fleet", everywhere, 6}, {"region cut off", oneRegion, 8}}
	for _, test := range tests {
		last, reached := hops(links, vms[0], test.on)
		if want := count(vms, test.on); reached != want {
			t.Errorf("got %d VMs reached in the %s, want %d", reached, test.name, want)
		}
		if last > test.want {
			t.Errorf("got %d hops in the %s, want at most %d", last, test.name, test.want)
		}
		t.Logf("%s: %d hops to the last of %d", test.name, last, reached)
	}
}
