package daemon

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/bodylimit"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	readHeaderTimeout = 10 * time.Second
	// keepAliveTimeout exceeds the idle timeouts of clients, so that clients close
	// idle connections first.
	keepAliveTimeout = 2 * time.Minute
	// closeInterval is the time between two looks for connections without a request while the
	// service leaves.
	closeInterval = 10 * time.Millisecond
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
	conns    *forward.CallerConns
	logger   *slog.Logger
	// done is closed when no more connections are accepted.
	done chan struct{}
	// leaving is set once answers ask clients to close their connections.
	leaving atomic.Bool
}

// newHTTPService opens the listener at address. The bodies of its requests share a memory
// account, and its connections may take descriptorShare of the system's descriptors.
func newHTTPService(address string, handler http.Handler, logger *slog.Logger, descriptorShare float64) (*httpService, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return newListenerService(listener, handler, logger, descriptorShare), nil
}

func newListenerService(listener net.Listener, handler http.Handler, logger *slog.Logger, descriptorShare float64) *httpService {
	service := &httpService{
		listener: &forward.Listener{Listener: listener},
		conns:    &forward.CallerConns{Max: int(descriptorShare * float64(descriptorLimit()))},
		logger:   logger,
		done:     make(chan struct{}),
	}
	service.server = &http.Server{
		Handler:           service.handler(new(bodylimit.Limiter).Handler(handler)),
		ConnState:         service.conns.Track,
		ConnContext:       forward.ConnContext,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return service
}

// handler returns a handler that refuses requests that are out of form, of whose connections
// nothing more is read, and passes all others to next. Once the service leaves, answers ask
// clients to close their connections.
func (service *httpService) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		leavingWriter := &leavingWriter{ResponseWriter: writer, leaving: &service.leaving}
		defer leavingWriter.announce()
		if !forward.WellFormed(request.Context()) {
			refusal := &result.Error{Code: result.AmbiguousFraming}
			service.logger.Warn("Request refused.", "code", refusal.Code, "from", request.RemoteAddr)
			writer.Header().Set("Connection", "close")
			writeJSON(writer, refusal.Code.Status(), refusal.Problem(time.Now()))
			return
		}
		next.ServeHTTP(leavingWriter, request)
	})
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
	defer close(service.done)
	err := service.server.Serve(service.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		service.logger.Error("HTTP server failed.", "error", err)
	}
}

// leave makes answers ask clients to close their connections from now on, and closes those that
// have no request until ctx ends. New ones are still accepted.
func (service *httpService) leave(ctx context.Context) {
	service.leaving.Store(true)
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			service.conns.CloseUnneeded(now)
		case <-ctx.Done():
			return
		}
	}
}

// stop closes the listener and waits until the requests that were read are answered, or returns
// an error when ctx ends first.
func (service *httpService) stop(ctx context.Context) error {
	service.leaving.Store(true)
	if err := service.listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	<-service.done
	return service.conns.Drain(ctx)
}

// leavingWriter is a writer whose answer asks the client to close its connection if the service
// leaves before the head is written.
type leavingWriter struct {
	http.ResponseWriter
	leaving *atomic.Bool
}

func (leavingWriter *leavingWriter) announce() {
	if leavingWriter.leaving.Load() {
		leavingWriter.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the head of the answer.
func (leavingWriter *leavingWriter) WriteHeader(status int) {
	leavingWriter.announce()
	leavingWriter.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (leavingWriter *leavingWriter) Write(data []byte) (int, error) {
	leavingWriter.announce()
	return leavingWriter.ResponseWriter.Write(data)
}

// Flush sends what has been written. A failure shows in the next write.
func (leavingWriter *leavingWriter) Flush() { _ = leavingWriter.FlushError() }

// FlushError sends what has been written.
func (leavingWriter *leavingWriter) FlushError() error {
	leavingWriter.announce()
	return http.NewResponseController(leavingWriter.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http, for an http.ResponseController.
func (leavingWriter *leavingWriter) Unwrap() http.ResponseWriter { return leavingWriter.ResponseWriter }
