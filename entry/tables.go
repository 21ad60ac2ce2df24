package entry

import (
	"context"

	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
)

const (
	// upstreamPollInterval is the pause between two reads of changed upstreams.
	upstreamPollInterval ident.Milliseconds = 500
)

// newConfigTable returns a table that follows the configuration and the evacuations.
func (daemon *Daemon) newConfigTable(source *configSource) *follow.Table {
	return &follow.Table{
		Name:    platform.OperatorTable,
		Wait:    daemon.configHold,
		Due:     daemon.configDue,
		Spare:   daemon.scheduler.Spare,
		ReadAll: source.readAll,
		Changes: source.changes,
		OnReplace: func(records []platform.Record, version ident.Revision) {
			source.adopt(records, version, daemon.updater.ReplaceConfig)
		},
		OnChange: func(records []platform.Record, version ident.Revision) {
			source.adopt(records, version, daemon.updater.ApplyConfig)
		},
		OnStoreCall: func(bool) {},
		Metrics:     daemon.metrics,
		Logger:      logging.Component(daemon.Logger, "follow"),
	}
}

// newUpstreamTable returns a table that follows the rows of the upstreams.
func (daemon *Daemon) newUpstreamTable(store *platform.Store) *follow.Table {
	table := &follow.Table{
		Name:        platform.ServerTable,
		Pause:       upstreamPollInterval,
		Due:         daemon.upstreamsDue,
		Spare:       daemon.scheduler.Spare,
		ReadAll:     store.ReadAll,
		Changes:     store.Changes,
		OnReplace:   daemon.updater.ReplaceUpstreams,
		OnChange:    daemon.updater.ApplyUpstreams,
		OnStoreCall: daemon.setStoreReachable,
		Metrics:     daemon.metrics,
		Logger:      logging.Component(daemon.Logger, "follow"),
	}
	daemon.updater.SentAt = table.SentAt
	return table
}

// follower follows one table of the store.
type follower struct {
	table *follow.Table
}

func (follower *follower) run(ctx context.Context) { follower.table.Run(ctx) }
