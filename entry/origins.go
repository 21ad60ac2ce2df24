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
	// originReplicas is how many routers hold the origin of a stream.
	originReplicas = 3
	// fetchTimeout bounds the wait for the origin of a stream, and fetchInterval is the
	// time between two requests for it.
	fetchTimeout  = 100 * time.Millisecond
	fetchInterval = 40 * time.Millisecond
)

// replicas returns the other routers that hold the origin of an attempt's stream.
func (versions *versions) replicas(now time.Time, attempt ident.AttemptID) []string {
	live := versions.gossip.Live(now)
	slices.SortFunc(live, func(a, b string) int {
		return cmp.Compare(routerScore(string(attempt), b), routerScore(string(attempt), a))
	})
	replicas := live[:min(len(live), originReplicas)]
	return slices.DeleteFunc(replicas, func(address string) bool { return address == versions.gossip.Address })
}

// storeReachable reports whether the store answered this router's last call for
// upstreams.
func (versions *versions) storeReachable() bool { return !versions.daemon.storeUp.since().IsZero() }

// replicateOrigin sends the origin of a stream to its replicas, unless any router can
// derive it from the split, which it reads from the store.
func (versions *versions) replicateOrigin(origin split.Origin, certain bool) {
	if certain && versions.storeReachable() {
		return
	}
	now := time.Now()
	if replicas := versions.replicas(now, origin.Attempt); len(replicas) > 0 {
		versions.metrics.CountEvent("origin.replicated")
		versions.gossip.SendVersions(gossip.VersionMessage{Origins: []gossip.OriginItem{gossip.NewOriginItem(now, origin)}}, replicas...)
	}
}

// fetchOrigin requests the origin of a stream from its replicas, and waits for the first
// answer, at most for fetchTimeout.
func (versions *versions) fetchOrigin(ctx context.Context, attempt ident.AttemptID) {
	replicas := versions.replicas(time.Now(), attempt)
	if len(replicas) == 0 {
		return
	}
	versions.metrics.CountEvent("origin.fetched")
	added, cancel := versions.origins.Wait(attempt)
	defer cancel()
	bounded, stop := context.WithTimeout(ctx, fetchTimeout)
	defer stop()
	for bounded.Err() == nil {
		versions.gossip.SendVersions(gossip.VersionMessage{Requested: []ident.AttemptID{attempt}}, replicas...)
		timer := time.NewTimer(fetchInterval)
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
