package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/oncehttp"
)

// peer is a listener that accepts the connections of a pool, and the pool. The
// tests write the responses themselves.
type peer struct {
	t        *testing.T
	listener net.Listener
	pool     *http1.Pool
}

func startPeer(t *testing.T) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	peer := &peer{t: t, listener: listener}
	peer.pool = &http1.Pool{Dial: func(ctx context.Context) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", listener.Addr().String())
	}}
	return peer
}

// open returns a connection of the pool and the peer's end of it.
func (peer *peer) open() (*http1.Conn, net.Conn) {
	peer.t.Helper()
	conn, err := peer.pool.Get(context.Background(), 0, time.Hour)
	if err != nil {
		peer.t.Fatal(err)
	}
	peerConn, err := peer.listener.Accept()
	if err != nil {
		peer.t.Fatal(err)
	}
	peer.t.Cleanup(func() { _ = peerConn.Close() })
	return conn, peerConn
}

// exchange sends a request on conn, responds with raw and returns the response
// without its body read.
func (peer *peer) exchange(conn *http1.Conn, peerConn net.Conn, raw string) *http.Response {
	peer.t.Helper()
	if err := conn.Send(&http1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}); err != nil {
		peer.t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(peerConn)); err != nil {
		peer.t.Fatal(err)
	}
	if _, err := io.WriteString(peerConn, raw); err != nil {
		peer.t.Fatal(err)
	}
	response, err := conn.Receive("GET")
	if err != nil {
		peer.t.Fatal(err)
	}
	return response
}

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestReuse releases a connection in various states and gets another one. A
// connection on which bytes arrived after the response, or that was closed,
// must not be used again.
func TestReuse(t *testing.T) {
	tests := []struct {
		name string
		raw  string
		// afterRelease acts on the peer's end after the connection was
		// released.
		afterRelease func(peerConn net.Conn)
		wantReused   bool
	}{
		{"complete response", emptyResponse, nil, true},
		{"informational response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + emptyResponse, nil, true},
		{"response with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", nil, false},
		{"bytes after the response", emptyResponse + "HTTP/1.1 200", nil, false},
		{"bytes after the release", emptyResponse, func(peerConn net.Conn) { _, _ = io.WriteString(peerConn, emptyResponse) }, false},
		{"closed after the release", emptyResponse, func(peerConn net.Conn) { _ = peerConn.Close() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peer := startPeer(t)
			conn, peerConn := peer.open()
			response := peer.exchange(conn, peerConn, test.raw)
			conn.Release(response.Body, 0)
			if test.afterRelease != nil {
				test.afterRelease(peerConn)
				time.Sleep(20 * time.Millisecond)
			}
			next, err := peer.pool.Get(context.Background(), 0, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			defer next.Discard()
			if got := next == conn; got != test.wantReused {
				t.Errorf("got the same connection: %v, want %v", got, test.wantReused)
			}
		})
	}
}

func TestLimitAndIdleTime(t *testing.T) {
	peer := startPeer(t)
	now := time.Now()
	peer.pool.Now = func() time.Time { return now }
	conn, peerConn := peer.open()
	if _, err := peer.pool.Get(context.Background(), 1, time.Hour); !errors.Is(err, http1.ErrFull) {
		t.Errorf("got %v beyond the limit, want ErrFull", err)
	}
	conn.Release(peer.exchange(conn, peerConn, emptyResponse).Body, 2*time.Second)
	now = now.Add(time.Second)
	if next, _ := peer.pool.Get(context.Background(), 1, 500*time.Millisecond); next == conn {
		t.Error("got a connection that was idle for 1 s, want none idle for more than 500 ms")
	}
	if got := peer.pool.Open(); got != 1 {
		t.Errorf("got %d open connections, want 1, the new one", got)
	}
}

// TestDoubtfulConnections opens a connection between breaks of others: which process is
// its peer stays in doubt until a connection that was opened behind the last break is
// verified.
func TestDoubtfulConnections(t *testing.T) {
	peer := startPeer(t)
	now := time.Now()
	peer.pool.Now = func() time.Time {
		now = now.Add(time.Second)
		return now
	}
	before, _ := peer.open()
	before.RecordBreak()
	between, _ := peer.open()
	between.RecordBreak()
	after, _ := peer.open()
	steps := []struct {
		name                   string
		act                    func()
		before, between, after bool
	}{
		{"two breaks", func() {}, false, true, true},
		{"the second connection verified", between.Verify, false, false, true},
		{"the last connection verified", after.Verify, false, false, false},
		{"one more break", before.RecordBreak, false, false, false},
		{"another process found", after.Refute, true, true, true},
		{"a break after that", before.RecordBreak, true, true, true},
	}
	for _, step := range steps {
		step.act()
		if got, want := before.Doubtful(), step.before; got != want {
			t.Errorf("%s: got %t for the first connection, want %t", step.name, got, want)
		}
		if got, want := between.Doubtful(), step.between; got != want {
			t.Errorf("%s: got %t for the second connection, want %t", step.name, got, want)
		}
		if got, want := after.Doubtful(), step.after; got != want {
			t.Errorf("%s: got %t for the last connection, want %t", step.name, got, want)
		}
	}
}

// TestUnsentRequest writes to a connection that the peer has reset. The error
// must say that nothing was sent.
func TestUnsentRequest(t *testing.T) {
	peer := startPeer(t)
	conn, peerConn := peer.open()
	if tcp, ok := peerConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = peerConn.Close()
	time.Sleep(20 * time.Millisecond)
	err := conn.Send(&http1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}})
	if err == nil || oncehttp.Sent(err) {
		t.Errorf("got %v, want a SendError with nothing sent", err)
	}
}

// TestAnswerBeforeTheBodyIsRead has the peer respond before it reads the body
// of a long request. It must still receive the rest of that body, and the
// connection must not carry another request.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	const length = 8 << 20
	peer := startPeer(t)
	conn, peerConn := peer.open()
	if err := conn.Send(&http1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte(strings.Repeat("b", length))}}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(peerConn, emptyResponse); err != nil {
		t.Fatal(err)
	}
	response, err := conn.Receive("POST")
	if err != nil {
		t.Fatal(err)
	}
	conn.Release(response.Body, 0)
	next, err := peer.pool.Get(context.Background(), 0, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Discard()
	if next == conn {
		t.Error("got the same connection while a body is still being sent on it, want a new one")
	}
	read, _ := io.ReadAll(peerConn)
	if head := strings.Index(string(read), "\r\n\r\n"); strings.Trim(string(read[head+4:]), "b") != "" {
		t.Error("got other bytes in place of the rest of the body")
	}
}

func TestKeepAlive(t *testing.T) {
	tests := map[string]time.Duration{
		"":                     0,
		"timeout=5":            5 * time.Second,
		"max=10, Timeout=7":    7 * time.Second,
		"timeout=0":            0,
		"timeout=x":            0,
		"timeout=3.5, max=100": 0,
	}
	for value, want := range tests {
		if got := http1.KeepAlive(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("got %v for %q, want %v", got, value, want)
		}
	}
}
