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

// TestFewRoutersRead counts the readers in a fleet where every router receives
// the messages of all others and some routers don't reach the store.
func TestFewRoutersRead(t *testing.T) {
	for _, withoutStore := range []int{0, 1, 2, 5} {
		const routers = 30
		readers := 0
		for self := range routers {
			scheduler := follow.ReadScheduler{Self: address(self)}
			for other := range routers {
				if other != self {
					scheduler.ObservePeer(at(0), address(other), follow.PeerState{StoreReachable: other >= withoutStore, ReadAt: at(0)})
				}
			}
			if self >= withoutStore && scheduler.IsReader(at(time.Second)) {
				readers++
			}
		}
		if readers != follow.ReaderCount {
			t.Errorf("got %d readers while %d routers don't reach the store, want %d", readers, withoutStore, follow.ReaderCount)
		}
	}
}

// newNonReader returns the scheduler of a router that is not a reader, and the
// addresses of the two routers that are.
func newNonReader(t *testing.T) (*follow.ReadScheduler, string, string) {
	t.Helper()
	for self := range 30 {
		scheduler := &follow.ReadScheduler{Self: address(self)}
		reader1, reader2 := address(100), address(101)
		scheduler.ObservePeer(at(0), reader1, follow.PeerState{StoreReachable: true, ReadAt: at(0)})
		scheduler.ObservePeer(at(0), reader2, follow.PeerState{StoreReachable: true, ReadAt: at(0)})
		if !scheduler.IsReader(at(0)) {
			return scheduler, reader1, reader2
		}
	}
	t.Fatal("got no address that ranks after both readers, want one")
	return nil, "", ""
}

func TestUpstreamsDue(t *testing.T) {
	tests := []struct {
		name string
		// digest is the digest of both readers; this router's digest is 1.
		digest uint64
		// readAt is the time of the readers' last read.
		readAt         time.Duration
		storeReachable bool
		// lastMessageAt is the time of the readers' last messages.
		lastMessageAt time.Duration
		at            time.Duration
		want          bool
	}{
		{"same digest", 1, 2 * time.Second, true, 2 * time.Second, 2 * time.Second, false},
		{"different digest", 2, 2 * time.Second, true, 2 * time.Second, 2 * time.Second, true},
		{"no recent read", 1, 0, true, 2 * time.Second, 2 * time.Second, true},
		{"store not reached by readers", 1, 2 * time.Second, false, 2 * time.Second, 2 * time.Second, true},
		{"no recent message", 1, time.Second, true, time.Second, 2500 * time.Millisecond, true},
		{"maximum read interval", 1, follow.MaxReadInterval, true, follow.MaxReadInterval, follow.MaxReadInterval, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			scheduler, reader1, reader2 := newNonReader(t)
			for now := time.Duration(0); now <= test.lastMessageAt; now += 100 * time.Millisecond {
				state := follow.PeerState{StoreReachable: test.storeReachable, ReadAt: at(min(now, test.readAt)), Digest: test.digest}
				scheduler.ObservePeer(at(now), reader1, state)
				scheduler.ObservePeer(at(now), reader2, state)
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
	scheduler, reader, _ := newNonReader(t)
	if scheduler.ConfigDue(at(0), at(0), 7) {
		t.Error("got a read due while the readers have no newer version, want none")
	}
	scheduler.ObservePeer(at(100*time.Millisecond), reader, follow.PeerState{StoreReachable: true, ReadAt: at(0), ConfigVersion: 8})
	if !scheduler.ConfigDue(at(100*time.Millisecond), at(0), 7) {
		t.Error("got no read due after a reader reported a newer version, want one")
	}
}

// TestFewReadersAtAnySize guards against a large fleet in which each router treats the
// readers as stopped, because their messages take longer there, and reads the store itself.
func TestFewReadersAtAnySize(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
	}{
		{"3 routers", 400 * time.Millisecond},
		{"103 routers", 800 * time.Millisecond},
		{"620 routers", 1700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			scheduler := &follow.ReadScheduler{Self: lastRanked(), Delay: func() time.Duration { return test.delay }}
			const step = 50 * time.Millisecond
			now, reads := start, 0
			for now.Before(start.Add(9 * time.Second)) {
				if now.Sub(start)%test.delay.Truncate(step) == 0 {
					for _, reader := range []string{"a", "b"} {
						// The message is as old as it may be, and the read half a second older.
						scheduler.ObservePeer(now, reader, follow.PeerState{StoreReachable: true, ReadAt: now.Add(-500 * time.Millisecond), Digest: 7, ConfigVersion: 3})
					}
				}
				if scheduler.IsReader(now) || scheduler.UpstreamsDue(now, start, 7) || scheduler.ConfigDue(now, start, 3) {
					reads++
				}
				now = now.Add(step)
			}
			if reads > 0 {
				t.Errorf("got %d reads by a router that is no reader, want none", reads)
			}
			if now = now.Add(4*test.delay + time.Second); !scheduler.UpstreamsDue(now, now, 7) {
				t.Errorf("got no read when both readers were silent, want one")
			}
		})
	}
}

// lastRanked returns an address that ranks behind the readers of the test.
func lastRanked() string {
	for n := 0; ; n++ {
		address := fmt.Sprint("self-", n)
		if follow.Rank(address) > follow.Rank("a") && follow.Rank(address) > follow.Rank("b") {
			return address
		}
	}
}
