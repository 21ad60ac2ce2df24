package forward_test

import (
	"fmt"
	"io"
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

// TestConnectionWithBytesIsNotClosedAsIdle guards against a request that is sent on while its
// connection is closed as idle, so that its caller gets no answer (LOST): the state of a
// connection changes only once the head of the request was read. A connection that is closed
// brings no byte any more.
func TestConnectionWithBytesIsNotClosedAsIdle(t *testing.T) {
	for _, state := range []http.ConnState{http.StateIdle, http.StateNew} {
		for _, sends := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, bytes come: %t", state, sends), func(t *testing.T) {
				caller, conn := connect(t, &forward.Listener{Listener: listen(t)})
				var callerConns forward.CallerConns
				callerConns.Track(conn, state)
				if sends {
					if _, err := io.WriteString(caller, "GET /"); err != nil {
						t.Fatal(err)
					}
					if _, err := io.ReadFull(conn, make([]byte, 5)); err != nil {
						t.Fatal(err)
					}
				}
				later := time.Now().Add(time.Second)
				callerConns.CloseIdle(later)
				callerConns.CloseUnused(later)
				_, err := io.WriteString(conn, "open")
				if open := err == nil; open != sends {
					t.Errorf("got a connection that is open: %t, want %t", open, sends)
				}
				if !sends {
					if count, err := conn.Read(make([]byte, 1)); err == nil {
						t.Errorf("got %d bytes from a connection that was closed, want none", count)
					}
				}
				callerConns.Track(conn, http.StateClosed)
				if got := callerConns.Open(); got != 0 {
					t.Errorf("got %d open connections, want none", got)
				}
			})
		}
	}
}

// TestShorterIdleTimeoutKeepsOlderConnections guards against a change of the configuration that
// closes connections while their callers count on the idle timeout before it.
func TestShorterIdleTimeoutKeepsOlderConnections(t *testing.T) {
	const long, short = 10 * time.Second, time.Second
	start := time.Now()
	tests := []struct {
		name          string
		before, after time.Duration
		idle          time.Duration
		closed        bool
	}{
		{"shorter, idle for less than before", long, short, 5 * time.Second, false},
		{"shorter, idle for longer than before", long, short, 11 * time.Second, true},
		{"longer, idle for longer than before", short, long, 5 * time.Second, false},
		{"longer, idle for longer than both", short, long, 11 * time.Second, true},
		{"the same", short, short, 2 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var callerConns forward.CallerConns
			callerConns.CloseExpired(start, test.before)
			conn := &closingConn{onClose: func() {}}
			callerConns.Track(conn, http.StateIdle)
			callerConns.CloseExpired(time.Now().Add(test.idle), test.after)
			if conn.closed != test.closed {
				t.Errorf("got a connection that is closed: %t, want %t", conn.closed, test.closed)
			}
		})
	}
}
