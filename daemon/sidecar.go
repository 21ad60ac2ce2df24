package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/claimtable"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/placement"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/sidecar"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// defaultClaimsPerSecond allows for fifteen sidecars of plain services that share
// a table with a limit of 300 writes per second.
const defaultClaimsPerSecond = 20

// lingerTime is how long a drained sidecar still serves requests before its listener is
// closed.
const lingerTime = time.Second

// Sidecar is the daemon that runs next to one upstream. Set its exported fields
// before Run.
type Sidecar struct {
	Config config.Sidecar
	Logger *slog.Logger
	// OnStart, if not nil, is called with the addresses once the daemon listens on
	// all of them.
	OnStart func(addresses Addresses)

	base    *base
	core    *sidecar.Sidecar
	hop     *httpService
	strikes *strikeBroadcaster
	claims  *claimtable.Claimer
	// poolClient sends HTTP requests to the other sidecars of the pool.
	poolClient *sidecar.Client
}

// Run runs the sidecar until ctx ends. It then waits until the requests in flight
// are answered or the stop timeout passes, which is an error.
func (daemon *Sidecar) Run(ctx context.Context) error {
	base, err := newBase(daemon.Config.Daemon, platform.RoleSidecar, daemon.Logger)
	if err != nil {
		return err
	}
	daemon.base = base
	servicesCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := daemon.start(servicesCtx); err != nil {
		return err
	}
	base.logger.Info("Started.", "hop", daemon.hop.address(), "upstream", daemon.Config.Upstream.ID)
	if daemon.OnStart != nil {
		daemon.OnStart(Addresses{Hop: daemon.hop.address(), Peers: base.peerListener.Addr().String()})
	}
	<-ctx.Done()
	return daemon.stop(servicesCtx)
}

func (daemon *Sidecar) start(ctx context.Context) error {
	base := daemon.base
	if err := base.listen(); err != nil {
		return err
	}
	daemon.core = daemon.newCore()
	server := &sidecar.Server{Sidecar: daemon.core, Token: base.hopToken()}
	hop, err := newHTTPService(daemon.Config.HopListen, server.Handler(), base.logger, hopDescriptorShare)
	if err != nil {
		return errors.Wrap(err, "start HTTP server for the hop")
	}
	daemon.hop = hop
	if err := daemon.register(); err != nil {
		return err
	}
	watcher, err := newVMWatcher(base, platform.RoleSidecar, daemon.core.Leave)
	if err != nil {
		return err
	}
	base.start(ctx, platform.RoleSidecar)
	go watcher.run(ctx)
	poller := &peerPoller{watcher: watcher}
	go poller.loop(ctx)
	sampler := &sampler{base: base, core: daemon.core, pool: daemon.pool}
	go sampler.run(ctx)
	maintenance := &maintenance{core: daemon.core}
	go maintenance.run(ctx)
	go daemon.strikes.run(ctx)
	if daemon.core.Prefixes != nil {
		events := &cacheEvents{prefixes: daemon.core.Prefixes}
		go events.run(ctx)
		probe := &probe{core: daemon.core}
		go probe.run(ctx)
	}
	go hop.run()
	return nil
}

// newCore returns the component that runs requests at the upstream.
func (daemon *Sidecar) newCore() *sidecar.Sidecar {
	base := daemon.base
	configured := daemon.Config.Upstream
	control := &metrics.Traffic{Set: base.metrics, Peer: metrics.PeerUpstream}
	core := &sidecar.Sidecar{
		Upstream: platform.VMUpstream{
			ID:      configured.ID,
			Model:   configured.Model,
			Service: configured.Service,
			Weight:  configured.Weight,
		},
		Client:      upstream.New(configured.Address, upstream.Options{Control: control}),
		Limit:       configured.Limit,
		View:        base.view,
		ReplayBytes: daemon.Config.ReplayBytes,
		Metrics:     base.metrics,
		Logger:      daemon.Logger,
	}
	core.PoolIDs = daemon.poolIDs
	if configured.Service != "" {
		daemon.claims = daemon.newClaimer()
		core.Claims = daemon.claims.Run
	}
	if configured.Model != "" {
		core.Prefixes = daemon.newPrefixes(core.Client)
	}
	daemon.strikes = &strikeBroadcaster{base: base, pool: daemon.pool, pending: make(chan peer.StrikeArgs, maxPendingStrikes)}
	core.OnStrikes = daemon.strikes.enqueue
	return core
}

// newGuard returns the component that refuses orders of earlier lease holders.
func (daemon *Sidecar) newGuard() *placement.Guard {
	return &placement.Guard{
		Current: placement.CurrentFence(daemon.base.platform),
		Order:   daemon.core.Client.Order,
		Metrics: daemon.base.metrics,
	}
}

