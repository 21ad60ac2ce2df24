package health_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// play gives each of count upstreams a request every 100 ms for the given time,
// where outcome says how the nth request of upstream i ends, and returns the
// upstreams that are set aside at the end.
func play(tracker *health.Tracker, count int, length time.Duration, outcome func(i, n int) health.Outcome) map[int]bool {
	now := start
	for n := 0; now.Before(start.Add(length)); n++ {
		for i := range count {
			tracker.Add(now, "pool", name(i), outcome(i, n))
		}
		now = now.Add(100 * time.Millisecond)
	}
	aside := make(map[int]bool)
	for i := range count {
		if tracker.Ejected(now, name(i)) {
			aside[i] = true
		}
	}
	return aside
}

func name(i int) ident.UpstreamID { return ident.UpstreamID(rune('a' + i)) }

func TestJudgement(t *testing.T) {
	tests := []struct {
		name    string
		outcome func(i, n int) health.Outcome
		// want is the number of upstreams that are set aside.
		want int
	}{
		{"all good", func(_, _ int) health.Outcome { return health.Succeeded }, 0},
		{"one breaks off all", func(i, _ int) health.Outcome {
			if i == 0 {
				return health.Broken
			}
			return health.Succeeded
		}, 1},
		{"one fails most", func(i, n int) health.Outcome {
			if i == 0 && n%5 != 0 {
				return health.ServerError
			}
			return health.Succeeded
		}, 1},
		{"each fails one in seven", func(i, n int) health.Outcome {
			if (i+n)%7 == 0 {
				return health.ServerError
			}
			return health.Succeeded
		}, 0},
		{"all fail half alike", func(i, n int) health.Outcome {
			if (i+n)%2 == 0 {
				return health.ServerError
			}
			return health.Succeeded
		}, 0},
		{"one loses a few answers", func(i, n int) health.Outcome {
			if i == 0 && n%20 == 0 {
				return health.Broken
			}
			return health.Succeeded
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := play(new(health.Tracker), 5, 3*time.Second, test.outcome)
			if len(got) != test.want {
				t.Errorf("got %v set aside, want %d", got, test.want)
			}
		})
	}
}

func TestEjectionsGrowAndEnd(t *testing.T) {
	var tracker health.Tracker
	now := start
	var lengths []time.Duration
	for range 5 {
		if !tracker.Add(now, "pool", "a", health.Unreachable) {
			t.Fatal("got no ejection of an unreachable upstream, want one")
		}
		length := time.Duration(0)
		for tracker.Ejected(now.Add(length), "a") {
			length += 100 * time.Millisecond
		}
		lengths = append(lengths, length)
		now = now.Add(length)
	}
	for i := 1; i < len(lengths); i++ {
		if lengths[i] < lengths[i-1] || lengths[i] > 4*time.Second {
			t.Errorf("got ejections of %v, want growing ones of at most 4 s", lengths)
		}
	}
	tracker.Forget("a")
	if tracker.Ejected(now, "a") {
		t.Error("got an upstream set aside that started anew, want it trusted")
	}
}
