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
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// headerTimeout bounds reading the headers of a request. The configured limit
	// is shorter, and callers stay within it.
	headerTimeout = 10 * time.Second
	// maxConfigHold is how long the store may hold a call that waits for a new
	// configuration. A call that the store accepts and never answers delays the
	// next one by as much.
	maxConfigHold ident.Milliseconds = 2500
	// upstreamPollInterval is the pause between two reads of changed upstreams.
	upstreamPollInterval ident.Milliseconds = 500
	// maintenanceInterval is the time between two rounds of periodic maintenance.
	maintenanceInterval = 500 * time.Millisecond
	// defaultIdleTimeout bounds idle connections of callers while no configuration
	// sets a limit.
	defaultIdleTimeout = 60 * time.Second
	// loadBoundSlack is how many requests above its multiple of the mean load an
	// upstream may have. Without it a small mean would leave no room.
	loadBoundSlack = 1.5
	// memoryLimitShare is the share of the configured memory that is set as the
	// runtime's soft memory limit, above which the garbage collector works harder.
	memoryLimitShare = 0.7
	bytesPerMB       = 1 << 20
	// routerIDBase is the numeric base in which the random ID of a run is written.
	// Each message to other routers carries the ID.
	routerIDBase = 36
	// requestLogLinesPerSecond bounds the log lines of requests that the first
	// upstream served.
	requestLogLinesPerSecond = 50
)

// Daemon is a router on an entry VM. Its fields are set before Run.
type Daemon struct {
	Config config.Entry
	// Reload reads the settings file again. With nil the settings never change.
	Reload func() (config.Entry, error)
	Logger *slog.Logger
	// LinesDropped returns how many log lines were dropped because the log's
	// reader did not keep up. With nil no gauge is registered.
	LinesDropped func() int64
	// OnStart, unless nil, is called once with the router's addresses as soon as
	// it listens.
	OnStart func(addresses Addresses)

	// settings holds the settings in force, which are Config until a reload.
	settings   atomic.Pointer[config.Entry]
	metrics    *metrics.Set
	routes     routing.CurrentTable
	registry   registry.Registry
	loads      balance.Loads
	cacheIndex balance.CacheIndex
	health     health.Tracker
	strikes    strike.Guard
	quota      quota.Tracker
	splits     split.Tracker
	origins    split.Origins
	gossip     *gossip.Gossip
	handler    *forward.Handler
	updater    *follow.Updater
	idleConns  forward.IdleConns
	stop       stopState
	warmup     *warmup
	// storeUp records since when the store has answered every call.
	storeUp stateStart
	// upstreamsReadAt is when the upstreams were last read from the store.
	upstreamsReadAt atomic.Pointer[time.Time]
	scheduler       follow.ReadScheduler
}

// Addresses are the addresses on which a router listens, each as IP:port.
type Addresses struct {
	Callers string
	Ready   string
	// Peers is the address for other routers, over UDP and TCP.
	Peers string
}

// Run serves until ctx ends and then performs a planned stop. It returns an
// error only if the router can't start.
func (daemon *Daemon) Run(ctx context.Context) error {
	reloader := &reloader{daemon: daemon, signals: make(chan os.Signal, 1)}
	signal.Notify(reloader.signals, syscall.SIGHUP)
	defer signal.Stop(reloader.signals)
	daemon.settings.Store(&daemon.Config)
	if err := daemon.prepare(); err != nil {
		return err
	}
	servers, err := daemon.listen()
	if err != nil {
		return err
	}
	// The loops outlive ctx, because requests are served during the stop, too.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	if err := daemon.startLoops(loopCtx); err != nil {
		return errors.CombineErrors(err, closeListeners(servers))
	}
	for _, server := range servers {
		go server.run()
	}
	callers, ready := servers[0].listener.Addr().String(), servers[1].listener.Addr().String()
	daemon.Logger.Info("Started.", "Zone", daemon.Config.Zone, "Callers", callers)
	if daemon.OnStart != nil {
		daemon.OnStart(Addresses{Callers: callers, Ready: ready, Peers: daemon.scheduler.Self})
	}
	go reloader.run(loopCtx)
	<-ctx.Done()
	daemon.shutdown(servers[0])
	for _, server := range servers[1:] {
		if err := server.server.Close(); err != nil {
			daemon.Logger.Warn("Closing a listener failed.", "Error", err)
		}
	}
	return nil
}

