package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/memory"
)

// lateWriter is a connection whose process is paused each time it has set a deadline for writes.
type lateWriter struct {
	net.Conn
	pause time.Duration
}

// SetWriteDeadline sets the deadline.
func (lateWriter *lateWriter) SetWriteDeadline(deadline time.Time) error {
	err := lateWriter.Conn.SetWriteDeadline(deadline)
	time.Sleep(lateWriter.pause)
	return err
}

// TestPausedProcessRefusesHead guards against a head that is refused without an answer, as the
// process is paused before it writes that.
func TestPausedProcessRefusesHead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := &wrappingListener{Listener: inner, wrap: func(conn net.Conn) net.Conn { return &lateWriter{Conn: conn, pause: 500 * time.Millisecond} }}
	server := &routerServer{
		server:   &http.Server{Handler: http.NotFoundHandler(), ConnContext: forward.ConnContext, ConnState: new(forward.CallerConns).Track},
		listener: &forward.Listener{Listener: late, Memory: new(memory.Account), MaxHeadBytes: func() int { return maxHeadBytes }},
	}
	go server.run()
	t.Cleanup(func() { _ = server.server.Close() })
	conn := dialHead(t, inner.Addr().String())
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: %s\r\n\r\n", strings.Repeat("p", 3*maxHeadBytes)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got answer %v and error %v, want 431", response, err)
	}
}

// TestPausedProcessRefusesBody guards against a body that is refused without an answer, as the
// process is paused before it writes that.
func TestPausedProcessRefusesBody(t *testing.T) {
	router := startRouter(t, startUpstream(t, echo))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := &wrappingListener{Listener: inner, wrap: func(conn net.Conn) net.Conn { return &lateWriter{Conn: conn, pause: 1200 * time.Millisecond} }}
	server := &routerServer{
		server:   &http.Server{Handler: router.handler, ConnContext: forward.ConnContext},
		listener: &forward.Listener{Listener: late},
	}
	go server.run()
	t.Cleanup(func() { _ = server.server.Close() })
	router.address = inner.Addr().String()
	caller := router.dial(t)
	caller.begin("long", "Content-Length: 1001")
	caller.send(bytes.Repeat([]byte("x"), 1001))
	caller.check(http.StatusRequestEntityTooLarge)
}
