package split

import (
	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Range is a run of equal cells, as rows and messages hold them.
type Range struct {
	Count     int
	Version   ident.SoftwareVersion
	SettledAt ident.StoreTime
}

// Ranges returns the cells as runs of equal ones.
func (split *Split) Ranges() []Range {
	var ranges []Range
	for i, cell := range split.Cells {
		if i > 0 && cell == split.Cells[i-1] {
			ranges[len(ranges)-1].Count++
			continue
		}
		ranges = append(ranges, Range{Count: 1, Version: cell.Version, SettledAt: cell.SettledAt})
	}
	return ranges
}

// FromRanges returns the split with the given cells. It returns an error unless there
// are CellCount of them, each with a version, and the revision is above zero.
func FromRanges(service ident.ServiceName, revision uint64, ranges []Range) (Split, error) {
	split := Split{Service: service, Revision: revision}
	next := 0
	for _, part := range ranges {
		if part.Count <= 0 || part.Count > CellCount-next || part.Version == "" || part.SettledAt < 0 {
			return Split{}, errors.Newf("split of %q: invalid cells %+v after %d", service, part, next)
		}
		for range part.Count {
			split.Cells[next] = Cell{Version: part.Version, SettledAt: part.SettledAt}
			next++
		}
	}
	if service == "" || revision == 0 || next != CellCount {
		return Split{}, errors.Newf("split of %q: got revision %d and %d cells, want one above 0 and %d", service, revision, next, CellCount)
	}
	return split, nil
}
