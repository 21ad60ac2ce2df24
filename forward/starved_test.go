package forward_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/memory"
)

// starvedConn is a connection whose goroutine gets no processor for a while before its first write.
type starvedConn struct {
	*net.TCPConn
	writing chan struct{}
	pause   time.Duration
	once    sync.Once
}

func (starvedConn *starvedConn) Write(data []byte) (int, error) {
	starvedConn.once.Do(func() {
		starvedConn.writing <- struct{}{}
		time.Sleep(starvedConn.pause)
	})
	return starvedConn.TCPConn.Write(data)
}

// boundReasons holds the reasons for which connections were closed at a bound.
type boundReasons struct {
	mu      sync.Mutex
	reasons []forward.BoundReason
}

func (boundReasons *boundReasons) add(reason forward.BoundReason) {
	boundReasons.mu.Lock()
	defer boundReasons.mu.Unlock()
	boundReasons.reasons = append(boundReasons.reasons, reason)
}

func (boundReasons *boundReasons) all() []forward.BoundReason {
	boundReasons.mu.Lock()
	defer boundReasons.mu.Unlock()
	return slices.Clone(boundReasons.reasons)
}

// await waits until the given number of connections were closed, and returns the reasons.
func (boundReasons *boundReasons) await(t *testing.T, number int) []forward.BoundReason {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if reasons := boundReasons.all(); len(reasons) >= number {
			return reasons
		}
	}
	t.Fatalf("got connections closed as %v, want %d closed", boundReasons.all(), number)
	return nil
}

// serveBounded serves the router at another listener, with at most one connection.
func (router *router) serveBounded(t *testing.T, inner net.Listener, reasons *boundReasons) {
	t.Helper()
	conns := &forward.CallerConns{Max: 1, OnBound: reasons.add}
	server := &http.Server{Handler: router.handler, ConnContext: forward.ConnContext, ConnState: conns.Track}
	serve(t, server, &forward.Listener{Listener: inner})
	router.address = inner.Addr().String()
}

// TestStarvedAnswerStaysAtTheBound guards against a request that is cut off at the bound of the
// connections because its router takes long to write the answer: its caller does not stall.
func TestStarvedAnswerStaysAtTheBound(t *testing.T) {
	router := startRouter(t, startUpstream(t, echo))
	starved := &starvedConn{writing: make(chan struct{}), pause: 1500 * time.Millisecond}
	wrap := func(conn net.Conn) net.Conn {
		if starved.TCPConn != nil {
			return conn
		}
		starved.TCPConn = conn.(*net.TCPConn)
		return starved
	}
	router.serveBounded(t, &wrappingListener{Listener: listen(t), wrap: wrap}, new(boundReasons))
	caller := router.dial(t)
	caller.begin("a1", "Content-Length: 0")
	<-starved.writing
	time.Sleep(1200 * time.Millisecond)
	router.dial(t)
	caller.check(http.StatusOK)
}

// TestStalledCallerGivesWayAtTheBound guards against a caller that keeps its connection although it
// neither sends its body nor reads its answer, while a new one gets none.
func TestStalledCallerGivesWayAtTheBound(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, framing := range []string{"Content-Length: 0", "Content-Length: 100"} {
		t.Run(framing, func(t *testing.T) {
			router := startLargeBodyRouter(t, startUpstream(t, (&endless{begin: head, unit: chunk(strings.Repeat("x", 64<<10))}).answer))
			reasons := new(boundReasons)
			router.serveBounded(t, listen(t), reasons)
			router.dial(t).begin("a1", framing)
			// The caller makes progress until the buffers are full. Each new connection has one
			// closed, which the router does some time after dial returns.
			var closed []forward.BoundReason
			for end := time.Now().Add(10 * time.Second); !slices.Contains(closed, forward.BoundStalled) && time.Now().Before(end); {
				time.Sleep(2 * time.Second)
				router.dial(t)
				closed = reasons.await(t, len(closed)+1)
			}
			got := slices.DeleteFunc(closed, func(reason forward.BoundReason) bool { return reason == forward.BoundNew })
			if want := []forward.BoundReason{forward.BoundStalled}; !slices.Equal(got, want) {
				t.Errorf("got connections closed as %v beside new ones, want %v", got, want)
			}
		})
	}
}

// TestStarvedAnswerIsNotGivenUp guards against an answer that is cut off to make room because its
// router takes long to write it: its caller does not read slowly.
func TestStarvedAnswerIsNotGivenUp(t *testing.T) {
	body := strings.Repeat("x", 300<<10)
	router := startRouter(t, startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, completeResponse(request.header.Get("Hickoryhead-Attempt-Id"), body))
		return true
	}))
	router.handler.Memory.Limit = 1 << 20
	starved := &starvedConn{writing: make(chan struct{}), pause: 800 * time.Millisecond}
	router.serveBounded(t, &wrappingListener{Listener: listen(t), wrap: func(conn net.Conn) net.Conn {
		starved.TCPConn = conn.(*net.TCPConn)
		return starved
	}}, new(boundReasons))
	caller := router.dial(t)
	caller.begin("a1", "Content-Length: 0")
	<-starved.writing
	account := &router.handler.Memory
	now, small, others := time.Now(), new(memory.Holding), make([]memory.Holding, 7)
	for i := range others {
		account.TryGrow(&others[i], 100<<10)
	}
	time.Sleep(600 * time.Millisecond)
	if account.Grow(now.Add(600*time.Millisecond), small, memory.MaxSmallBytes) {
		t.Error("got room in place of an answer that its router writes slowly, want none")
	}
	caller.check(http.StatusOK)
}