// prepare creates the metrics, the request handler and the updater.
func (daemon *Daemon) prepare() error {
	if limit := daemon.Config.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit) * bytesPerMB))
	}
	set, err := metrics.New("entry")
	if err != nil {
		return err
	}
	daemon.metrics = set
	if daemon.LinesDropped != nil {
		if err := set.Gauge("hickoryhead_log_lines_dropped", "Log lines dropped because they were not read fast enough.", daemon.LinesDropped); err != nil {
			return err
		}
	}
	daemon.strikes.WroteAfter = daemon.registry.WroteAfter
	daemon.strikes.OnEvent = daemon.logStrike
	daemon.strikes.Routers = daemon.routers
	daemon.strikes.Router = string(daemon.Config.VM)
	dialer := forward.Dialer()
	daemon.handler = &forward.Handler{
		Routes:      &daemon.routes,
		Registry:    &daemon.registry,
		Loads:       &daemon.loads,
		CacheIndex:  &daemon.cacheIndex,
		Health:      &daemon.health,
		Strikes:     &daemon.strikes,
		Quota:       &daemon.quota,
		Splits:      &daemon.splits,
		Origins:     &daemon.origins,
		Connections: &forward.Connections{Dial: dialer.DialContext},
		Zone:        daemon.Config.Zone,
		Routers:     daemon.routers,
		Metrics:     set,
		Logger:      logging.Component(daemon.Logger, "forward"),
		LogLimiter:  rate.NewLimiter(requestLogLinesPerSecond, requestLogLinesPerSecond),
	}
	daemon.applyTuning()
	daemon.updater = &follow.Updater{
		Routes:           &daemon.routes,
		Registry:         &daemon.registry,
		OnUpstreamChange: daemon.forgetUpstream,
		Metrics:          set,
		Logger:           logging.Component(daemon.Logger, "follow"),
	}
	daemon.handler.OnAnnounced = daemon.updater.ApplyAnnounced
	return nil
}

// routers returns the number of routers that are known to run, this one included.
func (daemon *Daemon) routers() int { return daemon.loads.PeerCount() + 1 }

// setStoreReachable records whether the store answered the last call for
// upstreams.
func (daemon *Daemon) setStoreReachable(reachable bool) {
	now := time.Now()
	daemon.registry.SetStoreDown(now, !reachable)
	daemon.storeUp.update(now, reachable)
	if reachable {
		daemon.upstreamsReadAt.Store(&now)
	}
}

// stateStart records when a state began that still holds. The zero value is a
// state that does not hold. It is safe for concurrent use.
type stateStart struct {
	mu    sync.Mutex
	began time.Time
}

// update records at now whether the state holds. A state that holds already
// keeps its beginning.
func (start *stateStart) update(now time.Time, holds bool) {
	start.mu.Lock()
	defer start.mu.Unlock()
	switch {
	case !holds:
		start.began = time.Time{}
	case start.began.IsZero():
		start.began = now
	}
}

// since returns when the state began, and the zero time if it does not hold.
func (start *stateStart) since() time.Time {
	start.mu.Lock()
	defer start.mu.Unlock()
	return start.began
}

// forgetUpstream discards the health and cache entries of an upstream whose row
// changed, because it may have been restarted or removed. An upstream that is
// leaving keeps them.
func (daemon *Daemon) forgetUpstream(upstream registry.Upstream) {
	if upstream.Leaving {
		return
	}
	listed, _ := daemon.registry.Upstream(upstream.ID)
	daemon.strikes.Ended(time.Now(), upstream.ID, listed.Incarnation)
	daemon.health.Forget(upstream.ID)
	daemon.cacheIndex.Forget(upstream.ID)
}

// startLoops starts the background loops that keep the router's state up to
// date. They end with ctx.
func (daemon *Daemon) startLoops(ctx context.Context) error {
	socket, listener, err := listenPeers(daemon.Config.PeerListen)
	if err != nil {
		return err
	}
	exchange := daemon.newGossip(socket)
	daemon.gossip = exchange
	daemon.handler.RegisteredRouters = exchange.Count
	daemon.warmup = newWarmup(daemon, exchange)
	daemon.handler.Warm = daemon.warmup.allDone
	daemon.scheduler.Self = exchange.Address
	daemon.updater.Relay = exchange.Relay
	traffic := &metrics.Traffic{Set: daemon.metrics, Peer: metrics.PeerPlatform}
	store := platform.NewStore(daemon.Config.Platform, traffic)
	source := &configSource{daemon: daemon, store: store}
	server := &configServer{rpc: configrpc.Server{Service: &source.service, Listener: listener}, daemon: daemon}
	go server.run()
	context.AfterFunc(ctx, server.close)
	for _, table := range []*follow.Table{daemon.newConfigTable(source), daemon.newUpstreamTable(store)} {
		follower := &follower{table: table}
		go follower.run(ctx)
	}
	strikeStore := newStrikeStore(daemon, store)
	go strikeStore.run(ctx)
	versions := newVersions(daemon, store, exchange)
	go versions.run(ctx)
	membership := &membership{store: store, gossip: exchange, daemon: daemon}
	go membership.run(ctx)
	gossiper := &gossiper{gossip: exchange}
	go gossiper.run(ctx)
	go daemon.warmup.run(ctx)
	maintenance := &maintenance{daemon: daemon}
	go maintenance.run(ctx)
	return nil
}

