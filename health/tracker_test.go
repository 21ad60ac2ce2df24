package health_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runPool adds the outcome of a request every 100 ms for each of count upstreams
// and returns the upstreams that are ejected at the end. The function outcome
// gives the result of the nth request of upstream i.
func runPool(tracker *health.Tracker, count int, length time.Duration, outcome func(i, n int) health.Outcome) map[int]bool {
	now := start
	for n := 0; now.Before(start.Add(length)); n++ {
		for i := range count {
			tracker.Add(now, "pool", upstreamID(i), outcome(i, n))
		}
		now = now.Add(100 * time.Millisecond)
	}
	ejected := make(map[int]bool)
	for i := range count {
		if tracker.Ejected(now, upstreamID(i)) {
			ejected[i] = true
		}
	}
	return ejected
}

func upstreamID(i int) ident.UpstreamID { return ident.UpstreamID(rune('a' + i)) }

func TestEjection(t *testing.T) {
	tests := []struct {
		name    string
		outcome func(i, n int) health.Outcome
		// want is the number of ejected upstreams.
		want int
	}{
		{"no failures", func(_, _ int) health.Outcome { return health.Succeeded }, 0},
		{"one upstream breaks all connections", func(i, _ int) health.Outcome {
			if i == 0 {
				return health.Broken
			}
			return health.Succeeded
		}, 1},
		{"one upstream fails most requests", func(i, n int) health.Outcome {
			if i == 0 && n%5 != 0 {
				return health.ServerError
			}
			return health.Succeeded
		}, 1},
		{"each upstream fails one request in seven", func(i, n int) health.Outcome {
			if (i+n)%7 == 0 {
				return health.ServerError
			}
			return health.Succeeded
		}, 0},
		{"each upstream fails every second request", func(i, n int) health.Outcome {
			if (i+n)%2 == 0 {
				return health.ServerError
			}
			return health.Succeeded
		}, 0},
		{"one upstream breaks one connection in twenty", func(i, n int) health.Outcome {
			if i == 0 && n%20 == 0 {
				return health.Broken
			}
			return health.Succeeded
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := runPool(new(health.Tracker), 5, 3*time.Second, test.outcome)
			if len(got) != test.want {
				t.Errorf("got %v ejected, want %d", got, test.want)
			}
		})
	}
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
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
			t.Errorf("got ejections of %v, want none shorter than the one before or longer than 4 s", lengths)
		}
	}
	tracker.Forget("a")
	if tracker.Ejected(now, "a") {
		t.Error("got an upstream ejected after Forget, want none")
	}
}
