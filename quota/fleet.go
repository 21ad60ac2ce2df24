package quota

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// fleetSettleTime is how long a router that joins sends nothing to cold upstreams, and
// how long the others leave the share of one that has left: in that time all learn of
// it, and a second passes in which the former shares were used.
const fleetSettleTime = 1500 * time.Millisecond

// coldFleet is the set of routers that share the rates of cold upstreams: all that are known,
// including silent ones. The zero value has no share.
type coldFleet struct {
	self string
	// routers are the routers with a claim to a share, sorted. removedAt holds when those of
	// them left whose shares are not yet given to others.
	routers   []string
	removedAt map[string]time.Time
	// settledAt is when this router may send its share.
	settledAt time.Time
	// live are the routers that ran recently, sorted, and heard all from which a message ever
	// came.
	live  []string
	heard map[string]struct{}
	// revision grows with each change of the shares.
	revision uint64
}

// SetFleet sets the address of this router, the addresses of all known routers, and those that
// ran recently. A router that is no longer known loses its share after fleetSettleTime in each
// of these cases:
//   - it ran until recently, so it announced that it leaves;
//   - more than half of the fleet runs, so this router is not the one that is cut off;
//   - it never sent anything, since registrations outlive their routers.
//
// Otherwise it keeps its share.
func (tracker *Tracker) SetFleet(now time.Time, self string, known, live []string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	fleet := &tracker.fleet
	if fleet.self == "" {
		fleet.self, fleet.settledAt = self, now.Add(fleetSettleTime)
		fleet.removedAt, fleet.heard = make(map[string]time.Time), make(map[string]struct{})
		fleet.revision++
	}
	majority := 2*len(live) > len(fleet.routers)-len(fleet.removedAt)
	next := slices.Compact(slices.Sorted(slices.Values(slices.Concat(known, []string{self}))))
	for _, former := range fleet.routers {
		if _, found := slices.BinarySearch(next, former); found {
			delete(fleet.removedAt, former)
			continue
		}
		_, ran := slices.BinarySearch(fleet.live, former)
		_, heard := fleet.heard[former]
		if _, removed := fleet.removedAt[former]; !removed && (majority || ran || !heard) {
			fleet.removedAt[former] = now
		}
	}
	for _, former := range fleet.routers {
		if _, found := slices.BinarySearch(next, former); !found {
			next = append(next, former)
		}
	}
	slices.Sort(next)
	fleet.live = slices.Sorted(slices.Values(live))
	for _, router := range live {
		fleet.heard[router] = struct{}{}
	}
	if !slices.Equal(next, fleet.routers) {
		fleet.routers = next
		fleet.revision++
	}
	tracker.settleFleet(now)
}

// settleFleet ends the shares of routers that have left, and begins that of this router,
// once all know of it. The caller holds mu.
func (tracker *Tracker) settleFleet(now time.Time) {
	fleet := &tracker.fleet
	if !fleet.settledAt.IsZero() && !now.Before(fleet.settledAt) {
		fleet.settledAt = time.Time{}
		fleet.revision++
	}
	for router, at := range fleet.removedAt {
		if now.Before(at.Add(fleetSettleTime)) {
			continue
		}
		delete(fleet.removedAt, router)
		delete(fleet.heard, router)
		fleet.routers = slices.DeleteFunc(slices.Clone(fleet.routers), func(other string) bool { return other == router })
		fleet.revision++
	}
}

// part returns this router's part of the rate of a cold upstream. One without a share keeps
// less than a request of what it had saved up.
func (fleet *coldFleet) part(upstream ident.UpstreamID, rule ColdRule) coldDivision {
	division := divideCold(rule, len(fleet.routers))
	if fleet.self == "" || !fleet.settledAt.IsZero() || rankOf(upstream, fleet.self, fleet.routers) >= division.sharing {
		division.perSecond, division.saved = 0, 1-roundingMargin
	}
	return division
}

// initialTokens returns how much of a request this router has saved up when an upstream becomes
// cold, less than one. Routers that agree on the fleet have different parts.
func (fleet *coldFleet) initialTokens(upstream ident.UpstreamID, rule ColdRule) float64 {
	sharing := divideCold(rule, len(fleet.routers)).sharing
	return (float64(rankOf(upstream, fleet.self, fleet.routers)%sharing) + 0.5) / float64(sharing)
}
