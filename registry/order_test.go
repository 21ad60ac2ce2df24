package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const orderHeartbeat = time.Second

// wrote returns the change of a row that an incarnation of upstream a wrote as the given write.
func wrote(incarnation registry.Incarnation, sequence registry.Sequence, version ident.Revision, leaving bool) registry.Change {
	row := upstream("a")
	row.Incarnation, row.Sequence, row.Version, row.Leaving = incarnation, sequence, version, leaving
	return registry.Change{Upstream: row}
}

// removed returns the removal of the row of upstream a.
func removed(version ident.Revision) registry.Change {
	return registry.Change{Upstream: registry.Upstream{ID: "a", Version: version}, Gone: true}
}

// TestLateWriteOfARow guards against an upstream that leaves, or has left, and gets requests again
// (DRAIN), since the store performed a check-in late that it had sent before: the order of the
// store was taken for that of the upstream. Rows of upstreams that live are believed.
func TestLateWriteOfARow(t *testing.T) {
	const soon, settled = 1500 * time.Millisecond, 8 * time.Second
	tests := []struct {
		name      string
		heartbeat time.Duration
		changes   []registry.Change
		// wantSoon and wantSettled are whether a is in the pool soon after the changes, and once
		// they have stood for long.
		wantSoon, wantSettled bool
	}{
		{"ready before draining", orderHeartbeat, []registry.Change{wrote(5, 8, 20, true), wrote(5, 5, 21, false)}, false, false},
		{"the same, heartbeat not known", 0, []registry.Change{wrote(5, 8, 20, true), wrote(5, 5, 21, false)}, false, false},
		{"ready before draining, after the removal", orderHeartbeat, []registry.Change{wrote(5, 8, 20, true), removed(21), wrote(5, 5, 22, false)}, false, false},
		{"ready, after the removal", orderHeartbeat, []registry.Change{wrote(5, 8, 20, false), removed(21), wrote(5, 8, 22, false)}, false, false},
		{"unread write, after the removal, that expires", orderHeartbeat, []registry.Change{removed(21), wrote(5, 6, 22, false), removed(23)}, false, false},
		{"earlier incarnation, that expires", orderHeartbeat, []registry.Change{wrote(5, 2, 20, true), wrote(4, 30, 21, false), removed(22)}, false, false},
		{"earlier incarnation, then the later one", orderHeartbeat, []registry.Change{wrote(5, 2, 20, true), wrote(4, 30, 21, false), wrote(5, 3, 22, true)}, false, false},
		{"earlier incarnation after the removal, that expires", orderHeartbeat, []registry.Change{removed(21), wrote(4, 30, 22, false), removed(23)}, false, false},
		{"draining before a restart", orderHeartbeat, []registry.Change{wrote(6, 1, 20, false), wrote(5, 9, 21, true), wrote(6, 2, 22, false)}, true, true},

		{"heartbeats", orderHeartbeat, []registry.Change{wrote(5, 2, 20, false), wrote(5, 3, 21, false)}, true, true},
		{"restart, it counts from 1", orderHeartbeat, []registry.Change{wrote(5, 80, 20, true), wrote(6, 1, 21, false)}, true, true},
		{"restart after the removal", orderHeartbeat, []registry.Change{removed(21), wrote(6, 1, 22, false)}, true, true},
		{"back after the removal, and alive", orderHeartbeat, []registry.Change{removed(21), wrote(5, 6, 22, false)}, false, true},
		{"restart with a clock that was set back", orderHeartbeat, []registry.Change{wrote(5, 8, 20, true), wrote(4, 1, 21, false)}, false, true},
		{"ready again, if it ever says so", orderHeartbeat, []registry.Change{wrote(5, 8, 20, true), wrote(5, 9, 21, false)}, true, true},
		{"rows without a count", orderHeartbeat, []registry.Change{wrote(5, 0, 20, true), wrote(5, 0, 21, false)}, true, true},
		{"rows without a start time", orderHeartbeat, []registry.Change{wrote(0, 8, 20, true), wrote(0, 1, 21, false)}, true, true},
		{"relayed by an earlier program, then late", orderHeartbeat, []registry.Change{wrote(5, 8, 20, true), wrote(5, 0, 20, true), wrote(5, 5, 21, false)}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reg := registry.Registry{Heartbeat: test.heartbeat}
			first := wrote(5, 1, 10, false).Upstream
			if test.changes[0].Upstream.Incarnation == 0 && !test.changes[0].Gone {
				first.Incarnation = 0
			}
			reg.Replace(timeAt(0), 10, []registry.Upstream{first, upstream("b")})
			for _, change := range test.changes {
				reg.Apply(timeAt(time.Second), []registry.Change{change})
			}
			reg.Settle(timeAt(soon))
			if got := len(members(&reg)) == 2; got != test.wantSoon {
				t.Errorf("got a in the pool soon: %t, want %t", got, test.wantSoon)
			}
			reg.Settle(timeAt(settled))
			if got := len(members(&reg)) == 2; got != test.wantSettled {
				t.Errorf("got a in the pool later: %t, want %t", got, test.wantSettled)
			}
		})
	}
}

