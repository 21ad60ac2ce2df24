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
func (beliefs *Updater) ApplyConfig(records []platform.Record, _ ident.Revision) {
	for _, record := range records {
		if record.Key != platform.ConfigKey || record.Deleted {
			continue
		}
		config, err := platform.DecodeConfig(record.Value)
		if err != nil {
			beliefs.Logger.Error("Configuration not understood.", "RowVersion", record.Version, "Error", err)
			continue
		}
		beliefs.adopt(config)
	}
}

func (beliefs *Updater) adopt(config routing.Config) {
	if !beliefs.Routes.Adopt(routing.New(config)) {
		return
	}
	beliefs.Metrics.CountEvent("config.adopted")
	beliefs.Logger.Info("Configuration in force.",
		"ConfigVersion", config.Version, "Routes", len(config.Routes), "Services", len(config.Services), "Workspaces", len(config.Workspaces))
}

// ApplyUpstreams takes in changed rows of upstreams.
func (beliefs *Updater) ApplyUpstreams(records []platform.Record, _ ident.Revision) {
	changes := make([]registry.Change, 0, len(records))
	for _, record := range records {
		upstream, usable := beliefs.decode(record)
		changes = append(changes, registry.Change{Upstream: upstream, Gone: !usable})
	}
	applied := beliefs.Registry.Apply(time.Now(), changes)
	beliefs.tell(applied, "store")
	beliefs.Relay(applied)
}

// ApplyRemote takes in changes of upstreams that another router read.
func (beliefs *Updater) ApplyRemote(changes []registry.Change) {
	if !beliefs.Registry.Loaded() {
		// A part of the rows is not to be taken for all of them.
		return
	}
	beliefs.tell(beliefs.Registry.Apply(time.Now(), changes), "router")
}

// ReplaceUpstreams takes in the rows of all upstreams as of version.
func (beliefs *Updater) ReplaceUpstreams(records []platform.Record, version ident.Revision) {
	upstreams := make([]registry.Upstream, 0, len(records))
	for _, record := range records {
		if upstream, usable := beliefs.decode(record); usable {
			upstreams = append(upstreams, upstream)
		}
	}
	applied := beliefs.Registry.Replace(time.Now(), version, upstreams)
	beliefs.tell(applied, "store")
	beliefs.Relay(applied)
}

// decode returns the upstream of a row and whether it may be used.
func (beliefs *Updater) decode(record platform.Record) (registry.Upstream, bool) {
	id := ident.UpstreamID(record.Key)
	if record.Deleted {
		return registry.Upstream{ID: id, Version: record.Version}, false
	}
	upstream, err := platform.DecodeServer(id, record.Value)
	if err != nil {
		beliefs.Metrics.CountEvent("upstream.row.unreadable")
		beliefs.Logger.Debug("Row of an upstream not understood.", "Upstream", id, "RowVersion", record.Version, "Error", err)
		return registry.Upstream{ID: id, Version: record.Version}, false
	}
	upstream.Version = record.Version
	return upstream, true
}

func (beliefs *Updater) tell(changes []registry.Change, source string) {
	for _, change := range changes {
		beliefs.Metrics.CountEvent("upstream.changed")
		beliefs.Logger.Info("Upstream changed.",
			"Upstream", change.Upstream.ID, "Service", change.Upstream.Service, "Address", change.Upstream.Address,
			"Leaving", change.Upstream.Leaving, "Gone", change.Gone, "RowVersion", change.Upstream.Version, "Source", source)
		beliefs.OnUpstreamChange(change.Upstream)
	}
}

// Expire gives up the upstreams that stayed missing after an outage.
func (beliefs *Updater) Expire() {
	for _, upstream := range beliefs.Registry.Expire(time.Now()) {
		beliefs.Metrics.CountEvent("upstream.expired")
		beliefs.Logger.Info("Upstream missing since an outage of the store, given up.", "Upstream", upstream.ID)
		beliefs.OnUpstreamChange(upstream)
	}
}
