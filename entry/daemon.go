package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/configrpc"
	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// headerTimeout bounds the reading of a request's head; the configuration
	// allows less, and callers stay within it.
	headerTimeout = 10 * time.Second
	// configWait is how long the store may hold a call for a new configuration. A
	// call that a silent store swallowed delays the next one by as much.
	configWait ident.Milliseconds = 2500
	// upstreamPause is the time between two calls for changed upstreams.
	upstreamPause ident.Milliseconds = 500
	// upkeepEvery is the time between two rounds of upkeep.
	upkeepEvery = 500 * time.Millisecond
	// defaultIdle is how long a caller's connection may be idle before the
	// configuration is known.
	defaultIdle = 60 * time.Second
	// boundSlack is how far above its multiple of the mean an upstream may be
	// loaded: a small mean leaves no room otherwise.
	boundSlack = 1.5
	// memoryShare is the part of the allowed memory at which the garbage
	// collector works harder.
	memoryShare = 0.7
	megabyte    = 1 << 20
	// routerIDBase is the number system of the random ID of a run, which stands in
	// each message to other routers.
	routerIDBase = 36
	// linesPerSecond bounds the log lines of requests served at first offer.
	linesPerSecond = 50
)

// Daemon is a router on an entry VM. Its fields are set before Run.
type Daemon struct {
	Config config.Entry
	// Reload reads the settings file again; nil reads none.
	Reload func() (config.Entry, error)
	Logger *slog.Logger
	// LinesDropped returns how many log lines a reader that does not read has
	// cost; nil counts none.
	LinesDropped func() int64
	// Started is told where the router listens, once it does; nil is not told.
	Started func(addresses Addresses)

	// inForce holds the settings, Config at first.
	inForce    atomic.Pointer[config.Entry]
	metrics    *metrics.Set
	routes     routing.CurrentTable
	registry   registry.Registry
	loads      balance.Loads
	cacheIndex balance.CacheIndex
	health     health.Tracker
	handler    *forward.Handler
	updater    *follow.Updater
	idle       forward.IdleConns
	stop       stopState
	warmup     *warmup
	// storeServes says since when the store answers without a break.
	storeServes timestamp
	// readAt is when the upstreams were read last.
	readAt    atomic.Pointer[time.Time]
	scheduler follow.ReadScheduler
}

// Addresses are where a router listens, IP:port.
type Addresses struct {
	Callers string
	Ready   string
	// Peers is where other routers reach this one.
	Peers string
}

// Run serves until ctx ends and then stops as planned.
func (daemon *Daemon) Run(ctx context.Context) error {
	reloader := &reloader{daemon: daemon, signals: make(chan os.Signal, 1)}
	signal.Notify(reloader.signals, syscall.SIGHUP)
	defer signal.Stop(reloader.signals)
	daemon.inForce.Store(&daemon.Config)
	if err := daemon.prepare(); err != nil {
		return err
	}
	servers, err := daemon.listen()
	if err != nil {
		return err
	}
	// The loops outlive the signal to stop, since requests go on being served.
	working, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	if err := daemon.follow(working); err != nil {
		return err
	}
	for _, server := range servers {
		go server.run()
	}
	callers, ready := servers[0].listener.Addr().String(), servers[1].listener.Addr().String()
	daemon.Logger.Info("Started.", "Zone", daemon.Config.Zone, "Callers", callers)
	if daemon.Started != nil {
		daemon.Started(Addresses{Callers: callers, Ready: ready, Peers: daemon.scheduler.Self})
	}
	go reloader.run(working)
	<-ctx.Done()
	daemon.leave(servers[0])
	for _, server := range servers[1:] {
		if err := server.server.Close(); err != nil {
			daemon.Logger.Warn("Listener not closed.", "Error", err)
		}
	}
	return nil
}

