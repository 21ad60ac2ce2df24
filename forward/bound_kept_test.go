package forward

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// recordedConn records whether it was closed.
type recordedConn struct {
	net.Conn
	closed bool
}

// Close closes the connection.
func (recordedConn *recordedConn) Close() error {
	recordedConn.closed = true
	return recordedConn.Conn.Close()
}

// TestConnectionKeptAtBoundIsTracked guards against a connection that is to be closed at the bound,
// is kept because bytes were read on it, and is no longer counted: a planned stop does not wait for
// its request (LOST), and nothing closes it if its head never ends.
func TestConnectionKeptAtBoundIsTracked(t *testing.T) {
	tests := []struct {
		name, data string
		state      http.ConnState
	}{
		{"request in progress", "GET / HTTP/1.1\r\nHost: router\r\n\r\n", http.StateActive},
		{"head that does not end", "G", http.StateIdle},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			caller, accepted := net.Pipe()
			t.Cleanup(func() { caller.Close(); accepted.Close() })
			recorded := &recordedConn{Conn: accepted}
			conn := &checkedConn{Conn: recorded, listener: &Listener{}}
			var conns CallerConns
			for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
				conns.Track(conn, state)
			}
			if !conn.beginRead() || !conns.closeAtBound(conn, BoundIdle) {
				t.Fatal("got a connection that is not closed at the bound, want one")
			}
			// The read of its goroutine had brought bytes already.
			conn.endRead([]byte(test.data), nil)
			if test.state != http.StateIdle {
				conns.Track(conn, test.state)
			}
			conns.recordClosed(conn, BoundIdle)
			if got := conns.Open(); got != 1 {
				t.Errorf("got %d open connections, want 1", got)
			}
			conns.CloseHalfRead(time.Now().Add(time.Second))
			if got, want := recorded.closed, test.state == http.StateIdle; got != want {
				t.Errorf("got a connection that is closed as half read: %t, want %t", got, want)
			}
		})
	}
}
