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

// serving is a server on loopback.
type serving struct {
	server configrpc.Server
	done   chan struct{}
	err    error
}

func (serving *serving) run() {
	defer close(serving.done)
	serving.err = serving.server.Run()
}

func serve(t *testing.T, service *configrpc.Service) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serving := &serving{server: configrpc.Server{Service: service, Listener: listener}, done: make(chan struct{})}
	go serving.run()
	t.Cleanup(func() {
		_ = listener.Close()
		<-serving.done
		if serving.err != nil {
			t.Errorf("got %v from the server, want none", serving.err)
		}
	})
	return listener.Addr().String()
}

func TestFetch(t *testing.T) {
	service := new(configrpc.Service)
	address := serve(t, service)
	if _, err := configrpc.Fetch(t.Context(), address, 0); !errors.Is(err, configrpc.ErrNone) {
		t.Errorf("got %v from a router without a configuration, want ErrNone", err)
	}
	value := []byte(strings.Repeat(`{"name":"r"}`, 50_000))
	service.Set(configrpc.Row{Value: value, Version: 7})
	service.Set(configrpc.Row{Value: []byte("older"), Version: 6})
	got, err := configrpc.Fetch(t.Context(), address, 6)
	if err != nil || got.Version != 7 || !bytes.Equal(got.Value, value) {
		t.Errorf("got version %d of %d bytes, %v, want version 7 of %d bytes", got.Version, len(got.Value), err, len(value))
	}
	if _, err := configrpc.Fetch(t.Context(), address, 7); !errors.Is(err, configrpc.ErrNone) {
		t.Errorf("got %v for a version that is known, want ErrNone", err)
	}
}

// TestFetchFromASilentRouter connects to one that accepts and says nothing.
func TestFetchFromASilentRouter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := configrpc.Fetch(ctx, listener.Addr().String(), 0); err == nil {
		t.Error("got no error from a silent router, want one")
	}
}
