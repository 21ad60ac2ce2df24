package peer_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
)

// Echo is a net/rpc receiver for tests.
type Echo struct {
	hold chan struct{}
}

// Load returns the load in args.
func (echo *Echo) Load(args peer.SampleArgs, reply *peer.SampleReply) error {
	reply.Load = args.Load
	return nil
}

// Hold blocks until the test closes echo.hold.
func (echo *Echo) Hold(_ peer.SampleArgs, _ *peer.SampleReply) error {
	<-echo.hold
	return nil
}

func identity(t testing.TB, letter byte, former ...byte) *peer.Identity {
	t.Helper()
	var formerSecrets [][]byte
	for _, letter := range former {
		formerSecrets = append(formerSecrets, bytes.Repeat([]byte{letter}, peer.MinSecretLength))
	}
	identity, err := peer.NewIdentity(bytes.Repeat([]byte{letter}, peer.MinSecretLength), formerSecrets...)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

func serve(t testing.TB, server *peer.Server, address string) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serving := &serving{server: server, listener: listener, served: make(chan error, 1)}
	go serving.run(ctx)
	stop := func() {
		cancel()
		if err := <-serving.served; err != nil {
			t.Errorf("got %v from Serve, want nil", err)
		}
	}
	return listener.Addr().String(), stop
}

type serving struct {
	server   *peer.Server
	listener net.Listener
	served   chan error
}

func (serving *serving) run(ctx context.Context) {
	serving.served <- serving.server.Serve(ctx, serving.listener)
}

func serveEcho(t testing.TB, identity *peer.Identity, address string, echo *Echo) (string, func()) {
	t.Helper()
	server := &peer.Server{Identity: identity}
	if err := server.Register("Echo", echo); err != nil {
		t.Fatal(err)
	}
	return serve(t, server, address)
}

func callEcho(links *peer.Links, address string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply peer.SampleReply
	err := links.Call(ctx, address, "Echo.Load", peer.SampleArgs{Load: 7}, &reply)
	if err != nil {
		return 0, err
	}
	return reply.Load, nil
}

func TestOnlyTheSharedKeyIsServed(t *testing.T) {
	tests := []struct {
		name   string
		client *peer.Identity
		want   bool
	}{
		{"same key", identity(t, 'a'), true},
		{"other key", identity(t, 'b'), false},
		{"former key accepted on both sides", identity(t, 'c', 'a'), true},
		{"no key", nil, false},
	}
	address, stop := serveEcho(t, identity(t, 'a', 'c'), "127.0.0.1:0", &Echo{})
	defer stop()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			load, err := callEcho(&peer.Links{Identity: test.client}, address)
			if got := err == nil && load == 7; got != test.want {
				t.Errorf("got served %t (%v), want %t", got, err, test.want)
			}
			if err != nil && !errors.Is(err, peer.ErrUnreachable) {
				t.Errorf("got %v, want ErrUnreachable", err)
			}
		})
	}
}

func TestPlainConnectionRunsNoMethod(t *testing.T) {
	address, stop := serveEcho(t, identity(t, 'a'), "127.0.0.1:0", &Echo{})
	defer stop()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(bytes.Repeat([]byte("Echo.Load"), 100)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 1024)
	n, _ := conn.Read(answer)
	if got := bytes.Contains(answer[:n], []byte("Echo")); got {
		t.Errorf("got reply %q to a call on a connection without a handshake, want none", answer[:n])
	}
}

func TestLinkIsKeptAndReopened(t *testing.T) {
	key := identity(t, 'a')
	address, stop := serveEcho(t, key, "127.0.0.1:0", &Echo{})
	traffic := &metrics.Traffic{Peer: metrics.PeerDaemon}
	links := &peer.Links{Identity: key, Traffic: traffic}
	for range 2 {
		if _, err := callEcho(links, address); err != nil {
			t.Fatal(err)
		}
	}
	first := traffic.Sent()
	if _, err := callEcho(links, address); err != nil {
		t.Fatal(err)
	}
	if got, want := traffic.Sent()-first, first/2; got >= want {
		t.Errorf("got %d bytes for a call on an open link, want under %d", got, want)
	}
	stop()
	_, stop = serveEcho(t, key, address, &Echo{})
	defer stop()
	eventually(t, "a call after the restart", func() bool {
		_, err := callEcho(links, address)
		return err == nil
	})
	if got, want := links.Open(), 1; got != want {
		t.Errorf("got %d open links, want %d", got, want)
	}
}

func TestCallReturnsAtItsDeadline(t *testing.T) {
	key := identity(t, 'a')
	echo := &Echo{hold: make(chan struct{})}
	address, stop := serveEcho(t, key, "127.0.0.1:0", echo)
	defer stop()
	defer close(echo.hold)
	links := &peer.Links{Identity: key}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := links.Call(ctx, address, "Echo.Hold", peer.SampleArgs{}, &peer.SampleReply{})
	if !errors.Is(err, context.Canceled) || !errors.Is(err, peer.ErrUnreachable) {
		t.Errorf("got %v, want a cancelled call marked ErrUnreachable", err)
	}
}

// eventually waits until condition returns true and fails the test after a
// minute.
func eventually(t testing.TB, want string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("got a timeout, want %s", want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// BenchmarkLink reports the bytes on the wire for opening a link with its first
// call, and for each further call.
func BenchmarkLink(b *testing.B) {
	key := identity(b, 'a')
	address, stop := serveEcho(b, key, "127.0.0.1:0", &Echo{})
	defer stop()
	traffic := &metrics.Traffic{Peer: metrics.PeerDaemon}
	links := &peer.Links{Identity: key, Traffic: traffic}
	call := func() {
		if _, err := callEcho(links, address); err != nil {
			b.Fatal(err)
		}
	}
	call()
	opened := traffic.Sent() + traffic.Received()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(opened), "B/open")
	b.ReportMetric(float64(traffic.Sent()+traffic.Received()-opened)/float64(b.N), "B/call")
}
