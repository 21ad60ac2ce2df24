package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// received is a request as an upstream got it.
type received struct {
	method string
	target string
	header http.Header
	body   string
}

// fakeUpstream is an upstream of which each test decides what it answers.
type fakeUpstream struct {
	listener net.Listener
	// answer writes the answer to the nth request of the upstream, from 0, and
	// reports whether the connection is kept. Its context ends with the
	// connection.
	answer func(ctx context.Context, conn net.Conn, n int, request received) bool

	mu       sync.Mutex
	requests []received
	conns    int
}

func startUpstream(t *testing.T, answer func(ctx context.Context, conn net.Conn, n int, request received) bool) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &fakeUpstream{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go upstream.run()
	return upstream
}

func (upstream *fakeUpstream) address() string { return upstream.listener.Addr().String() }

func (upstream *fakeUpstream) run() {
	for {
		conn, err := upstream.listener.Accept()
		if err != nil {
			return
		}
		upstream.mu.Lock()
		upstream.conns++
		upstream.mu.Unlock()
		served := &servedConn{upstream: upstream, conn: conn}
		go served.run()
	}
}

// seen returns the requests so far.
func (upstream *fakeUpstream) seen() []received {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return append([]received(nil), upstream.requests...)
}

// servedConn is one connection to a fakeUpstream.
type servedConn struct {
	upstream *fakeUpstream
	conn     net.Conn
}

func (served *servedConn) run() {
	defer served.conn.Close()
	reader := bufio.NewReader(served.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		got := received{method: request.Method, target: request.RequestURI, header: request.Header, body: string(body)}
		served.upstream.mu.Lock()
		n := len(served.upstream.requests)
		served.upstream.requests = append(served.upstream.requests, got)
		served.upstream.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		watcher := &closeWatcher{reader: reader, cancel: cancel}
		go watcher.run()
		if !served.upstream.answer(ctx, served.conn, n, got) {
			return
		}
		if served.conn.SetReadDeadline(time.Now()) != nil {
			return
		}
		<-ctx.Done()
		if !watcher.quiet() || served.conn.SetReadDeadline(time.Time{}) != nil {
			return
		}
	}
}

// closeWatcher ends a context when its connection does, or when its reading is
// interrupted by a deadline.
type closeWatcher struct {
	reader *bufio.Reader
	cancel context.CancelFunc
	err    error
}

func (watcher *closeWatcher) run() {
	_, watcher.err = watcher.reader.Peek(1)
	watcher.cancel()
}

// quiet reports whether the connection is still open. It is for use after the
// context has ended.
func (watcher *closeWatcher) quiet() bool {
	timeout, isTimeout := watcher.err.(net.Error)
	return watcher.err == nil || isTimeout && timeout.Timeout()
}

// whole returns a whole answer to the request with the ID attempt.
func whole(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

// write writes raw bytes; a test's own checks notice what did not arrive.
func write(conn net.Conn, raw string) {
	_, _ = io.WriteString(conn, raw)
}

// reset ends conn by a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
