package entry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// fillMessage adds to a message for other routers what this one knows about the
// store.
func (daemon *Daemon) fillMessage(now time.Time, message *gossip.Message) {
	if since := daemon.storeUp.since(); !since.IsZero() {
		message.StoreUptime = max(milliseconds(now.Sub(since)), 1)
	}
	if readAt := daemon.upstreamsReadAt.Load(); readAt != nil {
		message.ReadAge = max(milliseconds(now.Sub(*readAt)), 1)
	}
	message.Digest = daemon.registry.Digest()
	message.ConfigVersion = daemon.configVersion()
	message.Zone = daemon.Config.Zone
}

// milliseconds returns duration in whole milliseconds, rounded down.
func milliseconds(duration time.Duration) ident.Milliseconds {
	return ident.Milliseconds(duration.Milliseconds())
}

// applyMessage applies what the message of another router says about the store
// and the upstreams.
func (daemon *Daemon) applyMessage(now time.Time, message gossip.Message) {
	if message.StoreUptime > 0 {
		daemon.registry.ObservePeerStore(now, now.Add(-message.StoreUptime.Duration()))
	}
	daemon.applyNews(message.Address, message.Zone, message.Changes, message.Outcomes)
	daemon.scheduler.ObservePeer(now, message.Address, follow.PeerState{
		StoreReachable: message.StoreUptime > 0 && message.ReadAge > 0 && !message.Leaving,
		ReadAt:         now.Add(-message.ReadAge.Duration()),
		Digest:         message.Digest,
		ConfigVersion:  message.ConfigVersion,
	})
}

// applySummary applies the changes of upstreams and the outcomes that the routers of
// another group have sent.
func (daemon *Daemon) applySummary(_ time.Time, message gossip.SummaryMessage) {
	daemon.applyNews(message.Address, message.Zone, message.Changes, message.Outcomes)
}

// applyNews applies changes of upstreams, and the outcomes of requests if the router at
// address, which reported them, is in the same availability zone: an upstream may fail for
// callers of one zone only.
func (daemon *Daemon) applyNews(address string, zone ident.Zone, changes []registry.Change, outcomes []health.Tally) {
	if len(changes) > 0 {
		daemon.updater.ApplyRemote(changes)
	}
	if zone != daemon.Config.Zone {
		return
	}
	for _, tally := range outcomes {
		if upstream, listed := daemon.registry.Upstream(tally.Upstream); listed {
			daemon.handler.ApplyRemote(upstream, tally, address)
		}
	}
}

// configVersion returns the version of the configuration in force, and 0 for
// none.
func (daemon *Daemon) configVersion() routing.Version {
	table := daemon.routes.Table()
	if table == nil {
		return 0
	}
	return table.Version
}

// configDue reports whether this router has to read the configuration, which it
// last read at readAt.
func (daemon *Daemon) configDue(now, readAt time.Time) bool {
	return daemon.scheduler.ConfigDue(now, readAt, daemon.configVersion())
}

// upstreamsDue reports whether this router has to read the upstreams, which it
// last read at readAt.
func (daemon *Daemon) upstreamsDue(now, readAt time.Time) bool {
	return daemon.scheduler.UpstreamsDue(now, readAt, daemon.registry.Digest())
}

// configHold returns how long the store may hold a call that waits for a new
// configuration. Only the routers that poll the store closely wait for one.
func (daemon *Daemon) configHold() ident.Milliseconds {
	if daemon.scheduler.IsReader(time.Now()) {
		return maxConfigHold
	}
	return 0
}
