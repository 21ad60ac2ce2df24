package entry

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerTimeout bounds reading the headers of a request. The configured limit
	// is shorter, and callers stay within it.
	headerTimeout = 10 * time.Second
)

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
	// done is closed when no more connections are accepted.
	done chan struct{}
}

func (service *httpService) run() {
	defer close(service.done)
	err := service.server.Serve(service.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
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
		name, address string
		handler       http.Handler
	}{
		{"callers", daemon.Config.CallerListen, daemon.handler},
		{"readiness", daemon.Config.ReadyListen, http.HandlerFunc(daemon.serveReady)},
		{"metrics", daemon.Config.MetricsListen, daemon.internalHandler()},
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
		service := &httpService{
			listener: listener,
			logger:   daemon.Logger,
			done:     make(chan struct{}),
			server: &http.Server{
				Handler:           endpoint.handler,
				ReadHeaderTimeout: headerTimeout,
				ErrorLog:          slog.NewLogLogger(daemon.Logger.Handler(), slog.LevelDebug),
			},
		}
		if len(services) == 0 {
			daemon.boundCallers(service)
		} else {
			daemon.boundAuxiliary(service, endpoint.name)
		}
		services = append(services, service)
	}
	return services, nil
}
