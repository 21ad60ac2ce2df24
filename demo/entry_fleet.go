package demo

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/standin"
)

// What the entry routers of the demo serve.
const (
	entryHost    = "maison.example"
	entryKey     = "demo-key"
	entryService = ident.ServiceName("planogram")
	entryRouters = 3
	entryRunners = 3

	entryStopTime     = ident.Milliseconds(8000)
	entryLoadMultiple = 2
	entryRetryShare   = 0.2
	entryRetrySlack   = 20
)

// entryFleet runs entry routers, runners and the store that connects them.
type entryFleet struct {
	logger *slog.Logger
	// host is the fleet whose HTTP servers serve the stand-ins.
	host    *fleet
	store   standin.Platform
	storeAt string
	runners []*runnerRun
	routers []*entryRun
}

// runnerRun writes a runner's row until it is stopped.
type runnerRun struct {
	runner *standin.Runner
	stop   context.CancelFunc
	ended  chan struct{}
}

func (runnerRun *runnerRun) run(ctx context.Context) {
	defer close(runnerRun.ended)
	runnerRun.runner.Run(ctx)
}

// entryRun is a running entry router. ended is closed after err is set.
type entryRun struct {
	daemon  *entry.Daemon
	started chan entry.Addresses
	stop    context.CancelFunc
	ended   chan struct{}
	err     error

	mu        sync.Mutex
	addresses entry.Addresses
	leaving   bool
}

func (entryRun *entryRun) run(ctx context.Context) {
	defer close(entryRun.ended)
	entryRun.err = entryRun.daemon.Run(ctx)
}

func (entryRun *entryRun) reportStarted(addresses entry.Addresses) { entryRun.started <- addresses }

// leave stops the router gracefully. Callers no longer use it from then on.
func (entryRun *entryRun) leave() {
	entryRun.mu.Lock()
	entryRun.leaving = true
	entryRun.mu.Unlock()
	entryRun.stop()
	<-entryRun.ended
}

// callers returns the address for callers, and false once the router is leaving.
func (entryRun *entryRun) callers() (string, bool) {
	entryRun.mu.Lock()
	defer entryRun.mu.Unlock()
	return entryRun.addresses.Callers, !entryRun.leaving
}

// start starts the store, the runners and then the routers.
func (fleet *entryFleet) start() error {
	var err error
	if fleet.storeAt, err = fleet.host.serve(&fleet.store); err != nil {
		return err
	}
	if err := fleet.configure(1); err != nil {
		return err
	}
	for i := range entryRunners {
		if err := fleet.startRunner(ident.UpstreamID(fmt.Sprint("runner-", i+1))); err != nil {
			return err
		}
	}
	for i := range entryRouters {
		if err := fleet.startRouter(ident.VMID(fmt.Sprint("entry-", i+1))); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *entryFleet) startRunner(id ident.UpstreamID) error {
	runner := &standin.Runner{ID: id, Service: entryService, Write: fleet.write}
	var err error
	if runner.Address, err = fleet.host.serve(runner); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	runnerRun := &runnerRun{runner: runner, stop: stop, ended: make(chan struct{})}
	fleet.runners = append(fleet.runners, runnerRun)
	go runnerRun.run(ctx)
	return nil
}

func (fleet *entryFleet) write(record platform.Record) error {
	fleet.store.Write(record)
	return nil
}

func (fleet *entryFleet) startRouter(id ident.VMID) error {
	ctx, stop := context.WithCancel(context.Background())
	entryRun := &entryRun{stop: stop, started: make(chan entry.Addresses, 1), ended: make(chan struct{})}
	entryRun.daemon = &entry.Daemon{
		Config: config.Entry{
			VM: id, Zone: "a", Platform: fleet.storeAt,
			CallerListen: loopback, ReadyListen: loopback, PeerListen: loopback,
			StopTimeoutMs: entryStopTime, LoadMultiple: entryLoadMultiple,
			RetryShare: entryRetryShare, RetrySlack: entryRetrySlack,
		},
		Logger:  fleet.logger.With("VM", id),
		OnStart: entryRun.reportStarted,
	}
	fleet.routers = append(fleet.routers, entryRun)
	go entryRun.run(ctx)
	select {
	case entryRun.addresses = <-entryRun.started:
		return nil
	case <-entryRun.ended:
		return errors.Wrapf(entryRun.err, "start entry router %s", id)
	}
}

// configure writes a configuration to the store. Each version has its own route.
func (fleet *entryFleet) configure(version routing.Version) error {
	value, err := platform.EncodeConfig(entryConfig(version))
	if err != nil {
		return err
	}
	return fleet.write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value})
}

// entryConfig returns the configuration with the given version.
func entryConfig(version routing.Version) routing.Config {
	route := func(name ident.RouteName, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: entryHost, Prefix: "/" + string(name) + "/", Kind: kind, Timeout: 5000, Target: 500,
			MaxGap: 1000, MaxAttempts: attempts, Sticky: kind == routing.Stream,
			Shares: []routing.Share{{Service: entryService, Weight: 1}},
		}
	}
	return routing.Config{
		Version: version,
		Routes: []routing.Route{
			route("confirm", routing.NonIdempotent, 1), route("status", routing.Idempotent, 2), route("stream", routing.Stream, 1),
			route(ident.RouteName(fmt.Sprint("v", version)), routing.Idempotent, 2),
		},
		Services:   []routing.Service{{Name: entryService, MaxConnections: 200}},
		Workspaces: []routing.Workspace{{ID: workspaces[0], Keys: []string{entryKey}}},
		Limits:     routing.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

// waitReady waits until the readiness probe of every router succeeds.
func (fleet *entryFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, router := range fleet.routers {
		for !standin.Ready(ctx, router.addresses.Ready) {
			if ctx.Err() != nil {
				return errors.Wrapf(ctx.Err(), "entry router %s is not ready", router.daemon.Config.VM)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

// close stops the routers gracefully and then the runners. It returns the first
// error, with later ones attached.
func (fleet *entryFleet) close() error {
	var first error
	for _, router := range fleet.routers {
		router.stop()
	}
	for _, router := range fleet.routers {
		<-router.ended
		first = errors.CombineErrors(first, router.err)
	}
	for _, runner := range fleet.runners {
		runner.stop()
		<-runner.ended
	}
	return first
}
