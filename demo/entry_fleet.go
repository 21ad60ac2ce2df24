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

// entryFleet is entry routers, runners and the store between them.
type entryFleet struct {
	logger *slog.Logger
	// others serves the stand-ins.
	others  *fleet
	store   standin.Platform
	storeAt string
	runners []*runnerRun
	routers []*entryRun
}

// runnerRun keeps a runner's row until it is stopped.
type runnerRun struct {
	runner *standin.Runner
	stop   context.CancelFunc
	ended  chan struct{}
}

func (running *runnerRun) run(ctx context.Context) {
	defer close(running.ended)
	running.runner.Run(ctx)
}

// entryRun is one running entry router.
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

func (running *entryRun) run(ctx context.Context) {
	defer close(running.ended)
	running.err = running.daemon.Run(ctx)
}

func (running *entryRun) tell(addresses entry.Addresses) { running.started <- addresses }

// leave stops the router as planned; a balancer sends it no more callers.
func (running *entryRun) leave() {
	running.mu.Lock()
	running.leaving = true
	running.mu.Unlock()
	running.stop()
	<-running.ended
}

// callers returns where the router takes callers, and false while it leaves.
func (running *entryRun) callers() (string, bool) {
	running.mu.Lock()
	defer running.mu.Unlock()
	return running.addresses.Callers, !running.leaving
}

// start starts the store, the runners and then the routers.
func (fleet *entryFleet) start() error {
	var err error
	if fleet.storeAt, err = fleet.others.serve(&fleet.store); err != nil {
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
	if runner.Address, err = fleet.others.serve(runner); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &runnerRun{runner: runner, stop: stop, ended: make(chan struct{})}
	fleet.runners = append(fleet.runners, running)
	go running.run(ctx)
	return nil
}

func (fleet *entryFleet) write(record platform.Record) error {
	fleet.store.Write(record)
	return nil
}

func (fleet *entryFleet) startRouter(id ident.VMID) error {
	ctx, stop := context.WithCancel(context.Background())
	running := &entryRun{stop: stop, started: make(chan entry.Addresses, 1), ended: make(chan struct{})}
	running.daemon = &entry.Daemon{
		Config: config.Entry{
			VM: id, Zone: "a", Platform: fleet.storeAt,
			CallerListen: loopback, ReadyListen: loopback, PeerListen: loopback,
			StopTimeoutMs: entryStopTime, LoadMultiple: entryLoadMultiple,
			RetryShare: entryRetryShare, RetrySlack: entryRetrySlack,
		},
		Logger:  fleet.logger.With("VM", id),
		OnStart: running.tell,
	}
	fleet.routers = append(fleet.routers, running)
	go running.run(ctx)
	select {
	case running.addresses = <-running.started:
		return nil
	case <-running.ended:
		return errors.Wrapf(running.err, "entry router %s", id)
	}
}

// configure writes a configuration; each version has a route of its own.
func (fleet *entryFleet) configure(version routing.Version) error {
	value, err := platform.EncodeConfig(entryConfig(version))
	if err != nil {
		return err
	}
	return fleet.write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value})
}

// entryConfig returns the configuration with a number.
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

// waitReady waits until a balancer may send callers to every router.
func (fleet *entryFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, router := range fleet.routers {
		for !standin.Ready(ctx, router.addresses.Ready) {
			if ctx.Err() != nil {
				return errors.Wrapf(ctx.Err(), "entry router %s", router.daemon.Config.VM)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

// close stops the routers and then the runners, and returns the first error of
// a stop.
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
