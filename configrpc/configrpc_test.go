package configrpc_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/configrpc"
	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
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

// TestFetchWithEvacuations guards against a router that learns a configuration from another
// one, but not the evacuations of the same table.
func TestFetchWithEvacuations(t *testing.T) {
	want := []evacuation.State{{Zone: "a", Revision: 5, Evacuated: true}}
	service := &configrpc.Service{Evacuations: func() []evacuation.State { return want }}
	address := startServer(t, service)
	service.Set(configrpc.Row{Value: []byte("{}"), Version: 7})
	if got, err := configrpc.Fetch(t.Context(), address, 6); err != nil || got.ReadAt != 0 {
		t.Errorf("got a row as of %d and error %v from a router that doesn't know how far it has read, want 0", got.ReadAt, err)
	}
	service.SetReadAt(9)
	got, err := configrpc.Fetch(t.Context(), address, 6)
	if err != nil || !slices.Equal(got.Evacuated, want) || got.ReadAt != 9 || got.Version != 7 {
		t.Errorf("got %+v and error %v, want version 7 with %+v as of 9", got, err, want)
	}
}

// earlierReply is a Reply of the program before evacuations.
type earlierReply struct {
	Packed  []byte
	Version ident.Revision
}

// TestReplyOfAnEarlierProgram guards against a rolling change of the routers in which those
// of one program can't read the replies of the other.
func TestReplyOfAnEarlierProgram(t *testing.T) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(earlierReply{Packed: []byte("x"), Version: 7}); err != nil {
		t.Fatal(err)
	}
	var reply configrpc.Reply
	if err := gob.NewDecoder(&encoded).Decode(&reply); err != nil || reply.Version != 7 || reply.ReadAt != 0 {
		t.Errorf("got %+v and error %v from an earlier program, want version 7 without evacuations", reply, err)
	}
	encoded.Reset()
	if err := gob.NewEncoder(&encoded).Encode(configrpc.Reply{Packed: []byte("x"), Version: 8, ReadAt: 9, Evacuated: []evacuation.State{{Zone: "a"}}}); err != nil {
		t.Fatal(err)
	}
	var earlier earlierReply
	if err := gob.NewDecoder(&encoded).Decode(&earlier); err != nil || earlier.Version != 8 {
		t.Errorf("got %+v and error %v at an earlier program, want version 8", earlier, err)
	}
}
