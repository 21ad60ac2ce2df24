package peer

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// globalRings is the number of rings that contain all VMs. Several rings with
// independent orders keep the number of hops between any two VMs close to the
// logarithm of the number of VMs, while the number of neighbours stays constant.
const globalRings = 2

// Neighbours returns the VMs with which self exchanges settings. The result
// depends only on the list: VMs are placed on rings in the order of a hash of
// their IDs, one ring for the availability zone, one for the region and
// globalRings for all VMs. The neighbours are the next and the previous VM on
// each ring. So the relation is symmetric for VMs with the same list, each zone
// and each region stays connected when it is partitioned from the others, and a
// VM that joins or leaves affects only its neighbours. Leaving VMs and those
// without a peer address are skipped.
func Neighbours(self platform.VM, vms []platform.VM) []platform.VM {
	var neighbours []platform.VM
	zone := func(vm platform.VM) bool { return vm.Zone == self.Zone && vm.Region == self.Region }
	region := func(vm platform.VM) bool { return vm.Region == self.Region }
	all := func(platform.VM) bool { return true }
	neighbours = ringNeighbours(neighbours, 0, self, vms, zone)
	neighbours = ringNeighbours(neighbours, 1, self, vms, region)
	for ring := range uint64(globalRings) {
		neighbours = ringNeighbours(neighbours, 2+ring, self, vms, all)
	}
	return neighbours
}

// ringNeighbours appends the next and the previous VM of self on one ring, which
// contains the VMs for which member returns true.
func ringNeighbours(neighbours []platform.VM, ring uint64, self platform.VM, vms []platform.VM, member func(platform.VM) bool) []platform.VM {
	position := ringPosition(ring, self.ID)
	var next, previous platform.VM
	nextDistance, previousDistance := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for _, vm := range vms {
		if vm.ID == self.ID || vm.Leaving || vm.PeerAddress == "" || !member(vm) {
			continue
		}
		distance := ringPosition(ring, vm.ID) - position
		if distance < nextDistance {
			nextDistance, next = distance, vm
		}
		if -distance < previousDistance {
			previousDistance, previous = -distance, vm
		}
	}
	return appendUnique(appendUnique(neighbours, next), previous)
}

func appendUnique(vms []platform.VM, vm platform.VM) []platform.VM {
	if vm.ID == "" {
		return vms
	}
	for _, present := range vms {
		if present.ID == vm.ID {
			return vms
		}
	}
	return append(vms, vm)
}

func ringPosition(ring uint64, id ident.VMID) uint64 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], ring)
	var hash xxhash.Digest
	hash.Reset()
	hash.Write(prefix[:])
	hash.WriteString(string(id))
	return hash.Sum64()
}
