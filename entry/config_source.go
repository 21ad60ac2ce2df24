package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/configrpc"
	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// routerFetchTimeout bounds fetching the configuration from one router.
	routerFetchTimeout = 600 * time.Millisecond
	// maxRoutersAsked bounds the routers that are tried for one read.
	maxRoutersAsked = 2
	// slowLinkMbps is the link rate in Mbit/s below which a configuration of a
	// thousand routes takes long to read from the store.
	slowLinkMbps = 100
	// slowLinkRouterWait is how long a router behind such a link waits at its
	// start for a message from a router that has a configuration.
	slowLinkRouterWait = 200 * time.Millisecond
	// newerConfigPollInterval is the time between two checks of whether another
	// router has a newer configuration.
	newerConfigPollInterval = 20 * time.Millisecond
)

// configSource reads the configuration's row from the store or from another
// router, and offers the row that it has to other routers.
type configSource struct {
	daemon  *Daemon
	store   *platform.Store
	service configrpc.Service
}

// publish makes the configuration's row available to other routers, unless it is older
// than the configuration in force, as in an older copy of the store.
func (source *configSource) publish(records []platform.Record) {
	for _, record := range records {
		if record.Key == platform.ConfigKey && !record.Deleted && platform.DecodeConfigVersion(record.Value) >= source.daemon.configVersion() {
			source.service.Set(configrpc.Row{Value: record.Value, Version: record.Version})
		}
	}
}

// readResult is what a read of the row returned.
type readResult struct {
	records platform.Records
	err     error
}

// adopt passes rows of the operators' table, which are complete up to version, to apply,
// and then offers what they say to other routers.
func (source *configSource) adopt(records []platform.Record, version ident.Revision, apply func(records []platform.Record, version ident.Revision)) {
	source.publish(records)
	apply(records, version)
	source.service.SetReadAt(version)
}

// evacuated returns the evacuated zones, for other routers.
func (source *configSource) evacuated() []evacuation.State {
	evacuated, _ := source.daemon.evacuations.Evacuated()
	return evacuated
}

// readAll reads the row from the store and from other routers concurrently and
// returns the first result. Behind a slow link it tries the routers first.
func (source *configSource) readAll(ctx context.Context, table platform.TableName, part platform.Part) (platform.Records, error) {
	if link := source.daemon.Config.LinkMbps; link > 0 && link < slowLinkMbps {
		if records, err := source.awaitRouterConfig(ctx); err == nil {
			return records, nil
		}
	}
	return source.firstResult(ctx, 0, func(ctx context.Context) (platform.Records, error) {
		return source.store.ReadAll(ctx, table, part)
	})
}

// awaitRouterConfig waits up to slowLinkRouterWait until another router
// announces a configuration, and fetches it.
func (source *configSource) awaitRouterConfig(ctx context.Context) (platform.Records, error) {
	bounded, cancel := context.WithTimeout(ctx, slowLinkRouterWait)
	defer cancel()
	if !source.awaitNewerConfig(bounded) {
		return platform.Records{}, errNoNewerConfig
	}
	return source.fetchFromRouters(ctx, 0)
}

// awaitNewerConfig waits until another router announces a newer configuration.
// It reports false if ctx ends first.
func (source *configSource) awaitNewerConfig(ctx context.Context) bool {
	daemon := source.daemon
	for len(daemon.scheduler.Newer(time.Now(), daemon.configVersion(), maxRoutersAsked)) == 0 {
		if !wait.Sleep(ctx, newerConfigPollInterval) {
			return false
		}
	}
	return true
}

// changes returns the row if it is newer than after. If hold is zero, it first
// tries routers that have announced a newer configuration. While the store
// handles the call, it also tries routers that announce one.
func (source *configSource) changes(ctx context.Context, table platform.TableName, after ident.Revision, hold ident.Milliseconds) (platform.Records, error) {
	if hold == 0 {
		if records, err := source.fetchFromRouters(ctx, after); err == nil {
			return records, nil
		}
	}
	return source.firstResult(ctx, after, func(ctx context.Context) (platform.Records, error) {
		return source.store.Changes(ctx, table, after, hold)
	})
}