func (daemon *Daemon) prepare() error {
	if limit := daemon.Config.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit) * megabyte))
	}
	set, err := metrics.New("entry")
	if err != nil {
		return err
	}
	daemon.metrics = set
	if daemon.LinesDropped != nil {
		if err := set.Gauge("hickoryhead_log_lines_dropped", "log lines that were not written", daemon.LinesDropped); err != nil {
			return err
		}
	}
	dialer := forward.Dialer()
	daemon.handler = &forward.Handler{
		Routes:      &daemon.routes,
		Registry:    &daemon.registry,
		Loads:       &daemon.loads,
		CacheIndex:  &daemon.cacheIndex,
		Health:      &daemon.health,
		Connections: &forward.Connections{Dial: dialer.DialContext},
		Zone:        daemon.Config.Zone,
		Routers:     func() int { return daemon.loads.PeerCount() + 1 },
		Metrics:     set,
		Logger:      logging.Component(daemon.Logger, "forward"),
		LogLimiter:  rate.NewLimiter(linesPerSecond, linesPerSecond),
	}
	daemon.tune()
	daemon.updater = &follow.Updater{
		Routes:           &daemon.routes,
		Registry:         &daemon.registry,
		OnUpstreamChange: daemon.renewed,
		Metrics:          set,
		Logger:           logging.Component(daemon.Logger, "follow"),
	}
	return nil
}

// reached takes in whether the store answered the last call for upstreams.
func (daemon *Daemon) reached(reachable bool) {
	now := time.Now()
	daemon.registry.SetStoreDown(now, !reachable)
	daemon.storeServes.keep(now, reachable)
	if reachable {
		daemon.readAt.Store(&now)
	}
}

// timestamp is when a state began that holds now. It is safe for concurrent
// use.
type timestamp struct {
	mu    sync.Mutex
	began time.Time
}

// keep sets the beginning to now unless the state holds already, or to none.
func (timestamp *timestamp) keep(now time.Time, holds bool) {
	timestamp.mu.Lock()
	defer timestamp.mu.Unlock()
	switch {
	case !holds:
		timestamp.began = time.Time{}
	case timestamp.began.IsZero():
		timestamp.began = now
	}
}

func (timestamp *timestamp) since() time.Time {
	timestamp.mu.Lock()
	defer timestamp.mu.Unlock()
	return timestamp.began
}

// renewed drops what was learned of an upstream's former run.
func (daemon *Daemon) renewed(upstream registry.Upstream) {
	if upstream.Leaving {
		return
	}
	daemon.health.Forget(upstream.ID)
	daemon.cacheIndex.Forget(upstream.ID)
}

// follow starts the loops that keep what the router believes up to date.
func (daemon *Daemon) follow(ctx context.Context) error {
	socket, listener, err := listenPeers(daemon.Config.PeerListen)
	if err != nil {
		return err
	}
	exchange := daemon.newGossip(socket)
	daemon.warmup = newWarmup(daemon, exchange)
	daemon.handler.Warm = daemon.warmup.settled
	daemon.scheduler.Self = exchange.Address
	daemon.updater.Relay = exchange.Relay
	traffic := &metrics.Traffic{Set: daemon.metrics, Peer: metrics.PeerPlatform}
	store := platform.NewStore(daemon.Config.Platform, traffic)
	source := &configSource{daemon: daemon, store: store}
	serving := &configServer{server: configrpc.Server{Service: &source.service, Listener: listener}, daemon: daemon}
	go serving.run()
	context.AfterFunc(ctx, serving.close)
	for _, table := range []*follow.Table{daemon.configTable(source), daemon.upstreamTable(store)} {
		follower := &follower{table: table}
		go follower.run(ctx)
	}
	membership := &membership{store: store, gossip: exchange, daemon: daemon}
	go membership.run(ctx)
	gossiper := &gossiper{gossip: exchange}
	go gossiper.run(ctx)
	go daemon.warmup.run(ctx)
	upkeep := &upkeep{daemon: daemon}
	go upkeep.run(ctx)
	return nil
}

// newGossip returns the exchange of messages with other routers over socket.
func (daemon *Daemon) newGossip(socket net.PacketConn) *gossip.Gossip {
	return &gossip.Gossip{
		Router:     balance.RouterID(strconv.FormatUint(rand.Uint64(), routerIDBase)),
		Started:    time.Now(),
		Address:    socket.LocalAddr().String(),
		Conn:       socket,
		Loads:      &daemon.loads,
		CacheIndex: &daemon.cacheIndex,
		Health:     &daemon.health,
		Fill:       daemon.fill,
		OnMessage:  daemon.heard,
		Metrics:    daemon.metrics,
		Logger:     logging.Component(daemon.Logger, "gossip"),
	}
}

