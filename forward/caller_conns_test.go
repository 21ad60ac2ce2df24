package forward_test

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// boundedConns is a CallerConns with accepted connections, and what it closed.
type boundedConns struct {
	t        *testing.T
	conns    forward.CallerConns
	listener forward.Listener
	reasons  []forward.BoundReason
}

func newBoundedConns(t *testing.T, limit int) *boundedConns {
	t.Helper()
	bounded := &boundedConns{t: t, listener: forward.Listener{Listener: listen(t)}}
	bounded.conns.Max = limit
	bounded.conns.OnBound = func(reason forward.BoundReason) { bounded.reasons = append(bounded.reasons, reason) }
	return bounded
}

// connect opens a connection and returns both of its ends.
func (bounded *boundedConns) connect() (caller, accepted net.Conn) {
	bounded.t.Helper()
	caller, accepted = connect(bounded.t, &bounded.listener)
	bounded.conns.Track(accepted, http.StateNew)
	return caller, accepted
}

// isClosed reports whether the router has closed the connection of a caller.
func (bounded *boundedConns) isClosed(caller net.Conn) bool {
	bounded.t.Helper()
	if err := caller.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		bounded.t.Fatal(err)
	}
	_, err := caller.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

func (bounded *boundedConns) check(want ...forward.BoundReason) {
	bounded.t.Helper()
	if !slices.Equal(bounded.reasons, want) {
		bounded.t.Errorf("got connections closed as %v, want %v", bounded.reasons, want)
	}
}

// TestLongestIdleIsClosedAtTheBound guards against connections that use up the descriptors,
// and against a request that is cut off to make room while another connection has none.
func TestLongestIdleIsClosedAtTheBound(t *testing.T) {
	bounded := newBoundedConns(t, 3)
	busyCaller, busy := bounded.connect()
	bounded.conns.Track(busy, http.StateActive)
	olderCaller, older := bounded.connect()
	bounded.conns.Track(older, http.StateIdle)
	newerCaller, newer := bounded.connect()
	bounded.conns.Track(newer, http.StateIdle)
	addedCaller, _ := bounded.connect()
	if !bounded.isClosed(olderCaller) {
		t.Error("got the longest idle connection open, want it closed")
	}
	for _, caller := range []net.Conn{busyCaller, newerCaller, addedCaller} {
		if bounded.isClosed(caller) {
			t.Error("got another connection closed, want it open")
		}
	}
	bounded.check(forward.BoundIdle)
	if got := bounded.conns.Open(); got != 3 {
		t.Errorf("got %d open connections, want 3", got)
	}
}

// TestIdleConnectionWithBytesStaysAtTheBound guards against a request that is cut off because
// its head arrived while the connection was chosen to be closed.
func TestIdleConnectionWithBytesStaysAtTheBound(t *testing.T) {
	bounded := newBoundedConns(t, 2)
	sendingCaller, sending := bounded.connect()
	bounded.conns.Track(sending, http.StateIdle)
	idleCaller, idle := bounded.connect()
	bounded.conns.Track(idle, http.StateIdle)
	if _, err := sendingCaller.Write([]byte("GET ")); err != nil {
		t.Fatal(err)
	}
	if _, err := sending.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	bounded.connect()
	if bounded.isClosed(sendingCaller) || !bounded.isClosed(idleCaller) {
		t.Error("got the connection closed that sends, want the idle one")
	}
	bounded.check(forward.BoundIdle)
}

// TestRequestsStayAtTheBound guards against requests in progress that are cut off for new
// connections.
func TestRequestsStayAtTheBound(t *testing.T) {
	bounded := newBoundedConns(t, 2)
	firstCaller, first := bounded.connect()
	secondCaller, second := bounded.connect()
	bounded.conns.Track(first, http.StateActive)
	bounded.conns.Track(second, http.StateActive)
	addedCaller, _ := bounded.connect()
	if bounded.isClosed(firstCaller) || bounded.isClosed(secondCaller) || !bounded.isClosed(addedCaller) {
		t.Error("got a request cut off, want the new connection closed")
	}
	bounded.check(forward.BoundNew)
}

// TestUnboundedConnectionsStay guards against a bound where none is set.
func TestUnboundedConnectionsStay(t *testing.T) {
	bounded := newBoundedConns(t, 0)
	caller, _ := bounded.connect()
	for range 5 {
		bounded.connect()
	}
	if bounded.isClosed(caller) {
		t.Error("got a connection closed without a bound, want it open")
	}
	bounded.check()
}

// TestHeadThatHasJustBegunStays guards against a request that is cut off because its connection
// was idle before for longer than a head may stall.
func TestHeadThatHasJustBegunStays(t *testing.T) {
	bounded := newBoundedConns(t, 1)
	caller, conn := bounded.connect()
	bounded.conns.Track(conn, http.StateIdle)
	time.Sleep(1100 * time.Millisecond)
	if _, err := caller.Write([]byte("GET ")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	bounded.connect()
	if bounded.isClosed(caller) {
		t.Error("got a head closed that has just begun, want the new connection closed")
	}
	bounded.check(forward.BoundNew)
}
