package forward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/routing"
)

// endLine is the log line of a request that got no complete answer.
type endLine struct {
	Message        string `json:"msg"`
	Attempt        string
	EndReason      forward.EndReason
	CloseReason    forward.CloseReason
	ReadError      string
	WriteError     string
	VersionInForce uint64
	InForceMs      *int64
	StallMs        int64
	StallAgoMs     int64
}

// ends returns the lines so far that name an end.
func (router *endRouter) ends() []endLine {
	router.t.Helper()
	var ends []endLine
	for text := range strings.Lines(router.log.String()) {
		var line endLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			router.t.Fatal(err)
		}
		if line.EndReason != "" {
			ends = append(ends, line)
		}
	}
	return ends
}

// endRouter is a router whose requests end without a complete answer.
type endRouter struct {
	t        *testing.T
	handler  *forward.Handler
	upstream *fakeUpstream
	conns    forward.CallerConns
	address  string
	log      fleettest.Buffer
	// deadline is how long the caller waits.
	deadline time.Duration

	// wrap returns the connection that is served in place of an accepted one.
	wrap func(net.Conn) net.Conn

	mu        sync.Mutex
	closed    []forward.CloseReason
	unhandled int
}

// opaqueConn is a connection of which the kernel does not say whether its caller has taken all
// that was written.
type opaqueConn struct {
	net.Conn
}

// smallBufferConns accepts connections with small buffers, so that writes wait for the caller soon.
func smallBufferConns(conn net.Conn) net.Conn {
	if sized, ok := conn.(*net.TCPConn); ok {
		_ = sized.SetWriteBuffer(4 << 10)
	}
	return conn
}

// newEndRouter returns a router for an upstream that answers with answer.
func newEndRouter(t *testing.T, answer func(context.Context, net.Conn, int, receivedRequest) bool) *endRouter {
	t.Helper()
	upstream := startUpstream(t, answer)
	router := &endRouter{t: t, wrap: smallBufferConns, upstream: upstream, handler: startUnconfiguredRouter(t, upstream).handler, deadline: time.Second}
	table := routing.New(testConfig())
	table.InForceSince = time.Now()
	router.handler.Routes.Adopt(table)
	logger, err := logging.New(&router.log, logging.JSON, "info")
	if err != nil {
		t.Fatal(err)
	}
	router.handler.Logger = logging.Component(logger, "forward")
	if router.handler.Metrics, err = metrics.New("entry"); err != nil {
		t.Fatal(err)
	}
	router.handler.LastStall = func() (time.Duration, time.Time) { return 700 * time.Millisecond, time.Now().Add(-time.Minute) }
	return router
}

// serve begins to serve. around is called in place of the handler, unless nil.
func (router *endRouter) serve(around func(http.Handler) http.Handler) {
	router.t.Helper()
	inner := listen(router.t)
	router.address = inner.Addr().String()
	var handler http.Handler = router.handler
	if around != nil {
		handler = around(handler)
	}
	server := &http.Server{Handler: handler, ConnContext: forward.ConnContext, ConnState: router.conns.Track, ErrorLog: log.New(io.Discard, "", 0)}
	serve(router.t, server, &forward.Listener{
		Listener:    &wrappingListener{Listener: inner, wrap: router.wrap},
		Memory:      &router.handler.Memory,
		OnClose:     router.recordClose,
		OnUnhandled: router.recordUnhandled,
	})
}

func (router *endRouter) recordClose(reason forward.CloseReason) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.closed = append(router.closed, reason)
}

func (router *endRouter) recordUnhandled(heads int) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.unhandled += heads
}

// begin sends the whole of a request, with the router's deadline, on a new connection.
func (router *endRouter) begin(path string) *net.TCPConn {
	router.t.Helper()
	address, err := net.ResolveTCPAddr("tcp", router.address)
	if err != nil {
		router.t.Fatal(err)
	}
	conn, err := net.DialTCP("tcp", nil, address)
	if err != nil {
		router.t.Fatal(err)
	}
	router.t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadBuffer(4 << 10)
	write(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nHickoryhead-Deadline-Ms: %d\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi", path, router.deadline.Milliseconds()))
	return conn
}

// endTimeout bounds the wait for what a request that ends without an answer leads to.
const endTimeout = 10 * time.Second

// waitFor waits until done returns true. It fails the test if that takes too long.
func (router *endRouter) waitFor(what string, done func() bool) {
	router.t.Helper()
	for end := time.Now().Add(endTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			router.t.Errorf("timed out, want %s", what)
			return
		}
	}
}

// awaitUpstream waits until the upstream has the request, and until its answer has begun if begun is set.
func (router *endRouter) awaitUpstream(conn net.Conn, begun bool) {
	router.t.Helper()
	router.waitFor("the request at the upstream", func() bool { return len(router.upstream.requestsSoFar()) > 0 })
	if !begun {
		return
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		router.t.Errorf("got error %v, want the answer begun", err)
	}
}

// closedSoFar returns why connections were closed so far.
func (router *endRouter) closedSoFar() []forward.CloseReason {
	router.mu.Lock()
	defer router.mu.Unlock()
	return slices.Clone(router.closed)
}

// closeStalled opens connections until one closes that of the request, which has stalled. Those that
// come before it has stalled for long enough are closed themselves, and don't count.
func (router *endRouter) closeStalled() {
	router.t.Helper()
	router.waitFor("the stalled connection closed", func() bool {
		before := len(router.closedSoFar())
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			return false
		}
		defer conn.Close()
		router.waitFor("a connection closed at the bound", func() bool { return len(router.closedSoFar()) > before })
		return slices.Contains(router.closedSoFar(), "bound-stalled")
	})
	router.mu.Lock()
	defer router.mu.Unlock()
	router.closed = slices.DeleteFunc(router.closed, func(reason forward.CloseReason) bool { return reason == "bound-new" })
}

// awaitEnd returns the only line of a request that ended without an answer.
func (router *endRouter) awaitEnd() endLine {
	router.t.Helper()
	for end := time.Now().Add(endTimeout); len(router.ends()) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	// A second line would follow at once.
	time.Sleep(20 * time.Millisecond)
	ends := router.ends()
	if len(ends) != 1 {
		router.t.Fatalf("got %d lines of requests that ended without an answer, want one: %s", len(ends), router.log.String())
	}
	return ends[0]
}

// counted returns how often an event was counted.
func (router *endRouter) counted(event string) string {
	router.t.Helper()
	recorder := httptest.NewRecorder()
	router.handler.Metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, "hickoryhead_events_total{") && strings.Contains(line, `event="`+event+`"`) {
			return strings.TrimSpace(line[strings.LastIndex(line, " "):])
		}
	}
	return "0"
}
