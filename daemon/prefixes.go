package daemon

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
	"github.com/hickoryhead/hickoryhead/sidecar"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// offerTimeout bounds the time in which a leaving upstream offers all its prefixes.
const offerTimeout = 20 * time.Second

// burstSeconds is how many seconds of unused transfer budget may accumulate.
const burstSeconds = 4

// newPrefixes returns the component that transfers cached prefixes between
// upstreams.
func (daemon *Sidecar) newPrefixes(client *upstream.Client) *sidecar.Prefixes {
	daemon.poolClient = &sidecar.Client{Token: daemon.base.hopToken()}
	prefixes := &sidecar.Prefixes{
		Self:           daemon.Config.Upstream.ID,
		Client:         client,
		SidecarAddress: daemon.hopAddress,
		Open:           daemon.poolClient.FetchPrefix,
		Metrics:        daemon.base.metrics,
	}
	prefixes.SetPolicy(daemon.prefixPolicy())
	return prefixes
}

// prefixPolicy returns the policy configured in the settings file. The burst
// covers several seconds of the budget, so that the longest prefix fits.
func (daemon *Sidecar) prefixPolicy() prefix.Policy {
	policy := sidecar.DefaultPrefixPolicy
	if size := daemon.Config.PrefixTokenBytes; size > 0 {
		policy.TokenBytes = size
	}
	if budget := daemon.Config.PrefixBytesPerSecond; budget > 0 {
		policy.Budget = budget
		policy.Burst = burstSeconds * budget
	}
	return policy
}

// hopAddress returns the address of the sidecar of an upstream, which may be
// leaving.
func (daemon *Sidecar) hopAddress(upstream ident.UpstreamID) (string, bool) {
	entry, found := daemon.base.directory.Entry(upstream)
	return entry.Address, found
}

// offerPrefixes offers the most used prefixes to the upstreams that are next in the
// ranking of their chats. It is the last step of draining: upstreams fetch the
// prefixes that they need earlier while this one drains.
func (daemon *Sidecar) offerPrefixes(ctx context.Context) {
	if daemon.core.Prefixes == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	configured := daemon.Config.Upstream
	pool := daemon.base.directory.Pool(directory.PoolKey{Model: configured.Model})
	if pool == nil {
		return
	}
	for _, cached := range daemon.core.Prefixes.Hottest() {
		next, found := daemon.nextRanked(pool, cached.Chat)
		if !found || ctx.Err() != nil {
			return
		}
		if err := daemon.poolClient.OfferPrefix(ctx, next.Address, cached.Chat, configured.ID, cached.Tokens); err != nil {
			daemon.base.logger.Debug("Offering a prefix failed.", "to", next.Upstream, "error", err)
		}
	}
}

// nextRanked returns the upstream that ranks best for chat, excluding this one.
func (daemon *Sidecar) nextRanked(pool *directory.Pool, chat ident.ChatID) (directory.Entry, bool) {
	var order [2]int
	for _, i := range pool.Ranking.Rank(chat, "", order[:]) {
		if pool.Entries[i].Upstream != daemon.Config.Upstream.ID {
			return pool.Entries[i], true
		}
	}
	return directory.Entry{}, false
}

// cacheEvents applies the engine's cache events to the prefix index until its
// context ends.
type cacheEvents struct {
	prefixes *sidecar.Prefixes
}

func (events *cacheEvents) run(ctx context.Context) { events.prefixes.Run(ctx) }