// newGossip returns the gossip with other routers over socket.
func (daemon *Daemon) newGossip(socket net.PacketConn) *gossip.Gossip {
	return &gossip.Gossip{
		Router:     balance.RouterID(strconv.FormatUint(rand.Uint64(), routerIDBase)),
		Started:    time.Now(),
		Address:    socket.LocalAddr().String(),
		Conn:       socket,
		Loads:      &daemon.loads,
		CacheIndex: &daemon.cacheIndex,
		Health:     &daemon.health,
		Strikes:    &daemon.strikes,
		Quota:      &daemon.quota,
		Fill:       daemon.fillMessage,
		OnMessage:  daemon.applyMessage,
		Metrics:    daemon.metrics,
		Logger:     logging.Component(daemon.Logger, "gossip"),
	}
}

// newConfigTable returns a table that follows the configuration.
func (daemon *Daemon) newConfigTable(source *configSource) *follow.Table {
	adopt := func(records []platform.Record, version ident.Revision) {
		source.publish(records)
		daemon.updater.ApplyConfig(records, version)
	}
	return &follow.Table{
		Name:        platform.OperatorTable,
		Wait:        daemon.configHold,
		Due:         daemon.configDue,
		ReadAll:     source.readAll,
		Changes:     source.changes,
		OnReplace:   adopt,
		OnChange:    adopt,
		OnStoreCall: func(bool) {},
		Metrics:     daemon.metrics,
		Logger:      logging.Component(daemon.Logger, "follow"),
	}
}

// newUpstreamTable returns a table that follows the rows of the upstreams.
func (daemon *Daemon) newUpstreamTable(store *platform.Store) *follow.Table {
	return &follow.Table{
		Name:        platform.ServerTable,
		Pause:       upstreamPollInterval,
		Due:         daemon.upstreamsDue,
		ReadAll:     store.ReadAll,
		Changes:     store.Changes,
		OnReplace:   daemon.updater.ReplaceUpstreams,
		OnChange:    daemon.updater.ApplyUpstreams,
		OnStoreCall: daemon.setStoreReachable,
		Metrics:     daemon.metrics,
		Logger:      logging.Component(daemon.Logger, "follow"),
	}
}

// follower follows one table of the store.
type follower struct {
	table *follow.Table
}

func (follower *follower) run(ctx context.Context) { follower.table.Run(ctx) }

// maintenance periodically discards expired state and idle connections.
type maintenance struct {
	daemon *Daemon
}

func (maintenance *maintenance) run(ctx context.Context) {
	wait.Every(ctx, maintenanceInterval, func(context.Context) { maintenance.daemon.maintain(time.Now()) })
}

// maintain performs one round of maintenance. During a planned stop it leaves
// idle connections open, because callers may still be sent here.
func (daemon *Daemon) maintain(now time.Time) {
	daemon.updater.Expire()
	listed := daemon.registry.Upstreams()
	daemon.handler.Connections.Retain(listed)
	daemon.quota.Retain(now, listed)
	daemon.quota.SetRouters(now, daemon.gossip.Address, daemon.gossip.Live(now))
	daemon.loads.Expire(now)
	daemon.strikes.Maintain(now)
	if !daemon.stop.stopping() {
		daemon.idleConns.CloseOlder(now.Add(-daemon.idleTimeout()))
	}
}

// idleTimeout returns how long a caller's connection may be idle before it is
// closed.
func (daemon *Daemon) idleTimeout() time.Duration {
	table := daemon.routes.Table()
	if table == nil || table.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Limits.IdleTimeout.Duration()
}

// ready reports whether the balancer may send callers to this router.
func (daemon *Daemon) ready() bool {
	return !daemon.stop.stopping() && daemon.routes.Table() != nil && daemon.registry.Loaded() && daemon.warmup.isLocalDone()
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
		service.logger.Error("HTTP server failed.", "Error", err)
	}
}

// closeListeners closes the listeners of services that were not run.
func closeListeners(services []*httpService) error {
	var failure error
	for _, service := range services {
		failure = errors.CombineErrors(failure, service.listener.Close())
	}
	return failure
}

// listen opens the configured listeners and returns a service for each, the one
// for callers first.
func (daemon *Daemon) listen() ([]*httpService, error) {
	endpoints := []struct {
		address string
		handler http.Handler
	}{
		{daemon.Config.CallerListen, daemon.handler},
		{daemon.Config.ReadyListen, http.HandlerFunc(daemon.serveReady)},
		{daemon.Config.MetricsListen, daemon.metrics.Handler()},
	}
	var services []*httpService
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "open HTTP listener"), closeListeners(services))
		}
		services = append(services, &httpService{
			listener: listener,
			logger:   daemon.Logger,
			server: &http.Server{
				Handler:           endpoint.handler,
				ReadHeaderTimeout: headerTimeout,
				ErrorLog:          slog.NewLogLogger(daemon.Logger.Handler(), slog.LevelDebug),
			},
		})
	}
	callers := services[0]
	callers.listener = forward.Listener{Listener: callers.listener}
	callers.server.ConnContext = forward.ConnContext
	callers.server.ConnState = daemon.idleConns.Track
	return services, nil
}
