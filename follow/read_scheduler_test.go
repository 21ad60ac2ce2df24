package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/follow"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return start.Add(after) }

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// TestFewRoutersRead counts the readers of fleets in which each router hears all
// others, with some of them cut off from the store.
func TestFewRoutersRead(t *testing.T) {
	for _, cut := range []int{0, 1, 2, 5} {
		const routers = 30
		readers := 0
		for self := range routers {
			scheduler := follow.ReadScheduler{Self: address(self)}
			for other := range routers {
				if other != self {
					scheduler.ObservePeer(at(0), address(other), follow.PeerState{StoreReachable: other >= cut, ReadAt: at(0)})
				}
			}
			if self >= cut && scheduler.IsReader(at(time.Second)) {
				readers++
			}
		}
		if readers != follow.Readers {
			t.Errorf("got %d readers with %d routers cut off, want %d", readers, cut, follow.Readers)
		}
	}
}

// follower returns the scheduler of a router that is no reader.
func follower(t *testing.T) (*follow.ReadScheduler, string, string) {
	t.Helper()
	for self := range 30 {
		scheduler := &follow.ReadScheduler{Self: address(self)}
		one, two := address(100), address(101)
		scheduler.ObservePeer(at(0), one, follow.PeerState{StoreReachable: true, ReadAt: at(0)})
		scheduler.ObservePeer(at(0), two, follow.PeerState{StoreReachable: true, ReadAt: at(0)})
		if !scheduler.IsReader(at(0)) {
			return scheduler, one, two
		}
	}
	t.Fatal("got no address that ranks behind both, want one")
	return nil, "", ""
}

func TestUpstreamsDue(t *testing.T) {
	tests := []struct {
		name string
		// digest is what both others list; this router lists 1.
		digest uint64
		readAt time.Duration
		serves bool
		// heardUntil is when the others were heard last.
		heardUntil time.Duration
		at         time.Duration
		want       bool
	}{
		{"same list", 1, 2 * time.Second, true, 2 * time.Second, 2 * time.Second, false},
		{"other list", 2, 2 * time.Second, true, 2 * time.Second, 2 * time.Second, true},
		{"others read long ago", 1, 0, true, 2 * time.Second, 2 * time.Second, true},
		{"others cut off", 1, 2 * time.Second, false, 2 * time.Second, 2 * time.Second, true},
		{"others silent", 1, time.Second, true, time.Second, 2500 * time.Millisecond, true},
		{"own reading old", 1, follow.RereadAfter, true, follow.RereadAfter, follow.RereadAfter, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			scheduler, one, two := follower(t)
			for now := time.Duration(0); now <= test.heardUntil; now += 100 * time.Millisecond {
				state := follow.PeerState{StoreReachable: test.serves, ReadAt: at(min(now, test.readAt)), Digest: test.digest}
				scheduler.ObservePeer(at(now), one, state)
				scheduler.ObservePeer(at(now), two, state)
				if now < test.at {
					scheduler.UpstreamsDue(at(now), at(0), 1)
				}
			}
			if got := scheduler.UpstreamsDue(at(test.at), at(0), 1); got != test.want {
				t.Errorf("got due %v, want %v", got, test.want)
			}
		})
	}
}

func TestConfigDue(t *testing.T) {
	scheduler, one, _ := follower(t)
	if scheduler.ConfigDue(at(0), at(0), 7) {
		t.Error("got a reading due while the others have the same version, want none")
	}
	scheduler.ObservePeer(at(100*time.Millisecond), one, follow.PeerState{StoreReachable: true, ReadAt: at(0), Config: 8})
	if !scheduler.ConfigDue(at(100*time.Millisecond), at(0), 7) {
		t.Error("got no reading due after a newer version was heard of, want one")
	}
}