// TestLateWriteDoesNotRenew guards against an upstream that stays listed behind an outage of the
// store, or that counts as alive, because a check-in from before was performed late.
func TestLateWriteDoesNotRenew(t *testing.T) {
	reg := registry.Registry{Heartbeat: orderHeartbeat}
	reg.Replace(timeAt(0), 10, []registry.Upstream{wrote(5, 8, 10, false).Upstream, upstream("b")})
	reg.SetStoreDown(timeAt(10*time.Second), true)
	reg.SetStoreDown(timeAt(16*time.Second), false)
	reg.Apply(timeAt(16*time.Second), []registry.Change{removed(11)})
	reg.Apply(timeAt(17*time.Second), []registry.Change{wrote(5, 7, 12, false)})
	if got := reg.WroteAfter("a", 5); !got.IsZero() {
		t.Errorf("got a write after %v, want none known", got)
	}
	reg.Expire(timeAt(20 * time.Second))
	if got := members(&reg); len(got) != 1 {
		t.Errorf("got pool %v, want only b", got)
	}
	reg.Apply(timeAt(21*time.Second), []registry.Change{wrote(5, 8, 13, false)})
	if got := members(&reg); len(got) != 1 {
		t.Errorf("got pool %v behind a write of before the outage, want only b", got)
	}
	reg.Apply(timeAt(22*time.Second), []registry.Change{wrote(5, 9, 14, false)})
	if got := members(&reg); len(got) != 2 {
		t.Errorf("got pool %v once a has written again, want both", got)
	}
}

// TestLateRowsWaitForTheStore guards against a row that is believed because it stood for long,
// while its removal could not be read.
func TestLateRowsWaitForTheStore(t *testing.T) {
	reg := registry.Registry{Heartbeat: orderHeartbeat}
	var reported []registry.Outdated
	reg.OnOutdated = func(outdated registry.Outdated) { reported = append(reported, outdated) }
	reg.Replace(timeAt(0), 10, []registry.Upstream{wrote(5, 1, 10, false).Upstream, upstream("b")})
	reg.Apply(timeAt(time.Second), []registry.Change{removed(11), wrote(5, 6, 12, false), wrote(5, 6, 12, false)})
	if len(reported) != 1 || !reported[0].Gone || reported[0].Row.Sequence != 6 || reported[0].KnownSequence != 1 || !reported[0].Until.Equal(timeAt(5*time.Second)) {
		t.Errorf("got %+v reported, want one row that waits until second 5", reported)
	}
	reg.SetStoreDown(timeAt(3*time.Second), true)
	if settled := reg.Settle(timeAt(9 * time.Second)); len(settled) != 0 {
		t.Errorf("got %+v settled while the store is down, want none", settled)
	}
	reg.SetStoreDown(timeAt(10*time.Second), false)
	if settled := reg.Settle(timeAt(13 * time.Second)); len(settled) != 0 {
		t.Errorf("got %+v settled before the row could be read again, want none", settled)
	}
	if settled := reg.Settle(timeAt(14 * time.Second)); len(settled) != 1 || len(members(&reg)) != 2 {
		t.Errorf("got %+v settled, want the row that still stands", settled)
	}
}

// TestDigestOfEarlierPrograms guards against a rolling upgrade in which routers of two programs that
// list the same upstreams take each other's lists for different ones, and all read the store.
func TestDigestOfEarlierPrograms(t *testing.T) {
	var reg registry.Registry
	listed := wrote(5, 8, 10, true).Upstream
	listed.Zone, listed.Software, listed.Slots, listed.Engine = "z", "v1", 4, true
	reg.Replace(timeAt(0), 10, []registry.Upstream{listed, upstream("b")})
	if got, want := reg.Digest(), uint64(earlierDigest); got != want {
		t.Errorf("got digest %d, want %d", got, want)
	}
}

// earlierDigest is the digest of those upstreams at a router of a program without sequences.
const earlierDigest = 11735329157326895817
