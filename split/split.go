package split

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
)

// CellCount is the number of cells of a split. A cell is the smallest share of the
// streams of a service that moves from one version to another.
const CellCount = 64

// Key is a hash of what a stream and the requests that take it up have in common.
type Key uint64

// Cell returns the index of the cell of a stream.
func (key Key) Cell() int { return int(key % CellCount) }

// Cell is one cell of a split. Version begins its streams. SettledAt is when all
// routers were known to have adopted that, or zero while that is not known.
type Cell struct {
	Version   ident.SoftwareVersion
	SettledAt ident.StoreTime
}

// Split assigns the streams of a service to versions. A higher revision replaces a
// lower one.
type Split struct {
	Service  ident.ServiceName
	Revision uint64
	Cells    [CellCount]Cell
}

// Capacity holds how many upstreams of each version of a service take new requests.
type Capacity map[ident.SoftwareVersion]int

// total returns the number of upstreams of all versions.
func (capacity Capacity) total() int {
	total := 0
	for _, count := range capacity {
		total += count
	}
	return total
}

// Settled reports whether all routers are known to have adopted the split.
func (split *Split) Settled() bool {
	return !slices.ContainsFunc(split.Cells[:], func(cell Cell) bool { return cell.SettledAt == 0 })
}

// Settle returns the split with all cells settled, those that were not since the given
// time.
func (split *Split) Settle(at ident.StoreTime) Split {
	settled := *split
	for i := range settled.Cells {
		if settled.Cells[i].SettledAt == 0 {
			settled.Cells[i].SettledAt = at
		}
	}
	return settled
}

// Unsettled returns the next revision of the split with no cell settled: some router does
// not keep to it.
func (split *Split) Unsettled() Split {
	next := *split
	next.Revision++
	for i := range next.Cells {
		next.Cells[i].SettledAt = 0
	}
	return next
}

// Rebalanced returns the next revision of the split, whose cells are shared in
// proportion to capacity. It moves as few cells as possible. Without any capacity it
// returns the split itself.
func (split *Split) Rebalanced(capacity Capacity) Split {
	next := *split
	targets := targets(capacity)
	if len(targets) == 0 {
		return next
	}
	next.Revision++
	var moved []int
	for i, cell := range next.Cells {
		if targets[cell.Version] == 0 {
			moved = append(moved, i)
			continue
		}
		targets[cell.Version]--
	}
	versions := slices.Sorted(maps.Keys(targets))
	for _, i := range moved {
		for targets[versions[0]] == 0 {
			versions = versions[1:]
		}
		targets[versions[0]]--
		next.Cells[i] = Cell{Version: versions[0]}
	}
	return next
}

// share is the part of the cells that a version is to have.
type share struct {
	version   ident.SoftwareVersion
	cells     int
	remainder int
}

// targets returns the number of cells of each version in proportion to capacity. The
// sum is CellCount.
func targets(capacity Capacity) map[ident.SoftwareVersion]int {
	total := capacity.total()
	if total == 0 {
		return nil
	}
	var shares []share
	left := CellCount
	for _, version := range slices.Sorted(maps.Keys(capacity)) {
		product := capacity[version] * CellCount
		shares = append(shares, share{version: version, cells: product / total, remainder: product % total})
		left -= product / total
	}
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(b.remainder, a.remainder) })
	targets := make(map[ident.SoftwareVersion]int, len(shares))
	for i, share := range shares {
		targets[share.version] = share.cells
		if i < left {
			targets[share.version]++
		}
	}
	return targets
}

// Urgency says how soon a split has to follow a change of capacity.
type Urgency int

// The urgencies.
const (
	// NotDue means that the split fits the capacity well enough.
	NotDue Urgency = iota
	// DueWhenCalm means that the split should change once the capacity changes no
	// more.
	DueWhenCalm
	// DueNow means that streams can't begin, or overload a version.
	DueNow
)

const (
	// calmOverload and urgentOverload are how many times its fair share of the
	// streams a version may have. Other requests make up for less, and each move
	// leaves the origin of some streams uncertain for a while.
	calmOverload   = 1.3
	urgentOverload = 1.5
)

// Due returns how soon the split has to be rebalanced for capacity.
func (split *Split) Due(capacity Capacity) Urgency {
	total := capacity.total()
	if total == 0 {
		return NotDue
	}
	counts := make(map[ident.SoftwareVersion]int)
	for _, cell := range split.Cells {
		counts[cell.Version]++
	}
	urgency := NotDue
	for version, cells := range counts {
		fair := float64(capacity[version]) / float64(total) * CellCount
		switch {
		case float64(cells) > urgentOverload*fair:
			return DueNow
		case float64(cells) > calmOverload*fair:
			urgency = DueWhenCalm
		}
	}
	return urgency
}

// Newer reports whether the split replaces other, which is one of the same service.
func (split *Split) Newer(other *Split) bool {
	if split.Revision != other.Revision {
		return split.Revision > other.Revision
	}
	return split.Settled() && !other.Settled()
}
