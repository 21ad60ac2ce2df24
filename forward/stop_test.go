package forward_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// TestStopTakes checks which requests a router that stops still sends to an upstream: all
// until the balancer sends no more callers, and later only those whose time ends before the
// router does.
func TestStopTakes(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	stopping := forward.Stop{LateFrom: at(2.5), AnswerBy: at(7.3)}
	tests := []struct {
		name         string
		stop         forward.Stop
		now          float64
		deadline     float64
		want         bool
		wantDeadline float64
	}{
		{"router that runs on", forward.Stop{}, 9, 20, true, 20},
		{"at the beginning", stopping, 0.1, 12, true, 7.3},
		{"at the beginning, short", stopping, 0.1, 3, true, 3},
		{"late, with time for its answer", stopping, 4, 7.3, true, 7.3},
		{"late, with a deadline behind the end", stopping, 2.5, 12, false, 7.3},
		{"behind the end", stopping, 7.4, 8, false, 7.3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.stop.Takes(at(test.now), at(test.deadline)); got != test.want {
				t.Errorf("got taken: %t, want %t", got, test.want)
			}
			if got, want := test.stop.Deadline(at(test.deadline)), at(test.wantDeadline); !got.Equal(want) {
				t.Errorf("got deadline %v, want %v", got, want)
			}
		})
	}
}
