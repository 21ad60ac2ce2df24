package forward_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// unreadConn is a connection with a request in the kernel that its goroutine has not read yet.
func unreadConn(t *testing.T) net.Conn {
	t.Helper()
	caller, accepted := connect(t, listen(t))
	if _, err := io.WriteString(caller, idleRequest); err != nil {
		t.Fatal(err)
	}
	return accepted
}

// TestBoundSkipsConnectionsWithUnreadBytes guards against a new connection that is closed at the
// bound, because the connection that has been idle longest has a request that waits to be read,
// although another idle one could be closed.
func TestBoundSkipsConnectionsWithUnreadBytes(t *testing.T) {
	var reasons boundReasons
	conns := &forward.CallerConns{Max: 2, OnBound: reasons.add}
	accepted := make(chan net.Conn, 3)
	accepted <- unreadConn(t)
	for range 2 {
		caller, other := net.Pipe()
		t.Cleanup(func() { caller.Close(); other.Close() })
		accepted <- other
	}
	listener := &forward.Listener{Listener: &chanListener{accepted: accepted}}
	for range 2 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conns.Track(conn, http.StateNew)
		conns.Track(conn, http.StateActive)
		conns.Track(conn, http.StateIdle)
		time.Sleep(time.Millisecond)
	}
	added, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns.Track(added, http.StateNew)
	if got, want := reasons.all(), []forward.BoundReason{forward.BoundIdle}; !slices.Equal(got, want) {
		t.Errorf("got connections closed as %v, want %v", got, want)
	}
}

// chanListener accepts the connections of a channel.
type chanListener struct {
	net.Listener
	accepted chan net.Conn
}

func (chanListener *chanListener) Accept() (net.Conn, error) { return <-chanListener.accepted, nil }

// TestRequestThatArrivesBeforeTheReadEnds guards against a request that has arrived while its
// connection was still open, but is not read: the deadline that ends the read comes first.
func TestRequestThatArrivesBeforeTheReadEnds(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	idleConns := startIdleConns(t, nil)
	const rounds = 100
	if lost := idleConns.countLost(t, rounds, idleConns.closeIdle, func() {}); lost > 0 {
		t.Errorf("got no answer to %d of %d requests that arrived before the read of their connection had ended, want 0", lost, rounds)
	}
}
