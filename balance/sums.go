package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// GroupID identifies a group of routers whose loads are exchanged as one sum.
type GroupID string

// UpstreamKey is a hash of the ID of an upstream, which keeps messages with the loads of
// many upstreams short. Two upstreams with the same key each appear to have the load of
// both.
type UpstreamKey uint32

// KeyOf returns the key of an upstream.
func KeyOf(upstream ident.UpstreamID) UpstreamKey {
	return UpstreamKey(xxhash.Sum64String(string(upstream)))
}

// Sums holds the load of each upstream by its key; upstreams without load have no entry.
type Sums map[UpstreamKey]Load

// groupSum is what a group of routers has in flight.
type groupSum struct {
	sums Sums
	// sender sent the last message, which had the given sequence number.
	sender    RouterID
	sequence  uint64
	routers   int
	expiresAt time.Time
}

// RemoteSums is a message about what a group of other routers has in flight.
type RemoteSums struct {
	Group GroupID
	// Sender is the router of the group that sent the message, and Sequence increases
	// with each message of it.
	Sender   RouterID
	Sequence uint64
	// Routers is the number of routers in the group.
	Routers int
	// Complete is set if the group has nothing in flight at upstreams that are not in
	// Sums. Otherwise Sums holds changes only.
	Complete bool
	Sums     Sums
	// ExpiresAt is when the sums are no longer assumed valid.
	ExpiresAt time.Time
}

// ApplySums records what a group of other routers has in flight. It ignores a message
// whose sequence number is not above that of the last one of the same sender.
func (loads *Loads) ApplySums(remote RemoteSums) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.initMaps()
	group := loads.sums[remote.Group]
	if group.sender == remote.Sender && remote.Sequence <= group.sequence {
		return
	}
	if group.sums == nil {
		group.sums = make(Sums)
	}
	loads.summed.apply(group.sums, remote.Sums, remote.Complete)
	group.sender, group.sequence = remote.Sender, remote.Sequence
	group.routers = remote.Routers
	group.expiresAt = remote.ExpiresAt
	loads.sums[remote.Group] = group
}

// ForgetGroup removes the sums of a group, whose routers are counted in other ones.
func (loads *Loads) ForgetGroup(group GroupID) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.forgetGroup(group)
}

// forgetGroup removes the sums of a group. The caller holds mu.
func (loads *Loads) forgetGroup(group GroupID) {
	loads.summed.retain(loads.sums[group].sums, nil)
	delete(loads.sums, group)
}

// ForgetPeer removes the counts of a router, which is counted in the sums of its group.
func (loads *Loads) ForgetPeer(router RouterID) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.forgetPeer(router)
}

// forgetPeer removes the counts of a router. The caller holds mu.
func (loads *Loads) forgetPeer(router RouterID) {
	loads.remote.retain(loads.peers[router].counts, nil)
	delete(loads.peers, router)
}

// expireSums removes the sums that have expired. The caller holds mu.
func (loads *Loads) expireSums(now time.Time) {
	for group, sum := range loads.sums {
		if !now.Before(sum.expiresAt) {
			loads.forgetGroup(group)
		}
	}
}

// SumOf returns what this router and the given other ones have in flight together.
func (loads *Loads) SumOf(routers []RouterID) Sums {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	sums := make(Sums, len(loads.local))
	add := func(counts Counts) {
		for upstream, load := range counts {
			key := KeyOf(upstream)
			sums[key] = sums[key].plus(load)
		}
	}
	add(loads.local)
	for _, router := range routers {
		add(loads.peers[router].counts)
	}
	return sums
}
