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

// peer is a listener whose connections a test drives itself.
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
	made := &peer{t: t, listener: listener}
	made.pool = &http1.Pool{Dial: func(ctx context.Context) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", listener.Addr().String())
	}}
	return made
}

// open returns a connection of the pool and its far end.
func (peer *peer) open() (*http1.Conn, net.Conn) {
	peer.t.Helper()
	conn, err := peer.pool.Get(context.Background(), 0, time.Hour)
	if err != nil {
		peer.t.Fatal(err)
	}
	far, err := peer.listener.Accept()
	if err != nil {
		peer.t.Fatal(err)
	}
	peer.t.Cleanup(func() { _ = far.Close() })
	return conn, far
}

// exchange sends a request and has the far end answer raw.
func (peer *peer) exchange(conn *http1.Conn, far net.Conn, raw string) *http.Response {
	peer.t.Helper()
	if err := conn.Send(&http1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}); err != nil {
		peer.t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
		peer.t.Fatal(err)
	}
	if _, err := io.WriteString(far, raw); err != nil {
		peer.t.Fatal(err)
	}
	response, err := conn.Receive("GET")
	if err != nil {
		peer.t.Fatal(err)
	}
	return response
}

const empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestReuse gives connections back in states of all kinds and asks for another
// one.
func TestReuse(t *testing.T) {
	tests := []struct {
		name string
		raw  string
		// then happens at the far end after the connection was given back.
		then   func(far net.Conn)
		reused bool
	}{
		{"whole answer", empty, nil, true},
		{"informational answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + empty, nil, true},
		{"closing answer", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", nil, false},
		{"bytes behind the answer", empty + "HTTP/1.1 200", nil, false},
		{"bytes that come later", empty, func(far net.Conn) { _, _ = io.WriteString(far, empty) }, false},
		{"end that comes later", empty, func(far net.Conn) { _ = far.Close() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peer := startPeer(t)
			conn, far := peer.open()
			response := peer.exchange(conn, far, test.raw)
			conn.Release(response.Body, 0)
			if test.then != nil {
				test.then(far)
				time.Sleep(20 * time.Millisecond)
			}
			again, err := peer.pool.Get(context.Background(), 0, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			defer again.Discard()
			if got := again == conn; got != test.reused {
				t.Errorf("got the connection again: %v, want %v", got, test.reused)
			}
		})
	}
}

func TestLimitAndIdleTime(t *testing.T) {
	peer := startPeer(t)
	now := time.Now()
	peer.pool.Now = func() time.Time { return now }
	conn, far := peer.open()
	if _, err := peer.pool.Get(context.Background(), 1, time.Hour); !errors.Is(err, http1.ErrFull) {
		t.Errorf("got %v beyond the limit, want ErrFull", err)
	}
	conn.Release(peer.exchange(conn, far, empty).Body, 2*time.Second)
	now = now.Add(time.Second)
	if again, _ := peer.pool.Get(context.Background(), 1, 500*time.Millisecond); again == conn {
		t.Error("got a connection idle for longer than asked for")
	}
	if got := peer.pool.Open(); got != 1 {
		t.Errorf("got %d open connections, want the new one alone", got)
	}
}

// TestUnsentRequest writes to a connection that the peer has reset.
func TestUnsentRequest(t *testing.T) {
	peer := startPeer(t)
	conn, far := peer.open()
	if tcp, ok := far.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = far.Close()
	time.Sleep(20 * time.Millisecond)
	err := conn.Send(&http1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}})
	if err == nil || oncehttp.Sent(err) {
		t.Errorf("got %v, want an error that says that nothing was sent", err)
	}
}

// TestAnswerBeforeTheBodyIsRead has the peer answer a long request at once and
// read on: it gets the rest of that body, and the connection is not used again
// before that.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	const length = 8 << 20
	peer := startPeer(t)
	conn, far := peer.open()
	if err := conn.Send(&http1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("b", length))}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, empty); err != nil {
		t.Fatal(err)
	}
	response, err := conn.Receive("POST")
	if err != nil {
		t.Fatal(err)
	}
	conn.Release(response.Body, 0)
	again, err := peer.pool.Get(context.Background(), 0, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Discard()
	if again == conn {
		t.Error("got a connection again on which a body is still being sent")
	}
	read, _ := io.ReadAll(far)
	if head := strings.Index(string(read), "\r\n\r\n"); strings.Trim(string(read[head+4:]), "b") != "" {
		t.Error("got other bytes where the rest of the body is due")
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
