package peer

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// globalRings is the number of rings through all VMs. Several rings in
// unrelated orders keep the hops between any two VMs near the logarithm of
// their number, at a degree that does not grow.
const globalRings = 2

// Neighbours returns the VMs with which self exchanges settings, derived from
// the list alone. The VMs stand on rings in the order of a hash of their IDs:
// one ring of the zone, one of the region and globalRings of all; the
// neighbours are the next and the previous VM on each. So VMs with the same
// list choose each other, each zone and each region hangs together when cut off
// from the others, and a VM that joins or leaves changes only its neighbours.
// Leaving VMs and those without a peer address are left out.
func Neighbours(self platform.VM, vms []platform.VM) []platform.VM {
	var chosen []platform.VM
	zone := func(vm platform.VM) bool { return vm.Zone == self.Zone && vm.Region == self.Region }
	region := func(vm platform.VM) bool { return vm.Region == self.Region }
	all := func(platform.VM) bool { return true }
	chosen = ringNeighbours(chosen, 0, self, vms, zone)
	chosen = ringNeighbours(chosen, 1, self, vms, region)
	for ring := range uint64(globalRings) {
		chosen = ringNeighbours(chosen, 2+ring, self, vms, all)
	}
	return chosen
}

// ringNeighbours adds the next and the previous VM of self on one ring.
func ringNeighbours(chosen []platform.VM, ring uint64, self platform.VM, vms []platform.VM, on func(platform.VM) bool) []platform.VM {
	own := place(ring, self.ID)
	var next, previous platform.VM
	ahead, behind := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for _, vm := range vms {
		if vm.ID == self.ID || vm.Leaving || vm.PeerAddress == "" || !on(vm) {
			continue
		}
		distance := place(ring, vm.ID) - own
		if distance < ahead {
			ahead, next = distance, vm
		}
		if -distance < behind {
			behind, previous = -distance, vm
		}
	}
	return addVM(addVM(chosen, next), previous)
}

func addVM(chosen []platform.VM, vm platform.VM) []platform.VM {
	if vm.ID == "" {
		return chosen
	}
	for _, present := range chosen {
		if present.ID == vm.ID {
			return chosen
		}
	}
	return append(chosen, vm)
}

func place(ring uint64, id ident.VMID) uint64 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], ring)
	var hash xxhash.Digest
	hash.Reset()
	hash.Write(prefix[:])
	hash.WriteString(string(id))
	return hash.Sum64()
}
