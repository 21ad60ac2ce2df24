package follow

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// Updater applies the rows of the store to a router's configuration and
// registry. Its fields have to be set before use.
type Updater struct {
	Routes   *routing.CurrentTable
	Registry *registry.Registry
	// Relay is called with the changes read from the store, to send them to the
	// other routers.
	Relay func(changes []registry.Change)
	// OnUpstreamChange is called with each upstream that was added, changed or
	// removed.
	OnUpstreamChange func(upstream registry.Upstream)
	// Evacuations holds the evacuated zones known to this router.
	Evacuations *evacuation.Tracker
	// RelayEvacuations is called when the evacuation of a zone began or ended, to notify the
	// other routers.
	RelayEvacuations func()
	// OnEvacuationEnd, if set, is called with the listed upstreams of a zone when its
	// evacuation ends, before they are usable again. It must not apply evacuations.
	OnEvacuationEnd func(zone ident.Zone, upstreams []registry.Upstream)
	// OnRow, unless nil, is called with each row of an upstream read from the store that is not
	// outdated, before it is applied, and with when the call that read it was sent. SentAt returns that; it is
	// set with OnRow.
	OnRow   func(upstream registry.Upstream, value []byte, sentAt time.Time)
	SentAt  func() time.Time
	Metrics *metrics.Set
	Logger  *slog.Logger

	// evacuationMu is held while a change of Evacuations is passed to OnEvacuationEnd and
	// Registry, and logged.
	evacuationMu sync.Mutex
}

// ReplaceConfig applies the complete rows of the operators' table at version: those of
// evacuations, and the configuration as ApplyConfig does.
func (updater *Updater) ReplaceConfig(records []platform.Record, version ident.Revision) {
	updater.ReplaceEvacuations(evacuationsOf(records), version, sourceStore)
	updater.applyConfig(records)
}

// ApplyConfig applies the rows of the operators' table that changed up to version: those of
// evacuations, and the configuration. It ignores a configuration that is older than the
// current one or can't be decoded.
func (updater *Updater) ApplyConfig(records []platform.Record, version ident.Revision) {
	updater.applyEvacuations(sourceStore, func(now time.Time) evacuation.Result {
		return updater.Evacuations.Follow(now, version, evacuationsOf(records))
	})
	updater.applyConfig(records)
}

// applyConfig puts the configuration in force that is among the rows. The evacuations are
// applied before, so that a router which starts knows them when it begins to serve.
func (updater *Updater) applyConfig(records []platform.Record) {
	for _, record := range records {
		if record.Key != platform.ConfigKey || record.Deleted {
			continue
		}
		config, err := platform.DecodeConfig(record.Value)
		if err != nil {
			updater.Logger.Error("Could not decode the configuration.", "RowVersion", record.Version, "Error", err)
			continue
		}
		updater.adopt(config)
	}
}

func (updater *Updater) adopt(config routing.Config) {
	table := routing.New(config)
	table.InForceSince = time.Now()
	if !updater.Routes.Adopt(table) {
		return
	}
	updater.Metrics.CountEvent("config.adopted")
	updater.Logger.Info("Configuration in force.",
		"ConfigVersion", config.Version, "Routes", len(config.Routes), "Services", len(config.Services), "Workspaces", len(config.Workspaces))
}

// ApplyUpstreams applies changed rows of upstreams and relays the changes that
// took effect.
func (updater *Updater) ApplyUpstreams(records []platform.Record, _ ident.Revision) {
	changes := make([]registry.Change, 0, len(records))
	for _, record := range records {
		upstream, usable := updater.decode(record)
		changes = append(changes, registry.Change{Upstream: upstream, Gone: !usable})
	}
	applied := updater.Registry.Apply(time.Now(), changes)
	updater.reportChanges(applied, sourceStore)
	updater.Relay(applied)
}

// ApplyRemote applies changes of upstreams that another router read. It ignores
// them until this router has read all rows, since some of the rows must not be
// treated as the complete list.
func (updater *Updater) ApplyRemote(changes []registry.Change) {
	if !updater.Registry.Loaded() {
		return
	}
	updater.reportChanges(updater.Registry.Apply(time.Now(), changes), "router")
}

// ApplyAnnounced reports a change that an upstream announced to this router, and relays
// it.
func (updater *Updater) ApplyAnnounced(change registry.Change) {
	updater.reportChanges([]registry.Change{change}, "upstream")
	updater.Relay([]registry.Change{change})
}

