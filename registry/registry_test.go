package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id ident.UpstreamID) registry.Upstream {
	return registry.Upstream{ID: id, Service: "pool", Address: "10.0.0.1:80"}
}

func timeAt(after time.Duration) time.Time { return start.Add(after) }

// members returns the IDs of the upstreams in the pool, or nil if there is none.
func members(reg *registry.Registry) []ident.UpstreamID {
	pool := reg.Pool("pool")
	if pool == nil {
		return nil
	}
	var ids []ident.UpstreamID
	for _, upstream := range pool.Upstreams {
		ids = append(ids, upstream.ID)
	}
	return ids
}

func TestLeavingUpstreamIsInNoPool(t *testing.T) {
	var reg registry.Registry
	reg.Replace(timeAt(0), 1, []registry.Upstream{upstream("a"), upstream("b")})
	leaving := upstream("a")
	leaving.Leaving = true
	reg.Apply(timeAt(time.Second), []registry.Change{{Upstream: leaving}})
	if got := members(&reg); len(got) != 1 || got[0] != "b" {
		t.Errorf("got pool %v, want only b", got)
	}
	if _, found := reg.Upstream("a"); !found {
		t.Error("got no entry for the leaving upstream, want one")
	}
	reg.Apply(timeAt(2*time.Second), []registry.Change{{Upstream: upstream("b"), Gone: true}})
	if got := members(&reg); len(got) != 0 {
		t.Errorf("got pool %v, want none", got)
	}
}

// TestRemovalAroundStoreOutage removes the row of upstream a after a router could
// not reach the store from second 10 to second 16. Just after an outage the row
// may have expired because of it, so the upstream has to stay in its pool for
// RejoinGracePeriod. If the store served another router throughout, or the outage
// ended long ago, the upstream has to leave the pool at once.
func TestRemovalAroundStoreOutage(t *testing.T) {
	const begin, end = 10 * time.Second, 16 * time.Second
	tests := []struct {
		name string
		// peerStoreUpSince is the time since which the store has served another
		// router, if peerReports is set.
		peerStoreUpSince time.Duration
		peerReports      bool
		removedAt        time.Duration
		checkedAt        time.Duration
		want             bool
	}{
		{"expired in the outage", 0, false, end, end + 2*time.Second, true},
		{"still missing after the grace period", 0, false, end, end + 3*time.Second, false},
		{"removed long after the outage", 0, false, end + 2*time.Second, end + 2*time.Second, false},
		{"removed while only this router was partitioned", 0, true, end, end + 100*time.Millisecond, false},
		{"removed just after only this router was partitioned", 0, true, end + 500*time.Millisecond, end + 600*time.Millisecond, false},
		{"expired in an outage that another router saw too", end - 100*time.Millisecond, true, end, end + 2*time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var reg registry.Registry
			reg.Replace(timeAt(0), 1, []registry.Upstream{upstream("a"), upstream("b")})
			reg.SetStoreDown(timeAt(begin), true)
			reg.SetStoreDown(timeAt(end), false)
			if test.peerReports {
				reg.ObservePeerStore(timeAt(end), timeAt(test.peerStoreUpSince))
			}
			reg.Apply(timeAt(test.removedAt), []registry.Change{{Upstream: upstream("a"), Gone: true}})
			reg.Expire(timeAt(test.checkedAt))
			if got := len(members(&reg)) == 2; got != test.want {
				t.Errorf("got a in the pool: %t, want %t", got, test.want)
			}
		})
	}
}

// TestReappearingRowIsNotExpired has a row removed right after an outage and
// written again a second later.
func TestReappearingRowIsNotExpired(t *testing.T) {
	var reg registry.Registry
	reg.Replace(timeAt(0), 1, []registry.Upstream{upstream("a")})
	reg.SetStoreDown(timeAt(time.Second), true)
	reg.SetStoreDown(timeAt(5*time.Second), false)
	reg.Replace(timeAt(5*time.Second), 1, nil)
	reg.Apply(timeAt(6*time.Second), []registry.Change{{Upstream: upstream("a")}})
	if got := reg.Expire(timeAt(20 * time.Second)); len(got) != 0 {
		t.Errorf("got %v expired, want none", got)
	}
	if got := members(&reg); len(got) != 1 {
		t.Errorf("got pool %v, want a", got)
	}
}

