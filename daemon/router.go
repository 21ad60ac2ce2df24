package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/caller"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

// Router is a router daemon. Set its exported fields before Run.
type Router struct {
	Config config.Router
	Logger *slog.Logger
	// OnStart, if not nil, is called with the addresses once the daemon listens on
	// all of them.
	OnStart func(addresses Addresses)

	base            *base
	callers         *caller.Server
	callerService   *httpService
	operatorService *httpService
	leaving         atomic.Bool
}

// Run runs the router until ctx ends. It then waits until the requests in flight
// are answered or the stop timeout passes, which is an error.
func (router *Router) Run(ctx context.Context) error {
	base, err := newBase(router.Config.Daemon, platform.RoleRouter, router.Logger)
	if err != nil {
		return err
	}
	router.base = base
	servicesCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := router.start(servicesCtx); err != nil {
		return err
	}
	base.logger.Info("Started.", "callers", router.callerService.address(), "operators", router.operatorService.address())
	if router.OnStart != nil {
		router.OnStart(Addresses{
			Callers:   router.callerService.address(),
			Operators: router.operatorService.address(),
			Peers:     base.peerListener.Addr().String(),
		})
	}
	<-ctx.Done()
	return router.stop(servicesCtx)
}

func (router *Router) start(ctx context.Context) error {
	base := router.base
	if err := base.listen(); err != nil {
		return err
	}
	watcher, err := newVMWatcher(base, platform.RoleRouter, router.leave)
	if err != nil {
		return err
	}
	base.start(ctx, platform.RoleRouter)
	router.callers = &caller.Server{
		View:      base.view,
		Directory: base.directory,
		Sidecars:  router.newSidecarClient(),
		Key:       base.deriveKey("affinity"),
		Metrics:   base.metrics,
		Ready:     router.ready,
	}
	if err := router.listen(); err != nil {
		return err
	}
	go watcher.run(ctx)
	poller := &peerPoller{watcher: watcher}
	go poller.loop(ctx)
	router.startPlacement(ctx)
	go router.callerService.run()
	go router.operatorService.run()
	return nil
}

func (router *Router) newSidecarClient() *sidecar.Client {
	base := router.base
	return &sidecar.Client{
		Token: base.hopToken(),
		OnState: func(state sidecar.State) {
			base.directory.ObserveSidecar(state.Upstream, state.Incarnation, state.Leaving)
			base.directory.Report(affinity.Report{Upstream: state.Upstream, Load: state.Load, Leaving: state.Leaving, SeenAt: time.Now()})
		},
	}
}

func (router *Router) listen() error {
	handler, err := router.callers.Handler()
	if err != nil {
		return err
	}
	router.callerService, err = newHTTPService(router.Config.CallerListen, handler, router.base.logger, callerDescriptorShare)
	if err != nil {
		return errors.Wrap(err, "start HTTP server for callers")
	}
	settings, err := operator.New(router.newOperator())
	if err != nil {
		return err
	}
	handler = router.operatorHandler(settings)
	router.operatorService, err = newHTTPService(router.Config.OperatorListen, handler, router.base.logger, operatorDescriptorShare)
	return errors.Wrap(err, "start HTTP server for operators")
}

func (router *Router) ready() bool {
	return !router.leaving.Load() && router.base.settings.Ready() && router.base.directory.Loaded()
}

// leave makes the readiness check fail, so that the load balancer sends no new
// requests.
func (router *Router) leave() {
	if !router.leaving.Swap(true) {
		router.base.logger.Info("Leaving. The readiness check now fails.")
	}
}

// stop gives the load balancer time to notice the failing readiness check, and
// then waits for the requests in flight.
func (router *Router) stop(ctx context.Context) error {
	router.leave()
	time.Sleep(time.Duration(router.Config.LeaveWaitMs) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, router.base.stopTimeout())
	defer cancel()
	if err := router.callerService.stop(ctx); err != nil {
		return errors.Wrapf(err, "stopped with %d requests in flight", router.callers.Active())
	}
	router.base.logger.Info("Stopped. All requests in flight were finished.")
	return errors.Wrap(router.operatorService.stop(ctx), "stop operator API")
}

// newOperator returns the component that serves the operator API for settings.
func (router *Router) newOperator() *operator.Operator {
	base := router.base
	return &operator.Operator{
		View:     base.view,
		Accepted: base.settings.AdoptCommitted,
		Accept:   base.store.Accept,
		Find:     base.store.Find,
		Load:     base.store.Load,
		History:  base.store.History,
		Entry:    base.store.Entry,
		Team:     base.store.Team,
		Snapshot: base.store.WriteSnapshot,
		Archive:  base.store.Archive,
		Metrics:  base.metrics,
		Logger:   router.Logger,
	}
}

// operatorHandler returns the handler for operators and monitoring.
func (router *Router) operatorHandler(settings http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/settings/", settings)
	mux.Handle("GET /metrics", router.base.metrics.Handler())
	mux.HandleFunc("GET /v1/status", router.status)
	mux.HandleFunc("POST /v1/drain/{upstream}", router.drain)
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	return mux
}