// configTable returns what follows the configuration.
func (daemon *Daemon) configTable(source *configSource) *follow.Table {
	adopt := func(records []platform.Record, version ident.Revision) {
		source.hold(records)
		daemon.updater.ApplyConfig(records, version)
	}
	return &follow.Table{
		Name:      platform.OperatorTable,
		Wait:      daemon.configWait,
		Due:       daemon.configDue,
		ReadAll:   source.readAll,
		Changes:   source.changes,
		Replaced:  adopt,
		Changed:   adopt,
		Reachable: func(bool) {},
		Metrics:   daemon.metrics,
		Logger:    logging.Component(daemon.Logger, "follow"),
	}
}

// upstreamTable returns what follows the rows of the upstreams.
func (daemon *Daemon) upstreamTable(store *platform.Store) *follow.Table {
	return &follow.Table{
		Name:      platform.ServerTable,
		Pause:     upstreamPause,
		Due:       daemon.upstreamsDue,
		ReadAll:   store.ReadAll,
		Changes:   store.Changes,
		Replaced:  daemon.updater.ReplaceUpstreams,
		Changed:   daemon.updater.ApplyUpstreams,
		Reachable: daemon.reached,
		Metrics:   daemon.metrics,
		Logger:    logging.Component(daemon.Logger, "follow"),
	}
}

// follower follows one table of the store until its context ends.
type follower struct {
	table *follow.Table
}

func (follower *follower) run(ctx context.Context) { follower.table.Run(ctx) }

// upkeep drops what is no longer of use, until its context ends.
type upkeep struct {
	daemon *Daemon
}

func (upkeep *upkeep) run(ctx context.Context) {
	wait.Every(ctx, upkeepEvery, func(context.Context) { upkeep.daemon.keepUp(time.Now()) })
}

func (daemon *Daemon) keepUp(now time.Time) {
	daemon.updater.Expire()
	daemon.handler.Connections.Retain(daemon.registry.Upstreams())
	daemon.loads.Expire(now)
	if !daemon.stop.stopping() {
		daemon.idle.CloseOlder(now.Add(-daemon.idleLimit()))
	}
}

// idleLimit returns how long a caller's connection may be idle.
func (daemon *Daemon) idleLimit() time.Duration {
	table := daemon.routes.Table()
	if table == nil || table.Limits.IdleTimeout <= 0 {
		return defaultIdle
	}
	return table.Limits.IdleTimeout.Duration()
}

// ready reports whether the balancer may send callers.
func (daemon *Daemon) ready() bool {
	return !daemon.stop.stopping() && daemon.routes.Table() != nil && daemon.registry.Loaded() && daemon.warmup.isDone()
}

func (daemon *Daemon) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !daemon.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// httpService serves HTTP on one listener.
type httpService struct {
	server   *http.Server
	listener net.Listener
	logger   *slog.Logger
}

func (service *httpService) run() {
	err := service.server.Serve(service.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		service.logger.Error("HTTP server ended.", "Error", err)
	}
}

// listen opens the listeners, the callers' one first.
func (daemon *Daemon) listen() ([]*httpService, error) {
	parts := []struct {
		address string
		handler http.Handler
	}{
		{daemon.Config.CallerListen, daemon.handler},
		{daemon.Config.ReadyListen, http.HandlerFunc(daemon.serveReady)},
		{daemon.Config.MetricsListen, daemon.metrics.Handler()},
	}
	var services []*httpService
	for _, part := range parts {
		if part.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", part.address)
		if err != nil {
			return nil, errors.Wrap(err, "listener")
		}
		services = append(services, &httpService{
			listener: listener,
			logger:   daemon.Logger,
			server: &http.Server{
				Handler:           part.handler,
				ReadHeaderTimeout: headerTimeout,
				ErrorLog:          slog.NewLogLogger(daemon.Logger.Handler(), slog.LevelDebug),
			},
		})
	}
	callers := services[0]
	callers.listener = forward.Listener{Listener: callers.listener}
	callers.server.ConnContext = forward.ConnContext
	callers.server.ConnState = daemon.idle.Track
	return services, nil
}
