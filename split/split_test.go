package split_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/split"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// counts returns how many cells each version has.
func counts(of split.Split) map[ident.SoftwareVersion]int {
	counts := make(map[ident.SoftwareVersion]int)
	for _, cell := range of.Cells {
		counts[cell.Version]++
	}
	return counts
}

func ExampleSplit_Rebalanced() {
	empty := split.Split{Service: "pool"}
	first := empty.Rebalanced(split.Capacity{"v1": 18})
	second := first.Rebalanced(split.Capacity{"v1": 9, "v2": 9})
	fmt.Println(first.Revision, counts(first)["v1"])
	fmt.Println(second.Revision, counts(second)["v1"], counts(second)["v2"])
	// Output:
	// 1 64
	// 2 32 32
}

// capacities generates the upstreams of some versions.
func capacities() *rapid.Generator[split.Capacity] {
	return rapid.Custom(func(t *rapid.T) split.Capacity {
		capacity := make(split.Capacity)
		for _, version := range []ident.SoftwareVersion{"v1", "v2", "v3"} {
			if count := rapid.IntRange(0, 20).Draw(t, string(version)); count > 0 {
				capacity[version] = count
			}
		}
		return capacity
	})
}

// TestRebalancedMovesNoMoreThanNeeded checks that the cells are shared in proportion to
// the capacity, that a version loses cells only if it has too many, and that a cell that
// stays is as settled as it was.
func TestRebalancedMovesNoMoreThanNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		empty := split.Split{Service: "pool"}
		before := empty.Rebalanced(capacities().Draw(t, "before"))
		settled := before.Settle(100)
		capacity := capacities().Draw(t, "after")
		after := settled.Rebalanced(capacity)
		if len(capacity) == 0 {
			if after != settled {
				t.Fatalf("got %v without any capacity, want the split as it was", after)
			}
			return
		}
		total := 0
		for _, count := range capacity {
			total += count
		}
		had, has := counts(settled), counts(after)
		for version, cells := range has {
			exact := float64(capacity[version]) / float64(total) * split.CellCount
			if float64(cells) < exact-1 || float64(cells) > exact+1 {
				t.Fatalf("got %d cells of %s, want %.1f", cells, version, exact)
			}
		}
		for i, cell := range after.Cells {
			switch previous := settled.Cells[i]; {
			case cell.Version == previous.Version && cell != previous:
				t.Fatalf("got cell %d %v, want it unchanged: %v", i, cell, previous)
			case cell.Version != previous.Version && cell.SettledAt != 0:
				t.Fatalf("got cell %d settled although it moved", i)
			case cell.Version != previous.Version && had[cell.Version] > has[cell.Version]:
				t.Fatalf("got a cell moved to %s, which has too many", cell.Version)
			}
		}
		if urgency := after.Due(capacity); urgency == split.DueNow && total <= split.CellCount {
			t.Fatalf("got a rebalanced split due again: %v for %v", has, capacity)
		}
	})
}

func TestDue(t *testing.T) {
	empty := split.Split{Service: "pool"}
	one := empty.Rebalanced(split.Capacity{"v1": 18})
	tests := []struct {
		name     string
		split    split.Split
		capacity split.Capacity
		want     split.Urgency
	}{
		{"no split", empty, split.Capacity{"v1": 1}, split.DueNow},
		{"nothing to move to", empty, nil, split.NotDue},
		{"fits", one, split.Capacity{"v1": 3}, split.NotDue},
		{"first upstream of another version", one, split.Capacity{"v1": 18, "v2": 1}, split.NotDue},
		{"a quarter of another version", one, split.Capacity{"v1": 12, "v2": 4}, split.DueWhenCalm},
		{"half of another version", one, split.Capacity{"v1": 9, "v2": 9}, split.DueNow},
		{"the version has left", one, split.Capacity{"v2": 1}, split.DueNow},
		{"no upstream at all", one, nil, split.NotDue},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.split.Due(test.capacity); got != test.want {
				t.Errorf("got urgency %d, want %d", got, test.want)
			}
		})
	}
}

func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		empty := split.Split{Service: "pool"}
		first := empty.Rebalanced(split.Capacity{"v1": 1})
		want := first.Settle(7)
		want = want.Rebalanced(capacities().Draw(t, "capacity"))
		got, err := split.FromRanges(want.Service, want.Revision, want.Ranges())
		if err != nil || got != want {
			t.Fatalf("got %v and error %v, want %v", got, err, want)
		}
	})
	invalid := map[string][]split.Range{
		"too few":    {{Count: split.CellCount - 1, Version: "v1"}},
		"too many":   {{Count: split.CellCount, Version: "v1"}, {Count: 1, Version: "v1"}},
		"no version": {{Count: split.CellCount}},
		"negative":   {{Count: -1, Version: "v1"}, {Count: split.CellCount + 1, Version: "v1"}},
		"none":       nil,
	}
	for name, ranges := range invalid {
		if _, err := split.FromRanges("pool", 1, ranges); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
