package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestWholeRequestStaysAtTheBound guards against a request that was read whole and is cut off at the
// bound: its handler has not recorded the end of the body yet, and the pending read is that by
// which net/http notices that a caller leaves.
func TestWholeRequestStaysAtTheBound(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name, sent string
		closed     bool
	}{
		{"whole", head + "body", false},
		{"half a body", head + "bo", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer inner.Close()
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			accepted, err := (&Listener{Listener: inner}).Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			conn := accepted.(*checkedConn)
			if _, err := io.WriteString(caller, test.sent); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, len(test.sent))); err != nil {
				t.Fatal(err)
			}
			conn.waitForSender(time.Now().Add(-5 * time.Second))
			go func() { _, _ = conn.Read(make([]byte, 1)) }()
			time.Sleep(10 * time.Millisecond)
			var conns CallerConns
			conns.Track(conn, http.StateNew)
			conns.Track(conn, http.StateActive)
			if got := conns.closeAtBound(conn, BoundStalled); got != test.closed {
				t.Errorf("got a connection closed as stalled: %t, want %t", got, test.closed)
			}
		})
	}
}
