package entry

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// maintenanceInterval is the time between two rounds of periodic maintenance.
	maintenanceInterval = 500 * time.Millisecond
	// defaultIdleTimeout bounds idle connections of callers while no configuration
	// sets a limit.
	defaultIdleTimeout = 60 * time.Second
)

// maintenance periodically discards expired state and idle connections.
type maintenance struct {
	daemon *Daemon
}

func (maintenance *maintenance) run(ctx context.Context) {
	wait.Every(ctx, maintenanceInterval, func(context.Context) { maintenance.daemon.maintain(time.Now()) })
}

// maintain performs one round of maintenance. During a planned stop it leaves
// idle connections open, because callers may still be sent here.
func (daemon *Daemon) maintain(now time.Time) {
	daemon.stalls.Tick(now)
	daemon.updater.Expire()
	daemon.updater.Settle()
	listed := daemon.registry.Upstreams()
	daemon.handler.Connections.Retain(listed)
	daemon.quota.Retain(now, listed)
	daemon.quota.SetRouters(now, daemon.gossip.Address, daemon.gossip.Live(now))
	if daemon.warmup.isRegistered() {
		daemon.quota.SetFleet(now, daemon.gossip.Address, daemon.gossip.Addresses(), daemon.gossip.Heard(now))
	}
	daemon.loads.Expire(now)
	daemon.loadDelay.Store(int64(daemon.gossip.Delay() / stateDelayPerLoad))
	daemon.handler.ReportShortages(now)
	daemon.strikes.Maintain(now)
	daemon.callerConns.CloseHalfRead(now.Add(-headerTimeout))
	if !daemon.stop.stopping() {
		daemon.callerConns.CloseExpired(now, daemon.idleTimeout())
	}
}

// idleTimeout returns how long a caller's connection may be idle before it is
// closed.
func (daemon *Daemon) idleTimeout() time.Duration {
	table := daemon.routes.Table()
	if table == nil || table.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Limits.IdleTimeout.Duration()
}
