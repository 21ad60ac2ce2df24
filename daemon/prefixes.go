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

// offerTimeout bounds all offers of prefixes of a leaving upstream.
const offerTimeout = 20 * time.Second

// burstSeconds is the time over which the budget of transfers may be saved up.
const burstSeconds = 4

// newPrefixes returns the part that moves cached prefixes.
func (daemon *Sidecar) newPrefixes(client *upstream.Client) *sidecar.Prefixes {
	daemon.neighbours = &sidecar.Client{Token: daemon.base.hopToken()}
	prefixes := &sidecar.Prefixes{
		Self:    daemon.Config.Upstream.ID,
		Client:  client,
		HopOf:   daemon.hopOf,
		Open:    daemon.neighbours.Prefix,
		Metrics: daemon.base.metrics,
	}
	prefixes.SetPolicy(daemon.prefixPolicy())
	return prefixes
}

// prefixPolicy returns the policy that the settings file asks for. The burst
// holds the transfers of several seconds, so that the longest prefix fits.
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

// hopOf returns the hop address of an upstream, also of one that is leaving.
func (daemon *Sidecar) hopOf(upstream ident.UpstreamID) (string, bool) {
	entry, found := daemon.base.directory.Entry(upstream)
	return entry.Address, found
}

// passOn passes the hottest prefixes on to the upstreams that routers will try
// next for their chats. It is the last act of a drained upstream: what the chats
// need earlier is fetched while it drains.
func (daemon *Sidecar) passOn(ctx context.Context) {
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
		next, found := daemon.nextFor(pool, cached.Chat)
		if !found || ctx.Err() != nil {
			return
		}
		if err := daemon.neighbours.Offer(ctx, next.Address, cached.Chat, configured.ID, cached.Tokens); err != nil {
			daemon.base.logger.Debug("A prefix was not passed on.", "to", next.Upstream, "error", err)
		}
	}
}

// nextFor returns the best ranked upstream for chat besides this one.
func (daemon *Sidecar) nextFor(pool *directory.Pool, chat ident.ChatID) (directory.Entry, bool) {
	var order [2]int
	for _, i := range pool.Ranking.Rank(chat, "", order[:]) {
		if pool.Entries[i].Upstream != daemon.Config.Upstream.ID {
			return pool.Entries[i], true
		}
	}
	return directory.Entry{}, false
}

// cacheEvents reads the engine's cache events until its context ends.
type cacheEvents struct {
	prefixes *sidecar.Prefixes
}

func (events *cacheEvents) run(ctx context.Context) { events.prefixes.Run(ctx) }
