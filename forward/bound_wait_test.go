package forward

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestWaitEndsWithTheRequest guards against a request that was just read and is cut off at the
// bound, because the wait for the end of the answer before it went on while there was none.
func TestWaitEndsWithTheRequest(t *testing.T) {
	var reasons []BoundReason
	conns := &CallerConns{Max: 1, OnBound: func(reason BoundReason) { reasons = append(reasons, reason) }}
	connect := func() *checkedConn {
		caller, accepted := net.Pipe()
		t.Cleanup(func() { caller.Close(); accepted.Close() })
		conn := &checkedConn{Conn: accepted, listener: &Listener{}}
		conns.Track(conn, http.StateNew)
		return conn
	}
	conn := connect()
	conn.waitForSender(time.Now().Add(-5 * time.Second))
	conns.Track(conn, http.StateIdle)
	conns.Track(conn, http.StateActive)
	connect()
	if len(reasons) != 1 || reasons[0] != BoundNew {
		t.Errorf("got connections closed as %v, want the new one only", reasons)
	}
}

// TestVictimWithRequestStays guards against a connection that is closed at the bound although
// its head was completed after it had been chosen.
func TestVictimWithRequestStays(t *testing.T) {
	caller, accepted := net.Pipe()
	defer caller.Close()
	defer accepted.Close()
	conn := &checkedConn{Conn: accepted, listener: &Listener{}}
	var conns CallerConns
	conns.Track(conn, http.StateNew)
	conns.Track(conn, http.StateActive)
	for _, reason := range []BoundReason{BoundHead, BoundStalled} {
		if conns.closeAtBound(conn, reason) {
			t.Errorf("got a connection with a request that makes progress closed as %v, want it open", reason)
		}
	}
}
