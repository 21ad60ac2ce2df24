package daemon

import (
	"log/slog"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/bodylimit"
	"github.com/hickoryhead/hickoryhead/forward"
)

const (
	readHeaderTimeout = 10 * time.Second
	// keepAliveTimeout exceeds the idle timeouts of clients, so that clients close
	// idle connections first.
	keepAliveTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request: a call of the hop lists the upstreams
	// that were tried.
	maxHeaderBytes = 256 << 10
	// callerDescriptorShare, operatorDescriptorShare and hopDescriptorShare are the shares of
	// the system's descriptor limit that the connections of the listeners may take. The rest
	// is for connections to peers, sidecars, upstreams and the platform.
	callerDescriptorShare   = 0.375
	operatorDescriptorShare = 0.125
	hopDescriptorShare      = 0.5
)

// httpService serves HTTP on one listener.
type httpService struct {
	server   *http.Server
	listener net.Listener
	logger   *slog.Logger
}

// newHTTPService opens the listener at address. The bodies of its requests share a memory
// account, and its connections may take descriptorShare of the system's descriptors.
func newHTTPService(address string, handler http.Handler, logger *slog.Logger, descriptorShare float64) (*httpService, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	conns := &forward.CallerConns{Max: int(descriptorShare * float64(descriptorLimit()))}
	server := &http.Server{
		Handler:           new(bodylimit.Limiter).Handler(handler),
		ConnState:         conns.Track,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return &httpService{server: server, listener: listener, logger: logger}, nil
}

// descriptorLimit returns how many descriptors the process may open, or zero if that is not
// known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

func (service *httpService) address() string { return service.listener.Addr().String() }

func (service *httpService) run() {
	err := service.server.Serve(service.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		service.logger.Error("HTTP server failed.", "error", err)
	}
}
