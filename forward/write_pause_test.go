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

// listenLate returns a listener whose connections are lateWriters.
func listenLate(t *testing.T, pause time.Duration) net.Listener {
	t.Helper()
	return &wrappingListener{Listener: listen(t), wrap: func(conn net.Conn) net.Conn { return &lateWriter{Conn: conn, pause: pause} }}
}

// TestPausedProcessRefusesHead guards against a head that is refused without an answer, as the
// process is paused before it writes that.
func TestPausedProcessRefusesHead(t *testing.T) {
	conn := dialHead(t, startHeadServer(t, listenLate(t, 500*time.Millisecond), new(memory.Account), http.NotFound))
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
	late := listenLate(t, 1200*time.Millisecond)
	serve(t, &http.Server{Handler: router.handler, ConnContext: forward.ConnContext}, &forward.Listener{Listener: late})
	router.address = late.Addr().String()
	caller := router.dial(t)
	caller.begin("long", "Content-Length: 1001")
	caller.send(bytes.Repeat([]byte("x"), 1001))
	caller.check(http.StatusRequestEntityTooLarge)
}

// pausedWriter is a connection whose process is paused before its first write.
type pausedWriter struct {
	*net.TCPConn
	pause time.Duration
}

func (pausedWriter *pausedWriter) Write(data []byte) (int, error) {
	time.Sleep(pausedWriter.pause)
	pausedWriter.pause = 0
	return pausedWriter.TCPConn.Write(data)
}

// TestPausedProcessWritesAnswer guards against an answer of an upstream that is cut off without a
// byte, as its router is paused until the deadline of the write has passed.
func TestPausedProcessWritesAnswer(t *testing.T) {
	router := startRouter(t, startUpstream(t, echo))
	late := &wrappingListener{Listener: listen(t), wrap: func(conn net.Conn) net.Conn {
		return &pausedWriter{TCPConn: conn.(*net.TCPConn), pause: 3200 * time.Millisecond}
	}}
	serve(t, &http.Server{Handler: router.handler, ConnContext: forward.ConnContext}, &forward.Listener{Listener: late})
	router.address = late.Addr().String()
	caller := router.dial(t)
	caller.begin("a1", "Connection: close\r\nContent-Length: 0")
	caller.check(http.StatusOK)
}
