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

// Beliefs takes the rows of the store into a router's configuration and
// registry. Its fields are set before use.
type Beliefs struct {
	Routes   *routing.Holder
	Registry *registry.Registry
	// Renewed is told of an upstream that started anew or is gone.
	Renewed func(upstream registry.Upstream)
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Config takes in rows of the operators' table.
func (beliefs *Beliefs) Config(records []platform.Record) {
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

func (beliefs *Beliefs) adopt(config routing.Config) {
	if !beliefs.Routes.Adopt(routing.New(config)) {
		return
	}
	beliefs.Metrics.Happened("config.adopted")
	beliefs.Logger.Info("Configuration in force.",
		"ConfigVersion", config.Version, "Routes", len(config.Routes), "Services", len(config.Services), "Workspaces", len(config.Workspaces))
}

// Upstreams takes in changed rows of upstreams.
func (beliefs *Beliefs) Upstreams(records []platform.Record) {
	changes := make([]registry.Change, 0, len(records))
	for _, record := range records {
		upstream, usable := beliefs.decode(record)
		changes = append(changes, registry.Change{Upstream: upstream, Gone: !usable})
	}
	beliefs.tell(beliefs.Registry.Apply(time.Now(), changes))
}

// AllUpstreams takes in the rows of all upstreams.
func (beliefs *Beliefs) AllUpstreams(records []platform.Record) {
	upstreams := make([]registry.Upstream, 0, len(records))
	for _, record := range records {
		if upstream, usable := beliefs.decode(record); usable {
			upstreams = append(upstreams, upstream)
		}
	}
	beliefs.tell(beliefs.Registry.Replace(time.Now(), upstreams))
}

// decode returns the upstream of a row and whether it may be used.
func (beliefs *Beliefs) decode(record platform.Record) (registry.Upstream, bool) {
	id := ident.UpstreamID(record.Key)
	if record.Deleted {
		return registry.Upstream{ID: id}, false
	}
	upstream, err := platform.DecodeServer(id, record.Value)
	if err != nil {
		beliefs.Metrics.Happened("upstream.row.unreadable")
		beliefs.Logger.Debug("Row of an upstream not understood.", "Upstream", id, "RowVersion", record.Version, "Error", err)
		return registry.Upstream{ID: id}, false
	}
	return upstream, true
}

func (beliefs *Beliefs) tell(changes []registry.Change) {
	for _, change := range changes {
		beliefs.Metrics.Happened("upstream.changed")
		beliefs.Logger.Info("Upstream changed.",
			"Upstream", change.Upstream.ID, "Service", change.Upstream.Service, "Address", change.Upstream.Address,
			"Leaving", change.Upstream.Leaving, "Gone", change.Gone)
		beliefs.Renewed(change.Upstream)
	}
}

// Expire gives up the upstreams that stayed missing after an outage.
func (beliefs *Beliefs) Expire() {
	for _, upstream := range beliefs.Registry.Expire(time.Now()) {
		beliefs.Metrics.Happened("upstream.expired")
		beliefs.Logger.Info("Upstream missing since an outage of the store, given up.", "Upstream", upstream.ID)
		beliefs.Renewed(upstream)
	}
}