// ReplaceUpstreams replaces the registry's upstreams by the rows of all
// upstreams at version, and relays the changes.
func (updater *Updater) ReplaceUpstreams(records []platform.Record, version ident.Revision) {
	upstreams := make([]registry.Upstream, 0, len(records))
	for _, record := range records {
		if upstream, usable := updater.decode(record); usable {
			upstreams = append(upstreams, upstream)
		}
	}
	applied := updater.Registry.Replace(time.Now(), version, upstreams)
	updater.reportChanges(applied, sourceStore)
	updater.Relay(applied)
}

// decode returns the upstream of a row. It reports false, and returns only the
// ID and the version, for a row that is deleted or can't be decoded.
func (updater *Updater) decode(record platform.Record) (registry.Upstream, bool) {
	id := ident.UpstreamID(record.Key)
	if record.Deleted {
		return registry.Upstream{ID: id, Version: record.Version}, false
	}
	upstream, err := platform.DecodeServer(id, record.Value)
	if err != nil {
		updater.Metrics.CountEvent("upstream.row.unreadable")
		updater.Logger.Debug("Could not decode the row of an upstream.", "Upstream", id, "RowVersion", record.Version, "Error", err)
		return registry.Upstream{ID: id, Version: record.Version}, false
	}
	upstream.Version = record.Version
	if updater.OnRow != nil && !updater.Registry.IsOutdated(time.Now(), upstream) {
		updater.OnRow(upstream, record.Value, updater.SentAt())
	}
	return upstream, true
}

// reportChanges counts and logs changes and calls OnUpstreamChange. source is
// "store" for own reads, "router" for changes received from a router, and "upstream"
// for what an upstream said in an answer to this one.
func (updater *Updater) reportChanges(changes []registry.Change, source string) {
	for _, change := range changes {
		updater.Metrics.CountEvent("upstream.changed")
		updater.Logger.Info("Upstream changed.",
			"Upstream", change.Upstream.ID, "Service", change.Upstream.Service, "Address", change.Upstream.Address, "Incarnation", change.Upstream.Incarnation,
			"Software", change.Upstream.Software, "Leaving", change.Upstream.Leaving, "Gone", change.Gone, "RowVersion", change.Upstream.Version, "Source", source)
		updater.OnUpstreamChange(change.Upstream)
	}
}

// ReportKept counts and logs an upstream that is used on although its row was removed.
func (updater *Updater) ReportKept(kept registry.Kept) {
	updater.Metrics.CountEvent("upstream.kept")
	updater.Logger.Info("Upstream kept, its row may have expired in an outage of the store.",
		"Upstream", kept.ID, "RowVersion", kept.RemovedIn, "Until", kept.Until,
		"OutageBegin", kept.OutageBegin, "OutageEnd", kept.OutageEnd, "PeerStoreUpSince", kept.PeerStoreUpSince)
}

// ReportOutdated counts and logs a row that is not used, since its upstream has said something else
// after it.
func (updater *Updater) ReportOutdated(outdated registry.Outdated) {
	row := outdated.Row
	updater.Metrics.CountEvent("upstream.row.outdated")
	updater.Logger.Info("Row of an upstream not used, it was written late.",
		"Upstream", row.ID, "RowVersion", row.Version, "Incarnation", row.Incarnation, "Sequence", row.Sequence, "Leaving", row.Leaving,
		"KnownIncarnation", outdated.Known, "KnownSequence", outdated.KnownSequence, "KnownGone", outdated.Gone, "Until", outdated.Until)
}

// Settle applies the rows that might have been written late and have stood for long, and relays
// those that took effect.
func (updater *Updater) Settle() {
	settled := updater.Registry.Settle(time.Now())
	updater.reportChanges(settled, sourceStore)
	updater.Relay(settled)
}

// Expire removes the upstreams whose rows are still missing some time after an
// outage of the store.
func (updater *Updater) Expire() {
	for _, upstream := range updater.Registry.Expire(time.Now()) {
		updater.Metrics.CountEvent("upstream.expired")
		updater.Logger.Info("Upstream removed, its row has been missing since an outage of the store.", "Upstream", upstream.ID)
		updater.OnUpstreamChange(upstream)
	}
}
