package registry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// RejoinGracePeriod is how long after the end of a store outage the row of a live
// upstream may still be missing. The upstream takes up to two seconds to write
// it again; the rest is the delay of reading.
const RejoinGracePeriod = 2500 * time.Millisecond

// OutageExpiryWindow is how long after the end of a store outage a removed row
// is assumed to have expired because of the outage.
const OutageExpiryWindow = 1500 * time.Millisecond

// peerStoreTTL is how long another router's report on the store is assumed valid.
const peerStoreTTL = 3 * time.Second

// Kept is an upstream that stays listed although its row was removed, since the row may
// have expired in an outage of the store.
type Kept struct {
	ID ident.UpstreamID
	// RemovedIn is the version of the removal.
	RemovedIn ident.Revision
	// Until is when the upstream is removed unless the row is written again, or later
	// during an outage.
	Until time.Time
	// OutageBegin and OutageEnd bound the last outage of this router that has ended;
	// OutageEnd is before OutageBegin during one.
	OutageBegin time.Time
	OutageEnd   time.Time
	// PeerStoreUpSince is the time since which the store has served another router, or zero.
	PeerStoreUpSince time.Time
}

// keep lists an upstream on although its row was removed. The caller holds mu.
func (registry *Registry) keep(removed Upstream) {
	if _, missing := registry.missingUntil[removed.ID]; missing {
		return
	}
	until := registry.graceEnd()
	registry.missingUntil[removed.ID] = until
	if registry.OnKept != nil {
		registry.OnKept(Kept{
			ID: removed.ID, RemovedIn: removed.Version, Until: until,
			OutageBegin: registry.outageBegin, OutageEnd: registry.outageEnd, PeerStoreUpSince: registry.peerStoreUpSince,
		})
	}
}

// SetStoreDown records whether the store is unreachable for this router.
func (registry *Registry) SetStoreDown(now time.Time, down bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	switch {
	case registry.storeDown && !down:
		registry.endOutage(now)
	case !registry.storeDown && down:
		registry.outageBegin = now
		registry.storeDown = true
	}
}

// endOutage records that the store has answered again since the given time. The caller holds mu.
func (registry *Registry) endOutage(at time.Time) {
	registry.storeDown = false
	registry.outageEnd = at
	registry.extendMissing(at.Add(RejoinGracePeriod))
	registry.postponeLate(at.Add(settleHeartbeats * registry.Heartbeat))
}

// extendMissing gives the upstreams whose rows are missing until the given time to
// write them again. The caller holds mu.
func (registry *Registry) extendMissing(until time.Time) {
	for id, current := range registry.missingUntil {
		if current.Before(until) {
			registry.missingUntil[id] = until
		}
	}
}

// ObservePeerStore records that the store has served another router without
// interruption since the given time. A router that others read for may not call the store
// for long: an outage that the other one saw too has ended then.
func (registry *Registry) ObservePeerStore(now, since time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.storeDown && since.After(registry.outageBegin) {
		registry.endOutage(since)
	}
	if since.Before(registry.peerStoreUpSince) || now.Sub(registry.peerStoreSeenAt) > peerStoreTTL {
		registry.peerStoreUpSince = since
		registry.peerStoreSeenAt = now
	}
}

// partitioned reports whether only this router was cut off from the store in the
// last outage. The store served another router throughout it, so that upstreams
// could renew their rows and removed rows have not expired because of it.
func (registry *Registry) partitioned(now time.Time) bool {
	if registry.restored(now, RejoinGracePeriod) {
		return false
	}
	return now.Sub(registry.peerStoreSeenAt) <= peerStoreTTL && registry.peerStoreUpSince.Before(registry.outageBegin)
}

// graceEnd returns until when the row of a live upstream may be missing. The caller
// holds mu.
func (registry *Registry) graceEnd() time.Time {
	end := registry.outageEnd
	if registry.restoredAt.After(end) {
		end = registry.restoredAt
	}
	return end.Add(RejoinGracePeriod)
}

// mayHaveExpired reports whether a row that is removed now may have expired
// because of a store outage, or be missing in an older copy of the store. The caller
// holds mu.
func (registry *Registry) mayHaveExpired(now time.Time) bool {
	if registry.restored(now, OutageExpiryWindow) {
		return true
	}
	if registry.partitioned(now) {
		return false
	}
	return registry.storeDown || !registry.outageEnd.IsZero() && now.Before(registry.outageEnd.Add(OutageExpiryWindow))
}

// Expire removes and returns the upstreams whose rows are still missing after the
// grace period, or at once if only this router was cut off from the store. It
// removes nothing while the store is down.
func (registry *Registry) Expire(now time.Time) []Upstream {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.storeDown {
		return nil
	}
	var expired []Upstream
	partitioned := registry.partitioned(now)
	for id, until := range registry.missingUntil {
		if now.Before(until) && !partitioned {
			continue
		}
		expired = append(expired, registry.listed[id])
		registry.recordDeparture(registry.listed[id], departure{version: registry.listed[id].Version, removed: true, expired: true})
		delete(registry.listed, id)
		delete(registry.missingUntil, id)
		delete(registry.renewals, id)
	}
	if len(expired) > 0 {
		registry.rebuild()
	}
	return expired
}