// firstResult runs read, which reads from the store, and concurrently waits for
// a router with a row newer than after. It returns the first result. If reading
// from the routers fails, it returns the result of read.
func (source *configSource) firstResult(ctx context.Context, after ident.Revision, read func(ctx context.Context) (platform.Records, error)) (platform.Records, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fromRouter := startRead(ctx, func(ctx context.Context) (platform.Records, error) {
		if !source.awaitNewerConfig(ctx) {
			return platform.Records{}, ctx.Err()
		}
		return source.fetchFromRouters(ctx, after)
	})
	fromStore := startRead(ctx, read)
	select {
	case fetched := <-fromRouter:
		if fetched.err == nil {
			return fetched.records, nil
		}
		stored := <-fromStore
		return stored.records, stored.err
	case stored := <-fromStore:
		return stored.records, stored.err
	}
}

// fetchFromRouters fetches a row newer than after from routers that announced a
// newer configuration than the one in force, until one succeeds.
func (source *configSource) fetchFromRouters(ctx context.Context, after ident.Revision) (platform.Records, error) {
	daemon := source.daemon
	for _, address := range daemon.scheduler.Newer(time.Now(), daemon.configVersion(), maxRoutersAsked) {
		bounded, cancel := context.WithTimeout(ctx, routerFetchTimeout)
		row, err := configrpc.Fetch(bounded, address, after)
		cancel()
		if err != nil {
			daemon.metrics.CountEvent("config.router.failed")
			daemon.Logger.Debug("Reading the configuration from a router failed.", "Address", address, "Error", err)
			continue
		}
		records, err := source.recordsOf(row, address, after)
		if err != nil {
			daemon.Logger.Debug("Ignored the configuration of a router.", "Address", address, "RowVersion", row.Version, "Error", err)
			continue
		}
		daemon.metrics.CountEvent("config.router.read")
		daemon.Logger.Info("Configuration read from a router.", "Address", address, "RowVersion", row.Version, "ReadAt", row.ReadAt, "Evacuated", len(row.Evacuated))
		return records, nil
	}
	return platform.Records{}, errNoNewerConfig
}

// recordsOf returns the rows that the router at address gave. Their version is the one up to
// which it has read the table, and not that of the configuration's row: changes of the
// table's other rows from before it would never be read. A router of an earlier program
// doesn't say how far it has read: after, the version that this one has read to, then stays,
// and a router that has not read the table waits for the store, since it has no evacuations.
func (source *configSource) recordsOf(row configrpc.Row, address string, after ident.Revision) (platform.Records, error) {
	if after == 0 && row.ReadAt == 0 {
		return platform.Records{}, errNoEvacuations
	}
	records := platform.Records{
		Records: []platform.Record{{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: row.Value, Version: row.Version}},
		Version: max(after, row.ReadAt),
	}
	for _, state := range row.Evacuated {
		records.Records = append(records.Records, platform.EncodeEvacuation(state))
	}
	if row.ReadAt > 0 {
		// The zones that are not listed are not evacuated, which the rows alone don't say
		// if they are treated as changes.
		source.daemon.updater.ReplaceEvacuations(row.Evacuated, row.ReadAt, address)
	}
	return records, nil
}

// errNoNewerConfig means that no other router provided a newer configuration.
var errNoNewerConfig = errors.New("no other router provided a newer configuration")

// errNoEvacuations means that another router provided a configuration without the
// evacuations of the same table.
var errNoEvacuations = errors.New("the other router sent no evacuations with its configuration")

// asyncRead is a read in its own goroutine.
type asyncRead struct {
	read   func(ctx context.Context) (platform.Records, error)
	result chan readResult
}

func (async *asyncRead) run(ctx context.Context) {
	records, err := async.read(ctx)
	async.result <- readResult{records: records, err: err}
}

// startRead runs read in a goroutine. The returned channel is buffered, so that
// the goroutine ends even if nobody receives the result.
func startRead(ctx context.Context, read func(ctx context.Context) (platform.Records, error)) <-chan readResult {
	async := &asyncRead{read: read, result: make(chan readResult, 1)}
	go async.run(ctx)
	return async.result
}

// configServer serves the configuration's row to other routers.
type configServer struct {
	rpc    configrpc.Server
	daemon *Daemon
}

func (server *configServer) close() {
	if err := server.rpc.Listener.Close(); err != nil {
		server.daemon.Logger.Warn("Closing the listener for other routers failed.", "Error", err)
	}
}

func (server *configServer) run() {
	if err := server.rpc.Run(); err != nil {
		server.daemon.Logger.Error("Serving the configuration to other routers failed.", "Error", err)
	}
}
