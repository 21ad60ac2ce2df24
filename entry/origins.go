package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/split"
)

const (
	// originHomes is how many routers are told where a stream began.
	originHomes = 3
	// askTimeout bounds the wait for the origin of a stream, and askInterval is the
	// time between two requests for it.
	askTimeout  = 100 * time.Millisecond
	askInterval = 40 * time.Millisecond
)

// homes returns the other routers that are told where the stream of an attempt began.
func (versions *versions) homes(now time.Time, attempt ident.AttemptID) []string {
	live := versions.gossip.Live(now)
	slices.SortFunc(live, func(a, b string) int {
		return cmp.Compare(routerScore(string(attempt), b), routerScore(string(attempt), a))
	})
	homes := live[:min(len(live), originHomes)]
	return slices.DeleteFunc(homes, func(address string) bool { return address == versions.gossip.Address })
}

// storeReachable reports whether the store answered this router's last call for
// upstreams.
func (versions *versions) storeReachable() bool { return !versions.daemon.storeUp.since().IsZero() }

// tellOrigin tells the homes of a stream where it began, unless they can tell by the
// split, which they read from the store.
func (versions *versions) tellOrigin(origin split.Origin, certain bool) {
	if certain && versions.storeReachable() {
		return
	}
	now := time.Now()
	if homes := versions.homes(now, origin.Attempt); len(homes) > 0 {
		versions.metrics.CountEvent("origin.told")
		versions.gossip.SendVersions(gossip.VersionMessage{Origins: []gossip.OriginItem{gossip.NewOriginItem(now, origin)}}, homes...)
	}
}

// askOrigin asks the homes of a stream where it began, and waits until one has answered,
// at most for askTimeout.
func (versions *versions) askOrigin(ctx context.Context, attempt ident.AttemptID) {
	homes := versions.homes(time.Now(), attempt)
	if len(homes) == 0 {
		return
	}
	versions.metrics.CountEvent("origin.asked")
	added, cancel := versions.origins.Wait(attempt)
	defer cancel()
	bounded, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	for bounded.Err() == nil {
		versions.gossip.SendVersions(gossip.VersionMessage{Asked: []ident.AttemptID{attempt}}, homes...)
		timer := time.NewTimer(askInterval)
		select {
		case <-added:
			timer.Stop()
			return
		case <-bounded.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}