// TestRemovalDuringAnOutageWaitsForItsEnd guards against an upstream that is
// dropped the moment an outage ends, with the grace period of an earlier one.
func TestRemovalDuringAnOutageWaitsForItsEnd(t *testing.T) {
	const begin, end = 60 * time.Second, 70 * time.Second
	for _, earlierOutage := range []bool{false, true} {
		var reg registry.Registry
		reg.Replace(timeAt(0), 1, []registry.Upstream{upstream("a"), upstream("b")})
		if earlierOutage {
			reg.SetStoreDown(timeAt(time.Second), true)
			reg.SetStoreDown(timeAt(2*time.Second), false)
		}
		reg.SetStoreDown(timeAt(begin), true)
		reg.Apply(timeAt(begin+5*time.Second), []registry.Change{{Upstream: upstream("a"), Gone: true}})
		reg.SetStoreDown(timeAt(end), false)
		for _, check := range []struct {
			after time.Duration
			want  int
		}{{0, 2}, {registry.RejoinGracePeriod - time.Millisecond, 2}, {registry.RejoinGracePeriod, 1}} {
			reg.Expire(timeAt(end + check.after))
			if got := len(members(&reg)); got != check.want {
				t.Errorf("got %d upstreams %v after the outage, want %d (earlier outage: %t)", got, check.after, check.want, earlierOutage)
			}
		}
	}
}

// TestRemovalOfAWrittenRowIsNoExpiry guards against an upstream that is used on for seconds
// after it left, because a call to the store had failed just before (review case 1, DRAIN): a
// row that was written less than three heartbeats ago can't have expired. One that was
// written earlier can.
func TestRemovalOfAWrittenRowIsNoExpiry(t *testing.T) {
	const heartbeat, failed = 1200 * time.Millisecond, 20 * time.Second
	tests := []struct {
		name      string
		heartbeat time.Duration
		// writtenAt are the times at which a new version of the row was read.
		writtenAt []time.Duration
		removedAt time.Duration
		want      bool
	}{
		{"written all along", heartbeat, []time.Duration{18 * time.Second, 19200 * time.Millisecond, 20400 * time.Millisecond}, 21 * time.Second, false},
		{"last read before the failed call", heartbeat, []time.Duration{18 * time.Second, 19200 * time.Millisecond}, 20300 * time.Millisecond, false},
		{"not written for three heartbeats", heartbeat, []time.Duration{15 * time.Second, 16200 * time.Millisecond}, 20300 * time.Millisecond, true},
		{"written once only", heartbeat, []time.Duration{20100 * time.Millisecond}, 20300 * time.Millisecond, true},
		{"heartbeat not known", 0, []time.Duration{18 * time.Second, 19200 * time.Millisecond}, 20300 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reg := registry.Registry{Heartbeat: test.heartbeat}
			version := ident.Revision(1)
			reg.Replace(timeAt(0), version, []registry.Upstream{upstream("b")})
			apply := func(at time.Duration, gone bool) {
				version++
				changed := upstream("a")
				changed.Version = version
				reg.Apply(timeAt(at), []registry.Change{{Upstream: changed, Gone: gone}})
			}
			for _, at := range test.writtenAt {
				apply(at, false)
			}
			reg.SetStoreDown(timeAt(failed), true)
			reg.SetStoreDown(timeAt(failed+200*time.Millisecond), false)
			apply(test.removedAt, true)
			if got := len(members(&reg)) == 2; got != test.want {
				t.Errorf("got a in the pool: %t, want %t", got, test.want)
			}
		})
	}
}

// TestOutageEndsForRoutersThatOthersReadFor guards against requests to an upstream that was removed
// long after an outage of the store (DRAIN): a router that others read for makes no call that would
// show it the end of the outage, took the removal for an expiry in it, and kept the upstream.
func TestOutageEndsForRoutersThatOthersReadFor(t *testing.T) {
	const begin, end = 10 * time.Second, 16 * time.Second
	tests := []struct {
		name string
		// since is the time since which the store has served another router, and never is set if
		// none says so.
		since time.Duration
		never bool
		// removedAt is when the removal of a's row is relayed, checkedAt when the pool is read.
		removedAt, checkedAt time.Duration
		want                 bool
	}{
		{"removed long after the end", end, false, end + 3*time.Second, end + 3100*time.Millisecond, false},
		{"expired in the outage", end, false, end + 500*time.Millisecond, end + 2*time.Second, true},
		{"expired in the outage, still missing", end, false, end + 500*time.Millisecond, end + 3*time.Second, false},
		{"no router says that the store is back", 0, true, end + 3*time.Second, end + 4*time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var reg registry.Registry
			reg.Replace(timeAt(0), 1, []registry.Upstream{upstream("a"), upstream("b")})
			reg.SetStoreDown(timeAt(begin), true)
			if !test.never {
				reg.ObservePeerStore(timeAt(test.since+200*time.Millisecond), timeAt(test.since))
			}
			gone := upstream("a")
			gone.Version = 2
			reg.Apply(timeAt(test.removedAt), []registry.Change{{Upstream: gone, Gone: true}})
			reg.Expire(timeAt(test.checkedAt))
			if got := len(members(&reg)) == 2; got != test.want {
				t.Errorf("got a in the pool: %t, want %t", got, test.want)
			}
		})
	}
}
