package entry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
)

// fill completes a message with what the router knows of the store.
func (daemon *Daemon) fill(now time.Time, message *gossip.Message) {
	if since := daemon.storeServes.since(); !since.IsZero() {
		message.StoreUptime = max(milliseconds(now.Sub(since)), 1)
	}
	if readAt := daemon.readAt.Load(); readAt != nil {
		message.ReadAge = max(milliseconds(now.Sub(*readAt)), 1)
	}
	message.Digest = daemon.registry.Digest()
	message.Config = daemon.configVersion()
	message.Zone = daemon.Config.Zone
}

func milliseconds(duration time.Duration) ident.Milliseconds {
	return ident.Milliseconds(duration.Milliseconds())
}

// heard takes in what another router knows of the store.
func (daemon *Daemon) heard(now time.Time, message gossip.Message) {
	if message.StoreUptime > 0 {
		daemon.registry.ObservePeerStore(now, now.Add(-message.StoreUptime.Duration()))
	}
	if len(message.Changes) > 0 {
		daemon.updater.ApplyRemote(message.Changes)
	}
	if message.Zone == daemon.Config.Zone {
		daemon.hearOutcomes(message)
	}
	daemon.scheduler.ObservePeer(now, message.Address, follow.PeerState{
		StoreReachable: message.StoreUptime > 0 && message.ReadAge > 0 && !message.Leaving,
		ReadAt:         now.Add(-message.ReadAge.Duration()),
		Digest:         message.Digest,
		Config:         message.Config,
	})
}

// hearOutcomes takes in what came of the requests of another router of this
// zone: the failures of an upstream may be those of callers in one zone alone.
func (daemon *Daemon) hearOutcomes(message gossip.Message) {
	for _, tally := range message.Outcomes {
		if upstream, listed := daemon.registry.Upstream(tally.Upstream); listed {
			daemon.handler.ApplyRemote(upstream, tally, message.Address)
		}
	}
}

func (daemon *Daemon) configVersion() routing.Version {
	table := daemon.routes.Table()
	if table == nil {
		return 0
	}
	return table.Version
}

func (daemon *Daemon) configDue(now, readAt time.Time) bool {
	return daemon.scheduler.ConfigDue(now, readAt, daemon.configVersion())
}

func (daemon *Daemon) upstreamsDue(now, readAt time.Time) bool {
	return daemon.scheduler.UpstreamsDue(now, readAt, daemon.registry.Digest())
}

// configWait returns how long the store may hold a call for a new
// configuration: only readers wait for one.
func (daemon *Daemon) configWait() ident.Milliseconds {
	if daemon.scheduler.IsReader(time.Now()) {
		return configWait
	}
	return 0
}
