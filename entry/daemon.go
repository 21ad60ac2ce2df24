package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/configrpc"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/overload"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/strike"
)

const (
	// maxConfigHold is how long the store may hold a call that waits for a new
	// configuration. On a connection that has gone silent, a call is repeated after that
	// and the delay of platform.Store, unless another read finds it out before.
	maxConfigHold ident.Milliseconds = 2500
	// loadBoundSlack is how many requests above its multiple of the mean load an
	// upstream may have. Without it a small mean would leave no room.
	loadBoundSlack = 1.5
	// minLoadDelay is the least time within which the requests of a router are assumed to be
	// known to all others.
	minLoadDelay = 200 * time.Millisecond
	// stateDelayPerLoad is the ratio of the delay of store states (gossip.Delay) to that of
	// loads, which are sent twice as often.
	stateDelayPerLoad = 2
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
	settings    atomic.Pointer[config.Entry]
	metrics     *metrics.Set
	routes      routing.CurrentTable
	registry    registry.Registry
	evacuations evacuation.Tracker
	loads       balance.Loads
	cacheIndex  balance.CacheIndex
	health      health.Tracker
	costs       cost.Model
	strikes     strike.Guard
	quota       quota.Tracker
	overload    overload.Controller
	// loadDelay is the time within which the requests of a router are known to all others,
	// in nanoseconds, or zero if that is not known yet.
	loadDelay     atomic.Int64
	splits        split.Tracker
	origins       split.Origins
	gossip        *gossip.Gossip
	handler       *forward.Handler
	updater       *follow.Updater
	callerConns   forward.CallerConns
	stalls        memory.Stalls
	stop          stopState
	stall         stallGuard
	stallRecorder stallRecorder
	warmup        *warmup
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
	// Internal is the address of metrics, or empty if there is none.
	Internal string
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
	addresses := daemon.addresses(servers)
	daemon.Logger.Info("Started.", "Zone", daemon.Config.Zone, "Callers", addresses.Callers, "Ready", addresses.Ready, "Peers", addresses.Peers, "Internal", addresses.Internal)
	if daemon.OnStart != nil {
		daemon.OnStart(addresses)
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

// addresses returns the addresses of the services that listen returned, and of the gossip.
func (daemon *Daemon) addresses(services []*httpService) Addresses {
	addresses := Addresses{
		Callers: services[0].listener.Addr().String(),
		Ready:   services[1].listener.Addr().String(),
		Peers:   daemon.scheduler.Self,
	}
	if daemon.Config.MetricsListen != "" {
		addresses.Internal = services[2].listener.Addr().String()
	}
	return addresses
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
	if err := set.Gauge("hickoryhead_zones_evacuated", "Availability zones that are evacuated, as far as the router knows.", daemon.evacuatedZones); err != nil {
		return err
	}
	daemon.strikes.WroteAfter = daemon.registry.WroteAfter
	daemon.strikes.OnEvent = daemon.logStrike
	daemon.strikes.Router = strconv.FormatUint(rand.Uint64(), routerIDBase)
	dialer := forward.Dialer()
	daemon.handler = &forward.Handler{
		Routes:      &daemon.routes,
		Registry:    &daemon.registry,
		Loads:       &daemon.loads,
		CacheIndex:  &daemon.cacheIndex,
		Health:      &daemon.health,
		Strikes:     &daemon.strikes,
		Quota:       &daemon.quota,
		LoadDelay:   daemon.currentLoadDelay,
		Splits:      &daemon.splits,
		Origins:     &daemon.origins,
		Connections: &forward.Connections{Dial: dialer.DialContext},
		Memory:      memory.Account{Limit: memoryFor(daemon.Config)},
		Zone:        daemon.Config.Zone,
		Routers:     daemon.routers,
		Metrics:     set,
		Logger:      logging.Component(daemon.Logger, "forward"),
		LogLimiter:  rate.NewLimiter(requestLogLinesPerSecond, requestLogLinesPerSecond),
	}
	if err := daemon.registerGauges(); err != nil {
		return err
	}
	daemon.applyTuning()
	daemon.updater = &follow.Updater{
		Routes:           &daemon.routes,
		Registry:         &daemon.registry,
		OnUpstreamChange: daemon.forgetUpstream,
		Evacuations:      &daemon.evacuations,
		Metrics:          set,
		Logger:           logging.Component(daemon.Logger, "follow"),
	}
	daemon.registry.Heartbeat = daemon.Config.HeartbeatMs.Duration()
	daemon.registry.OnKept = daemon.updater.ReportKept
	daemon.registry.OnOutdated = daemon.updater.ReportOutdated
	daemon.updater.OnEvacuationEnd = daemon.markCold
	daemon.handler.OnAnnounced = daemon.updater.ApplyAnnounced
	daemon.handler.LastStall = daemon.stallRecorder.last
	daemon.stall.longest = longestStall(daemon.Config)
	daemon.stall.metrics, daemon.stall.logger = set, daemon.Logger
	if daemon.stall.longest > 0 {
		daemon.handler.AwaitCurrent = daemon.stall.await
	}
	return daemon.prepareCold()
}

// evacuatedZones returns the number of evacuated zones.
func (daemon *Daemon) evacuatedZones() int64 {
	evacuated, _ := daemon.evacuations.Evacuated()
	return int64(len(evacuated))
}

// evacuationsRead reports whether the rows of evacuations were read, here or by the router
// that gave the first configuration.
func (daemon *Daemon) evacuationsRead() bool {
	_, readAt := daemon.evacuations.Evacuated()
	return readAt > 0
}

// routers returns the number of routers that are known to run, this one included.
func (daemon *Daemon) routers() int { return daemon.loads.PeerCount() + 1 }

// currentLoadDelay returns the time within which the requests of a router are known to all
// others.
func (daemon *Daemon) currentLoadDelay() time.Duration {
	return max(time.Duration(daemon.loadDelay.Load()), minLoadDelay)
}

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
	daemon.costs.Forget(upstream.ID)
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
	daemon.scheduler.Delay = exchange.Delay
	daemon.updater.Relay = exchange.Relay
	daemon.updater.RelayEvacuations = exchange.SendEvacuations
	traffic := &metrics.Traffic{Set: daemon.metrics, Peer: metrics.PeerPlatform}
	store := platform.NewStore(daemon.Config.Platform, traffic)
	store.OnSilent = daemon.logSilentStore
	source := &configSource{daemon: daemon, store: store}
	source.service.Evacuations = source.evacuated
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
	go daemon.stall.run(ctx)
	go daemon.stallRecorder.run(ctx)
	maintenance := &maintenance{daemon: daemon}
	go maintenance.run(ctx)
	return nil
}

// logSilentStore logs that a connection to the store is silent, while new ones work.
func (daemon *Daemon) logSilentStore(openedAt time.Time) {
	daemon.Logger.Warn("Connection to the store is silent, a new one is used.", "OpenedAt", openedAt)
}

// newGossip returns the gossip with other routers over socket.
func (daemon *Daemon) newGossip(socket net.PacketConn) *gossip.Gossip {
	return &gossip.Gossip{
		Router:        balance.RouterID(daemon.strikes.Router),
		Started:       time.Now(),
		Address:       socket.LocalAddr().String(),
		Zone:          daemon.Config.Zone,
		Conn:          socket,
		Loads:         &daemon.loads,
		CacheIndex:    &daemon.cacheIndex,
		Health:        &daemon.health,
		Strikes:       &daemon.strikes,
		Quota:         &daemon.quota,
		Evacuations:   &daemon.evacuations,
		OnEvacuations: daemon.updater.ApplyRemoteEvacuations,
		Fill:          daemon.fillMessage,
		OnMessage:     daemon.applyMessage,
		OnSummary:     daemon.applySummary,
		Metrics:       daemon.metrics,
		Logger:        logging.Component(daemon.Logger, "gossip"),
	}
}
