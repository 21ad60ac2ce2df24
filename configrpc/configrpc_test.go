package configrpc_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/configrpc"
)

// testServer is a configrpc.Server on a loopback address.
type testServer struct {
	server configrpc.Server
	done   chan struct{}
	err    error
}

func (testServer *testServer) run() {
	defer close(testServer.done)
	testServer.err = testServer.server.Run()
}

func startServer(t *testing.T, service *configrpc.Service) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	testServer := &testServer{server: configrpc.Server{Service: service, Listener: listener}, done: make(chan struct{})}
	go testServer.run()
	t.Cleanup(func() {
		_ = listener.Close()
		<-testServer.done
		if testServer.err != nil {
			t.Errorf("got error %v from the server, want none", testServer.err)
		}
	})
	return listener.Addr().String()
}

func TestFetch(t *testing.T) {
	service := new(configrpc.Service)
	address := startServer(t, service)
	if _, err := configrpc.Fetch(t.Context(), address, 0); !errors.Is(err, configrpc.ErrNone) {
		t.Errorf("got %v from a router without a configuration, want ErrNone", err)
	}
	value := []byte(strings.Repeat(`{"name":"r"}`, 50_000))
	service.Set(configrpc.Row{Value: value, Version: 7})
	service.Set(configrpc.Row{Value: []byte("older"), Version: 6})
	got, err := configrpc.Fetch(t.Context(), address, 6)
	if err != nil || got.Version != 7 || !bytes.Equal(got.Value, value) {
		t.Errorf("got version %d of %d bytes and error %v, want version 7 of %d bytes", got.Version, len(got.Value), err, len(value))
	}
	if _, err := configrpc.Fetch(t.Context(), address, 7); !errors.Is(err, configrpc.ErrNone) {
		t.Errorf("got %v for the current version, want ErrNone", err)
	}
}

// TestFetchFromASilentRouter connects to a listener whose connections are never
// served, so that Fetch has to end with its context.
func TestFetchFromASilentRouter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := configrpc.Fetch(ctx, listener.Addr().String(), 0); err == nil {
		t.Error("got no error from a router that does not respond, want one")
	}
}
