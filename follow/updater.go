package follow

import (
	"log/slog"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// Updater takes the rows of the store into a router's configuration and
// registry. Its fields are set before use.
type Updater struct {
	Routes   *routing.CurrentTable
	Registry *registry.Registry
	// Relay is told of the changes that the store said, for the other routers.
	Relay func(changes []registry.Change)
	// OnUpstreamChange is told of an upstream that started anew or is gone.
	OnUpstreamChange func(upstream registry.Upstream)
	Metrics          *metrics.Set
	Logger           *slog.Logger
}

// ApplyConfig takes in rows of the operators' table.
func (updater *Updater) ApplyConfig(records []platform.Record, _ ident.Revision) {
	for _, record := range records {
		if record.Key != platform.ConfigKey || record.Deleted {
			continue
		}
		config, err := platform.DecodeConfig(record.Value)
		if err != nil {
			updater.Logger.Error("Configuration not understood.", "RowVersion", record.Version, "Error", err)
			continue
		}
		updater.adopt(config)
	}
}

func (updater *Updater) adopt(config routing.Config) {
	if !updater.Routes.Adopt(routing.New(config)) {
		return
	}
	updater.Metrics.CountEvent("config.adopted")
	updater.Logger.Info("Configuration in force.",
		"ConfigVersion", config.Version, "Routes", len(config.Routes), "Services", len(config.Services), "Workspaces", len(config.Workspaces))
}

// ApplyUpstreams takes in changed rows of upstreams.
func (updater *Updater) ApplyUpstreams(records []platform.Record, _ ident.Revision) {
	changes := make([]registry.Change, 0, len(records))
	for _, record := range records {
		upstream, usable := updater.decode(record)
		changes = append(changes, registry.Change{Upstream: upstream, Gone: !usable})
	}
	applied := updater.Registry.Apply(time.Now(), changes)
	updater.tell(applied, "store")
	updater.Relay(applied)
}

// ApplyRemote takes in changes of upstreams that another router read.
func (updater *Updater) ApplyRemote(changes []registry.Change) {
	if !updater.Registry.Loaded() {
		// A part of the rows is not to be taken for all of them.
		return
	}
	updater.tell(updater.Registry.Apply(time.Now(), changes), "router")
}

// ReplaceUpstreams takes in the rows of all upstreams as of version.
func (updater *Updater) ReplaceUpstreams(records []platform.Record, version ident.Revision) {
	upstreams := make([]registry.Upstream, 0, len(records))
	for _, record := range records {
		if upstream, usable := updater.decode(record); usable {
			upstreams = append(upstreams, upstream)
		}
	}
	applied := updater.Registry.Replace(time.Now(), version, upstreams)
	updater.tell(applied, "store")
	updater.Relay(applied)
}

// decode returns the upstream of a row and whether it may be used.
func (updater *Updater) decode(record platform.Record) (registry.Upstream, bool) {
	id := ident.UpstreamID(record.Key)
	if record.Deleted {
		return registry.Upstream{ID: id, Version: record.Version}, false
	}
	upstream, err := platform.DecodeServer(id, record.Value)
	if err != nil {
		updater.Metrics.CountEvent("upstream.row.unreadable")
		updater.Logger.Debug("Row of an upstream not understood.", "Upstream", id, "RowVersion", record.Version, "Error", err)
		return registry.Upstream{ID: id, Version: record.Version}, false
	}
	upstream.Version = record.Version
	return upstream, true
}

func (updater *Updater) tell(changes []registry.Change, source string) {
	for _, change := range changes {
		updater.Metrics.CountEvent("upstream.changed")
		updater.Logger.Info("Upstream changed.",
			"Upstream", change.Upstream.ID, "Service", change.Upstream.Service, "Address", change.Upstream.Address,
			"Leaving", change.Upstream.Leaving, "Gone", change.Gone, "RowVersion", change.Upstream.Version, "Source", source)
		updater.OnUpstreamChange(change.Upstream)
	}
}

// Expire gives up the upstreams that stayed missing after an outage.
func (updater *Updater) Expire() {
	for _, upstream := range updater.Registry.Expire(time.Now()) {
		updater.Metrics.CountEvent("upstream.expired")
		updater.Logger.Info("Upstream missing since an outage of the store, given up.", "Upstream", upstream.ID)
		updater.OnUpstreamChange(upstream)
	}
}
