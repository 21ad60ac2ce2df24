package forward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// closingConn is a connection that calls onClose when it is closed.
type closingConn struct {
	net.Conn
	closed  bool
	onClose func()
}

// Close records that the connection was closed.
func (closingConn *closingConn) Close() error {
	closingConn.closed = true
	closingConn.onClose()
	return nil
}

// TestConnectionThatGetsARequestIsNotClosed guards against a request that is cut off because
// it came while other idle connections were being closed.
func TestConnectionThatGetsARequestIsNotClosed(t *testing.T) {
	var callerConns forward.CallerConns
	first, second := new(closingConn), new(closingConn)
	first.onClose = func() { callerConns.Track(second, http.StateActive) }
	second.onClose = func() { callerConns.Track(first, http.StateActive) }
	callerConns.Track(first, http.StateIdle)
	callerConns.Track(second, http.StateIdle)
	callerConns.CloseIdle(time.Now().Add(time.Second))
	if first.closed == second.closed {
		t.Errorf("got connections closed: %t and %t, want the one that was closed first only", first.closed, second.closed)
	}
}
