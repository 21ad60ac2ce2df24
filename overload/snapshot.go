package overload

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// snapshotCount is the number of snapshots that are kept, and snapshotsPerDelay how many
	// are taken within the delay. They cover more than the delay, so that one is old enough.
	snapshotCount     = 6
	snapshotsPerDelay = 4
	// maxGap times the delay is how old the newest snapshot may be: what is in flight has
	// mostly changed since.
	maxGap = 4
)

// snapshots holds what a router had in flight at each upstream at earlier times.
type snapshots struct {
	ring [snapshotCount]snapshot
	// last is the index of the newest one.
	last int
}

type snapshot struct {
	at     time.Time
	counts map[ident.UpstreamID]int
}

// setAdded sets by how much the requests in flight have grown since the other routers last
// heard of them, and keeps what is in flight now.
func (snapshots *snapshots) setAdded(now time.Time, pool *Pool) {
	if newest := snapshots.ring[snapshots.last].at; newest.IsZero() || now.Sub(newest) > maxGap*pool.Delay {
		// What was in flight before the first call, or the first one for long, is known to the
		// others.
		snapshots.keep(now.Add(-pool.Delay), pool)
	}
	known := snapshots.before(now.Add(-pool.Delay))
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		upstream.added = upstream.Local - known[upstream.ID]
	}
	if now.Sub(snapshots.ring[snapshots.last].at) >= pool.Delay/snapshotsPerDelay {
		snapshots.keep(now, pool)
	}
}

// keep keeps what is in flight as of the given time.
func (snapshots *snapshots) keep(at time.Time, pool *Pool) {
	snapshots.last = (snapshots.last + 1) % snapshotCount
	newest := &snapshots.ring[snapshots.last]
	newest.at = at
	if newest.counts == nil {
		newest.counts = make(map[ident.UpstreamID]int)
	}
	clear(newest.counts)
	for i := range pool.Upstreams {
		if upstream := &pool.Upstreams[i]; upstream.Local > 0 {
			newest.counts[upstream.ID] = upstream.Local
		}
	}
}

// before returns the newest counts that are not younger than the given time, or the oldest ones
// if all are.
func (snapshots *snapshots) before(at time.Time) map[ident.UpstreamID]int {
	var newest, oldest snapshot
	for _, snapshot := range snapshots.ring {
		if snapshot.at.IsZero() {
			continue
		}
		if !snapshot.at.After(at) && snapshot.at.After(newest.at) {
			newest = snapshot
		}
		if oldest.at.IsZero() || snapshot.at.Before(oldest.at) {
			oldest = snapshot
		}
	}
	if newest.at.IsZero() {
		return oldest.counts
	}
	return newest.counts
}
