package entry

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// prepareCold connects what tells of cold upstreams with the tracker of limits.
func (daemon *Daemon) prepareCold() error {
	daemon.quota.ColdRule = daemon.coldRule
	daemon.quota.OnCold = daemon.logCold
	daemon.registry.OnStart = daemon.quota.Started
	daemon.updater.OnRow = daemon.observeColdRow
	daemon.handler.Connections.OnAllClosed = func(upstream registry.Upstream, connections int) {
		daemon.quota.Closed(time.Now(), upstream, connections)
	}
	return daemon.metrics.Gauge("hickoryhead_cold_upstreams", "Upstreams that are cold.", func() int64 { return daemon.quota.CountCold(time.Now()) })
}

// coldRule returns how the upstreams of a service are cold. Without ColdOverage in the
// settings they never are.
func (daemon *Daemon) coldRule(name ident.ServiceName) quota.ColdRule {
	settings := daemon.settings.Load()
	if settings.ColdOverage <= 0 {
		return quota.ColdRule{}
	}
	rule := quota.ColdRule{Overage: settings.ColdOverage, Slack: settings.ColdSlack}
	table := daemon.routes.Table()
	if table == nil {
		return rule
	}
	service, _ := table.Service(name)
	if service.ColdStart <= 0 || service.ColdPerSecond <= 0 {
		return quota.ColdRule{}
	}
	rule.Start, rule.PerSecond = service.ColdStart, service.ColdPerSecond
	return rule
}

// observeColdRow records what a row read from the store says about whether its upstream is
// cold.
func (daemon *Daemon) observeColdRow(upstream registry.Upstream, value []byte, sentAt time.Time) {
	if daemon.coldRule(upstream.Service).Overage > 0 {
		daemon.quota.ObserveRow(time.Now(), sentAt, upstream, platform.DecodeCold(value))
	}
}

// markCold has upstreams be cold as if they had started now. It is called when an
// evacuation of their zone has ended, by each router for itself.
func (daemon *Daemon) markCold(_ ident.Zone, upstreams []registry.Upstream) {
	daemon.quota.MarkCold(time.Now(), upstreams)
}

// logCold counts and logs a change of what is known of a cold upstream: it failed, its deadline
// was set or moved, or it is no longer cold.
func (daemon *Daemon) logCold(now time.Time, cold quota.Cold) {
	event, message := "cold.ended", "Upstream is not cold any more."
	switch {
	case cold.Failed:
		event, message = "cold.expected", "Upstream failed, it is cold once it answers."
	case now.Before(cold.Until):
		event, message = "cold.began", "Upstream is cold."
	}
	daemon.metrics.CountEvent(event)
	logging.Component(daemon.Logger, "quota").Info(message,
		"Upstream", cold.Upstream, "Incarnation", cold.Incarnation, "Source", cold.Source.String(), "RemainingMs", max(cold.Until.Sub(now), 0).Milliseconds(),
		"RowVersion", cold.Version, "AgeMs", now.Sub(cold.SeenAt).Milliseconds())
}
