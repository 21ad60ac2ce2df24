package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestWroteAfter reads the rows of one upstream at several times. The time of its
// last write must not lie after that write, whatever happens in between.
func TestWroteAfter(t *testing.T) {
	const first, second = registry.Incarnation(1), registry.Incarnation(2)
	reads := []struct {
		after       time.Duration
		incarnation registry.Incarnation
		version     ident.Revision
		gone        bool
		// want is the time after which the first and the second incarnation
		// wrote, in seconds after the start; -1 means unknown.
		wantFirst, wantSecond int
	}{
		{0, first, 1, false, -1, -1},
		{time.Second, first, 1, false, -1, -1},
		{2 * time.Second, first, 2, false, 0, -1},
		{3 * time.Second, first, 5, false, 2, -1},
		{4 * time.Second, second, 6, false, -1, -1},
		{5 * time.Second, second, 7, false, -1, 4},
		{6 * time.Second, second, 8, true, -1, -1},
	}
	var reg registry.Registry
	for _, read := range reads {
		row := upstream("a")
		row.Incarnation = read.incarnation
		row.Version = read.version
		reg.Apply(timeAt(read.after), []registry.Change{{Upstream: row, Gone: read.gone}})
		for incarnation, want := range map[registry.Incarnation]int{first: read.wantFirst, second: read.wantSecond} {
			got := reg.WroteAfter("a", incarnation)
			if want < 0 && !got.IsZero() || want >= 0 && !got.Equal(timeAt(time.Duration(want)*time.Second)) {
				t.Errorf("got %v for incarnation %d after %v, want %d s after the start", got, incarnation, read.after, want)
			}
		}
	}
}

// TestRanAt reads the rows of one upstream at several times. An incarnation certainly ran
// between the first read of its row and the last one before its latest write.
func TestRanAt(t *testing.T) {
	var reg registry.Registry
	for _, read := range []struct {
		after       time.Duration
		incarnation registry.Incarnation
		version     ident.Revision
	}{{time.Second, 1, 1}, {2 * time.Second, 1, 2}, {3 * time.Second, 1, 3}, {4 * time.Second, 2, 4}, {5 * time.Second, 2, 5}} {
		row := upstream("a")
		row.Incarnation, row.Version = read.incarnation, read.version
		reg.Apply(timeAt(read.after), []registry.Change{{Upstream: row}})
	}
	tests := []struct {
		incarnation registry.Incarnation
		at          time.Duration
		want        bool
	}{
		{2, 4 * time.Second, true},
		{2, 3900 * time.Millisecond, false},
		{2, 4100 * time.Millisecond, false},
		{1, 2 * time.Second, false},
	}
	for _, test := range tests {
		if got := reg.RanAt("a", test.incarnation, timeAt(test.at)); got != test.want {
			t.Errorf("got %t for incarnation %d after %v, want %t", got, test.incarnation, test.at, test.want)
		}
	}
}
