package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/configrpc"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// routerTimeout bounds asking one router for the configuration.
	routerTimeout = 600 * time.Millisecond
	// askRouters bounds the routers that are asked before the store is.
	askRouters = 2
	// slowLinkMbps is the rate of a link, in Mbit/s, below which a configuration of
	// a thousand routes takes long to come from the store, and routersFirst how
	// long a router behind such a link waits for word of other ones at its start.
	slowLinkMbps = 100
	routersFirst = 200 * time.Millisecond
	// newsStep is the time between two looks at whether another router has a newer
	// configuration.
	newsStep = 20 * time.Millisecond
)

// configSource reads the row of the configuration from the store, or from a
// router that has it already.
type configSource struct {
	daemon  *Daemon
	store   *platform.Store
	service configrpc.Service
}

// hold keeps the row for other routers.
func (source *configSource) hold(records []platform.Record) {
	for _, record := range records {
		if record.Key == platform.ConfigKey && !record.Deleted {
			source.service.Set(configrpc.Row{Value: record.Value, Version: record.Version})
		}
	}
}

// reading is a reading of the row, and its error.
type reading struct {
	records platform.Records
	err     error
}

// readAll reads the row from the store and asks the routers at the same time,
// and returns what comes first. Over a slow link the routers are asked first.
func (source *configSource) readAll(ctx context.Context, table platform.TableName, part platform.Part) (platform.Records, error) {
	if link := source.daemon.Config.LinkMbps; link > 0 && link < slowLinkMbps {
		if records, err := source.awaitRouters(ctx); err == nil {
			return records, nil
		}
	}
	return source.first(ctx, 0, func(ctx context.Context) (platform.Records, error) {
		return source.store.ReadAll(ctx, table, part)
	})
}

// awaitRouters asks the routers once one says that it has a configuration, which
// it waits for a short while.
func (source *configSource) awaitRouters(ctx context.Context) (platform.Records, error) {
	bounded, cancel := context.WithTimeout(ctx, routersFirst)
	defer cancel()
	if !source.awaitNewer(bounded) {
		return platform.Records{}, errNoRouter
	}
	return source.fromRouters(ctx, 0)
}

// awaitNewer waits until a router says that it has a newer configuration, and
// reports false if ctx ended first.
func (source *configSource) awaitNewer(ctx context.Context) bool {
	daemon := source.daemon
	for len(daemon.scheduler.Newer(time.Now(), daemon.configVersion(), askRouters)) == 0 {
		if !wait.Sleep(ctx, newsStep) {
			return false
		}
	}
	return true
}

// changes asks a router that said that it has a newer configuration, and else
// the store. Where the store holds the call, routers are listened to meanwhile.
func (source *configSource) changes(ctx context.Context, table platform.TableName, after ident.Revision, hold ident.Milliseconds) (platform.Records, error) {
	if hold == 0 {
		if records, err := source.fromRouters(ctx, after); err == nil {
			return records, nil
		}
	}
	return source.first(ctx, after, func(ctx context.Context) (platform.Records, error) {
		return source.store.Changes(ctx, table, after, hold)
	})
}

// first returns what comes first: what read reads from the store, or what a
// router gives that has a newer row than after.
func (source *configSource) first(ctx context.Context, after ident.Revision, read func(ctx context.Context) (platform.Records, error)) (platform.Records, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fromRouter := begin(ctx, func(ctx context.Context) (platform.Records, error) {
		if !source.awaitNewer(ctx) {
			return platform.Records{}, ctx.Err()
		}
		return source.fromRouters(ctx, after)
	})
	fromStore := begin(ctx, read)
	select {
	case told := <-fromRouter:
		if told.err == nil {
			return told.records, nil
		}
		stored := <-fromStore
		return stored.records, stored.err
	case stored := <-fromStore:
		return stored.records, stored.err
	}
}

// fromRouters asks routers that have a newer configuration than this one.
func (source *configSource) fromRouters(ctx context.Context, after ident.Revision) (platform.Records, error) {
	daemon := source.daemon
	for _, address := range daemon.scheduler.Newer(time.Now(), daemon.configVersion(), askRouters) {
		bounded, cancel := context.WithTimeout(ctx, routerTimeout)
		row, err := configrpc.Fetch(bounded, address, after)
		cancel()
		if err != nil {
			daemon.metrics.CountEvent("config.router.failed")
			daemon.Logger.Debug("Configuration not read from a router.", "Address", address, "Error", err)
			continue
		}
		daemon.metrics.CountEvent("config.router.read")
		daemon.Logger.Info("Configuration read from a router.", "Address", address, "RowVersion", row.Version)
		record := platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: row.Value, Version: row.Version}
		return platform.Records{Records: []platform.Record{record}, Version: row.Version}, nil
	}
	return platform.Records{}, errNoRouter
}

// errNoRouter means that no router gave a newer configuration.
var errNoRouter = errors.New("no router gave a newer configuration")

// pendingReading is a reading that goes on.
type pendingReading struct {
	read   func(ctx context.Context) (platform.Records, error)
	result chan reading
}

func (pending *pendingReading) run(ctx context.Context) {
	records, err := pending.read(ctx)
	pending.result <- reading{records: records, err: err}
}

// begin begins a reading that ends with ctx at the latest.
func begin(ctx context.Context, read func(ctx context.Context) (platform.Records, error)) <-chan reading {
	pending := &pendingReading{read: read, result: make(chan reading, 1)}
	go pending.run(ctx)
	return pending.result
}

// configServer serves the configuration to other routers.
type configServer struct {
	server configrpc.Server
	daemon *Daemon
}

func (serving *configServer) close() {
	if err := serving.server.Listener.Close(); err != nil {
		serving.daemon.Logger.Warn("Listener for routers not closed.", "Error", err)
	}
}

func (serving *configServer) run() {
	if err := serving.server.Run(); err != nil {
		serving.daemon.Logger.Error("Configuration no longer served to routers.", "Error", err)
	}
}
