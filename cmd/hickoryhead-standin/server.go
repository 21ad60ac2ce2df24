package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/command"
)

// stopTimeout bounds the time that requests in flight have to finish after a stop
// signal.
const stopTimeout = 30 * time.Second

// server serves one stand-in on one listener.
type server struct {
	http     http.Server
	listener net.Listener
	failed   chan error
}

// serve listens on the address listen, IP:port, and serves handler until ctx is done.
// It then waits up to stopTimeout for the requests in flight.
func serve(ctx context.Context, listen string, handler http.Handler, out io.Writer) error {
	listener, err := listenAt(listen)
	if err != nil {
		return err
	}
	return serveOn(ctx, listener, handler, out)
}

// listenAt listens on address, which must be IP:port.
func listenAt(address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, command.Usage(errors.Wrap(err, "--listen: want IP:port"))
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "listen")
}

// serveOn prints the address of listener to out and serves handler on it as serve
// does.
func serveOn(ctx context.Context, listener net.Listener, handler http.Handler, out io.Writer) error {
	server := &server{listener: listener, failed: make(chan error, 1)}
	server.http.Handler = handler
	fmt.Fprintln(out, "listening on", listener.Addr())
	go server.run()
	select {
	case err := <-server.failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return server.stop()
}

func (server *server) run() {
	server.failed <- server.http.Serve(server.listener)
}

func (server *server) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(server.http.Shutdown(ctx), "stop")
}