// newClaimer returns the component that claims requests that are not idempotent.
func (daemon *Sidecar) newClaimer() *claimtable.Claimer {
	base := daemon.base
	return claimtable.New(claimtable.Options{
		Table:              base.platform,
		Address:            base.peerListener.Addr().String(),
		QueryAttempt:       daemon.queryAttempt,
		MaxWritesPerSecond: daemon.claimsPerSecond(),
		Metrics:            base.metrics,
		Logger:             daemon.Logger,
	})
}

// claimsPerSecond returns the maximum rate of claim transactions on the platform's
// table.
func (daemon *Sidecar) claimsPerSecond() float64 {
	if daemon.Config.ClaimsPerSecond > 0 {
		return daemon.Config.ClaimsPerSecond
	}
	return defaultClaimsPerSecond
}

// queryAttempt asks the sidecar that holds a claim for the state of its attempt.
func (daemon *Sidecar) queryAttempt(ctx context.Context, address string, attempt ident.AttemptID) (peer.AttemptReply, error) {
	var reply peer.AttemptReply
	err := daemon.base.links.Call(ctx, address, peer.MethodAttempt, peer.AttemptArgs{Attempt: attempt}, &reply)
	return reply, err
}

// pool returns the upstreams that serve the same model or service as this one,
// including this one.
func (daemon *Sidecar) pool() []directory.Entry {
	configured := daemon.Config.Upstream
	pool := daemon.base.directory.Pool(directory.PoolKey{Model: configured.Model, Service: configured.Service})
	if pool == nil {
		return nil
	}
	return pool.Entries
}

func (daemon *Sidecar) poolIDs() []ident.UpstreamID {
	entries := daemon.pool()
	ids := make([]ident.UpstreamID, len(entries))
	for i, entry := range entries {
		ids[i] = entry.Upstream
	}
	return ids
}

// register registers the net/rpc services that the sidecar offers to peers.
func (daemon *Sidecar) register() error {
	services := &rpcServices{daemon: daemon}
	receivers := map[string]any{
		"Load":     (*loadService)(services),
		"Leaving":  (*leavingService)(services),
		"Strikes":  (*strikeService)(services),
		"Orders":   daemon.newGuard(),
		"Attempts": (*attemptService)(services),
	}
	for name, receiver := range receivers {
		if err := daemon.base.server.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// stop refuses new requests, waits for those in flight and settles open claims.
func (daemon *Sidecar) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, daemon.base.stopTimeout())
	defer cancel()
	daemon.core.Leave()
	server := &sidecar.Server{Sidecar: daemon.core, OnDrained: daemon.offerPrefixes}
	if err := server.Finish(ctx); err != nil {
		return errors.Wrap(err, "stopped with requests in flight")
	}
	daemon.linger(ctx)
	if err := daemon.hop.stop(ctx); err != nil {
		return errors.Wrap(err, "stopped with requests in flight")
	}
	if daemon.claims != nil {
		if err := daemon.claims.Close(ctx); err != nil {
			return errors.Wrap(err, "stopped with unsettled claims")
		}
	}
	daemon.base.logger.Info("Stopped. All requests in flight were finished.")
	return nil
}

// linger closes the connections of the hop while its listener is still open. A router whose
// request met a closing connection can therefore still ask for its state and learn that it was
// not run.
func (daemon *Sidecar) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	daemon.hop.leave(ctx)
}

// rpcServices is the common underlying type of the net/rpc services of a sidecar.
type rpcServices struct {
	daemon *Sidecar
}

type loadService rpcServices

// Sample records the load of another upstream of the pool and replies with the
// load of this one.
func (service *loadService) Sample(args peer.SampleArgs, reply *peer.SampleReply) error {
	core := service.daemon.core
	core.ApplySample(args)
	state := core.State()
	*reply = peer.SampleReply{Upstream: state.Upstream, Load: state.Load, Leaving: state.Leaving || state.Lost}
	return nil
}

type leavingService rpcServices

// Told makes the sidecar leave if the notice names its VM.
func (service *leavingService) Told(args peer.LeaveArgs, _ *peer.Nothing) error {
	if args.VM == service.daemon.Config.VM {
		service.daemon.core.Leave()
	}
	return nil
}

type attemptService rpcServices

// Status returns the state of an attempt to a sidecar that found a claim by this
// one.
func (service *attemptService) Status(args peer.AttemptArgs, reply *peer.AttemptReply) error {
	*reply = peer.AttemptReply{State: peer.AttemptAbsent}
	if service.daemon.claims != nil {
		*reply = service.daemon.claims.Status(args.Attempt)
	}
	return nil
}

type strikeService rpcServices

// Add applies strikes that another sidecar recorded.
func (service *strikeService) Add(args peer.StrikeArgs, _ *peer.Nothing) error {
	service.daemon.core.ApplyStrikes(args)
	return nil
}
