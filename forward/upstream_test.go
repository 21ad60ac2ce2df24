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

// receivedRequest is a request as the upstream received it.
type receivedRequest struct {
	method string
	target string
	header http.Header
	body   string
}

// fakeUpstream is an upstream whose answers each test defines.
type fakeUpstream struct {
	listener net.Listener
	// answer writes the answer to the nth request to the upstream, counted from
	// 0, and reports whether the connection stays open. ctx ends with the
	// connection.
	answer func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool

	mu       sync.Mutex
	requests []receivedRequest
	conns    int
}

func startUpstream(t testing.TB, answer func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool) *fakeUpstream {
	t.Helper()
	upstream := &fakeUpstream{listener: listen(t), answer: answer}
	go upstream.run()
	return upstream
}

func (fakeUpstream *fakeUpstream) address() string { return fakeUpstream.listener.Addr().String() }

func (fakeUpstream *fakeUpstream) run() {
	for {
		conn, err := fakeUpstream.listener.Accept()
		if err != nil {
			return
		}
		fakeUpstream.mu.Lock()
		fakeUpstream.conns++
		fakeUpstream.mu.Unlock()
		servedConn := &servedConn{upstream: fakeUpstream, conn: conn}
		go servedConn.run()
	}
}

// requestsSoFar returns a copy of the requests received so far.
func (fakeUpstream *fakeUpstream) requestsSoFar() []receivedRequest {
	fakeUpstream.mu.Lock()
	defer fakeUpstream.mu.Unlock()
	return append([]receivedRequest(nil), fakeUpstream.requests...)
}

// servedConn is one connection to a fakeUpstream.
type servedConn struct {
	upstream *fakeUpstream
	conn     net.Conn
}

func (servedConn *servedConn) run() {
	defer servedConn.conn.Close()
	reader := bufio.NewReader(servedConn.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		got := receivedRequest{method: request.Method, target: request.RequestURI, header: request.Header, body: string(body)}
		servedConn.upstream.mu.Lock()
		n := len(servedConn.upstream.requests)
		servedConn.upstream.requests = append(servedConn.upstream.requests, got)
		servedConn.upstream.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		closeWatcher := &closeWatcher{reader: reader, cancel: cancel}
		go closeWatcher.run()
		if !servedConn.upstream.answer(ctx, servedConn.conn, n, got) {
			return
		}
		if servedConn.conn.SetReadDeadline(time.Now()) != nil {
			return
		}
		<-ctx.Done()
		if !closeWatcher.stillOpen() || servedConn.conn.SetReadDeadline(time.Time{}) != nil {
			return
		}
	}
}

// closeWatcher cancels a context when its connection closes, or when a read
// deadline interrupts its read.
type closeWatcher struct {
	reader *bufio.Reader
	cancel context.CancelFunc
	err    error
}

func (closeWatcher *closeWatcher) run() {
	_, closeWatcher.err = closeWatcher.reader.Peek(1)
	closeWatcher.cancel()
}

// stillOpen reports whether the connection is open. Call it after the context
// has ended.
func (closeWatcher *closeWatcher) stillOpen() bool {
	timeout, isTimeout := closeWatcher.err.(net.Error)
	return closeWatcher.err == nil || isTimeout && timeout.Timeout()
}

// completeResponse returns a complete response to the request with the ID
// attempt.
func completeResponse(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

// write writes raw to conn. It ignores errors: the assertions of the tests fail
// if the bytes do not arrive.
func write(conn net.Conn, raw string) {
	_, _ = io.WriteString(conn, raw)
}

// reset closes conn with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
