package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// TestIdleTimeoutsInSeries guards against changes in series that close a connection while its
// caller counts on a timeout that was in force after it became idle.
func TestIdleTimeoutsInSeries(t *testing.T) {
	const long, short = 30 * time.Second, 5 * time.Second
	start := time.Now()
	var callerConns forward.CallerConns
	callerConns.CloseExpired(start, short)
	conn := &closingConn{onClose: func() {}}
	callerConns.Track(conn, http.StateIdle)
	callerConns.CloseExpired(start.Add(time.Second), long)
	callerConns.CloseExpired(start.Add(3*time.Second), short)
	callerConns.CloseExpired(start.Add(6*time.Second), short)
	if conn.closed {
		t.Error("got a connection closed 6 s after it became idle, want it open for the 30 s that were in force since")
	}
}
