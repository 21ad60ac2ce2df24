package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxEndlessHeap is how much the heap may grow while an upstream sends bytes
	// without end.
	maxEndlessHeap = 32 << 20
	// endlessDeadline is how long the caller waits, and endlessMargin how much
	// later it must have its answer and the upstream its closed connection.
	endlessDeadline = 1500 * time.Millisecond
	endlessMargin   = 500 * time.Millisecond
)

// endless writes begin once, and then unit until the connection closes. It
// records how long that took.
type endless struct {
	begin string
	unit  string

	mu    sync.Mutex
	ended time.Time
}

func (endless *endless) answer(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
	begin := endless.begin
	if strings.Contains(begin, "%s") {
		begin = fmt.Sprintf(begin, request.header.Get("Hickoryhead-Attempt-Id"))
	}
	write(conn, begin)
	block := []byte(strings.Repeat(endless.unit, 1+(32<<10)/len(endless.unit)))
	for {
		if _, err := conn.Write(block); err != nil {
			break
		}
	}
	endless.mu.Lock()
	defer endless.mu.Unlock()
	endless.ended = time.Now()
	return false
}

// closedAt returns when the connection was closed, or the zero time.
func (endless *endless) closedAt() time.Time {
	endless.mu.Lock()
	defer endless.mu.Unlock()
	return endless.ended
}

// heapWatch samples the size of the heap until stop is closed.
type heapWatch struct {
	stop chan struct{}
	done chan struct{}
	peak uint64
}

func (watch *heapWatch) run() {
	defer close(watch.done)
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		watch.peak = max(watch.peak, stats.HeapAlloc)
		select {
		case <-watch.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestEndlessBytesFromAnUpstream guards against memory that grows, an answer that
// comes late and a connection that stays open while an upstream sends bytes
// without end.
func TestEndlessBytesFromAnUpstream(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	const head = status + "Hickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	const complete = head + "Content-Length: 4\r\n\r\nfine"
	tests := []struct {
		name  string
		path  string
		begin string
		unit  string
		// want is the status, and zero an answer that must not look complete: it is cut, or the
		// caller gets a 504 in its place if it has not begun by the deadline.
		want int
	}{
		{"status line", "/once/x", "HTTP/1.1 200 ", "x", 502},
		{"no line end", "/once/x", "", "x", 502},
		{"line ends", "/once/x", "", "\r\n", 502},
		{"header line", "/once/x", status + "X-Long: ", "x", 502},
		{"header lines", "/once/x", status, "X-More: y\r\n", 502},
		{"informational answers", "/once/x", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 502},
		{"informational header lines", "/once/x", "HTTP/1.1 103 Early Hints\r\n", "X-More: y\r\n", 502},
		{"answers to other requests", "/once/x", "", status + "Hickoryhead-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno", 502},
		{"chunk size", "/once/x", chunked, "1", 502},
		{"chunk extension", "/once/x", chunked + "5;", "x", 502},
		{"chunks", "/once/x", chunked, "5\r\nbytes\r\n", 0},
		{"body until the end of the connection", "/once/x", head + "\r\n", "x", 0},
		{"trailers", "/once/x", chunked + "0\r\n", "X-More: y\r\n", 502},
		{"event", "/stream/x", chunked, chunk(strings.Repeat("x", 4000)), 502},
		{"event after an event", "/stream/x", chunked + "7\r\nid: 1\n\n\r\n", "5\r\nbytes\r\n", 0},
		{"event that ends with its connection", "/stream/x", head + "\r\n", "x", 502},
		{"events", "/stream/x", chunked, "9\r\ndata: a\n\n\r\n", 0},
		{"behind a complete answer", "/once/x", complete, "x", 200},
		{"answers behind a complete answer", "/once/x", complete, complete, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			endless := &endless{begin: test.begin, unit: test.unit}
			if strings.Contains(test.unit, "%s") {
				endless.unit = fmt.Sprintf(test.unit, "late")
			}
			router := startRouter(t, startUpstream(t, endless.answer))
			sweep := &sweeper{router: router, stop: make(chan struct{})}
			go sweep.run()
			defer close(sweep.stop)
			runtime.GC()
			watch := &heapWatch{stop: make(chan struct{}), done: make(chan struct{})}
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			go watch.run()
			began := time.Now()
			got := router.discard(t, test.path)
			took := time.Since(began)
			close(watch.stop)
			<-watch.done
			cut := got.err != nil || got.status == http.StatusGatewayTimeout
			if got.status != test.want && test.want != 0 || test.want == 0 && !cut || test.want == 502 && got.err != nil {
				t.Errorf("got status %d and error %v, want %d", got.status, got.err, test.want)
			}
			if took > endlessDeadline+endlessMargin {
				t.Errorf("got an answer after %v, want it %v after the deadline at most", took, endlessMargin)
			}
			if grown := int64(watch.peak) - int64(before.HeapAlloc); grown > maxEndlessHeap {
				t.Errorf("got a heap that grew by %d MiB, want at most %d", grown>>20, maxEndlessHeap>>20)
			}
			for end := time.Now().Add(2 * endlessMargin); endless.closedAt().IsZero() && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			if endless.closedAt().IsZero() {
				t.Errorf("got an open connection to the upstream %v after the answer, want it closed", 2*endlessMargin)
			}
		})
	}
}

// sweeper closes idle connections as the maintenance of a router does.
type sweeper struct {
	router *router
	stop   chan struct{}
}

func (sweeper *sweeper) run() {
	for {
		select {
		case <-sweeper.stop:
			return
		case <-time.After(500 * time.Millisecond):
			sweeper.router.handler.Connections.Retain(sweeper.router.handler.Registry.Upstreams())
		}
	}
}
