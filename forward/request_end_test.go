package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/memory"
)

// silent answers nothing until its connection closes.
func silent(ctx context.Context, _ net.Conn, _ int, _ receivedRequest) bool {
	<-ctx.Done()
	return false
}

// firstEvent answers with the first event of a stream, and nothing more.
func firstEvent(ctx context.Context, conn net.Conn, _ int, _ receivedRequest) bool {
	write(conn, fmt.Sprintf(streamHead, "a1")+chunk("id: 1\ndata: x\n\n"))
	<-ctx.Done()
	return false
}

// cutStream ends its connection behind the first event of a stream.
func cutStream(_ context.Context, conn net.Conn, _ int, _ receivedRequest) bool {
	write(conn, fmt.Sprintf(streamHead, "a1")+chunk("id: 1\ndata: x\n\n"))
	return false
}

// fine answers completely.
func fine(_ context.Context, conn net.Conn, _ int, _ receivedRequest) bool {
	write(conn, completeResponse("a1", "fine"))
	return true
}

// endlessBody answers with a body without end.
func endlessBody(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
	const head = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: a1\r\nHickoryhead-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	return (&endless{begin: head, unit: chunk(strings.Repeat("x", 4000))}).answer(ctx, conn, n, request)
}

// longBody answers with a body that the router holds.
func longBody(_ context.Context, conn net.Conn, _ int, _ receivedRequest) bool {
	write(conn, completeResponse("a1", strings.Repeat("x", 900<<10)))
	return true
}

// deadlineAfter sets a deadline in the past a moment after a request has begun.
func deadlineAfter(set func(*http.ResponseController, time.Time) error) func(http.Handler) http.Handler {
	return func(handler http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			timer := time.AfterFunc(50*time.Millisecond, func() { _ = set(http.NewResponseController(writer), time.Unix(1, 0)) })
			defer timer.Stop()
			handler.ServeHTTP(writer, request)
		})
	}
}

// lateDeadline sets a write deadline in the past once the handler has returned, as if the caller
// had not read for so long.
func lateDeadline(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(writer, request)
		_ = http.NewResponseController(writer).SetWriteDeadline(time.Unix(1, 0))
	})
}

// TestRequestWithoutAnAnswerIsLogged guards against a whole request that gets no complete answer, and
// for which neither a log line nor a counter says why its connection ended.
func TestRequestWithoutAnAnswerIsLogged(t *testing.T) {
	reset := func(_ *endRouter, conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		conn.Close()
	}
	tests := []struct {
		name, path string
		answer     func(context.Context, net.Conn, int, receivedRequest) bool
		around     func(http.Handler) http.Handler
		prepare    func(router *endRouter)
		// begun is set if act comes behind the beginning of the answer.
		begun bool
		act   func(router *endRouter, conn *net.TCPConn)
		want  endLine
	}{
		{
			name: "the caller closes", path: "/once/x", answer: silent,
			act:  func(_ *endRouter, conn *net.TCPConn) { conn.Close() },
			want: endLine{EndReason: forward.EndCallerClosed, ReadError: "EOF"},
		},
		{
			name: "the caller resets", path: "/once/x", answer: silent, act: reset,
			want: endLine{EndReason: forward.EndReset, ReadError: "connection reset by peer"},
		},
		{
			name: "the caller resets within the answer", path: "/stream/x", answer: firstEvent, begun: true, act: reset,
			want: endLine{EndReason: forward.EndReset, ReadError: "connection reset by peer"},
		},
		{
			name: "a read deadline passes", path: "/once/x", answer: silent, around: deadlineAfter((*http.ResponseController).SetReadDeadline),
			want: endLine{EndReason: forward.EndReadDeadline, ReadError: "i/o timeout"},
		},
		{
			name: "a write deadline passes", path: "/once/x", answer: endlessBody, around: deadlineAfter((*http.ResponseController).SetWriteDeadline),
			want: endLine{EndReason: forward.EndWriteDeadline, WriteError: "i/o timeout"},
		},
		{
			name: "a write deadline passes behind the handler", path: "/once/x", answer: fine, around: lateDeadline,
			prepare: func(router *endRouter) { router.wrap = func(conn net.Conn) net.Conn { return &opaqueConn{Conn: conn} } },
			want:    endLine{Message: "forward: Request ended without an answer.", EndReason: forward.EndWriteDeadline, WriteError: "i/o timeout"},
		},
		{
			name: "the upstream cuts its answer", path: "/stream/x", answer: cutStream,
			want: endLine{EndReason: forward.EndUpstreamCut},
		},
		{
			name: "the deadline passes within the answer", path: "/stream/x", answer: firstEvent,
			want: endLine{EndReason: forward.EndDeadline},
		},
		{
			name: "the router ends", path: "/stream/x", answer: firstEvent, begun: true,
			act:  func(router *endRouter, _ *net.TCPConn) { router.handler.Leave(forward.Stop{AnswerBy: time.Now()}) },
			want: endLine{EndReason: forward.EndRouter},
		},
		{
			name: "the handler panics", path: "/once/x", answer: fine,
			prepare: func(router *endRouter) { router.handler.AwaitCurrent = func(context.Context) { panic("fault") } },
			want:    endLine{EndReason: forward.EndPanic},
		},
		{
			name: "the connection is closed at the bound", path: "/once/x", answer: endlessBody,
			prepare: func(router *endRouter) { router.conns.Max, router.deadline = 1, 5*time.Second },
			act:     func(router *endRouter, _ *net.TCPConn) { router.closeStalled() },
			want:    endLine{EndReason: forward.EndClosed, CloseReason: "bound-stalled", WriteError: net.ErrClosed.Error()},
		},
		{
			name: "the answer is given up", path: "/once/x", answer: longBody,
			prepare: func(router *endRouter) { router.handler.Memory.Limit = 3 << 20 },
			act: func(router *endRouter, _ *net.TCPConn) {
				account := &router.handler.Memory
				// The answer is held, and its caller is seen not to read it.
				router.waitFor("the answer to be held", func() bool { return account.Held() > memory.MaxSmallBytes })
				router.waitFor("room for another holding, for which the answer is given up", func() bool {
					return account.Grow(time.Now().Add(time.Minute), new(memory.Holding), 2<<20)
				})
			},
			want: endLine{EndReason: forward.EndClosed, CloseReason: forward.CloseGivenUp, WriteError: "i/o timeout"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			router := newEndRouter(t, test.answer)
			if test.prepare != nil {
				test.prepare(router)
			}
			router.serve(test.around)
			conn := router.begin(test.path)
			if test.act != nil {
				router.awaitUpstream(conn, test.begun)
				test.act(router, conn)
			}
			got := router.awaitEnd()
			if test.want.Message == "" {
				test.want.Message = "forward: Request finished."
			}
			test.want.Attempt, test.want.VersionInForce, test.want.StallMs = "a1", 7, 700
			if got.InForceMs == nil || *got.InForceMs < 0 || got.StallAgoMs < 59_000 {
				t.Errorf("got %+v, want the age of the configuration, and of the last stall", got)
			}
			got.InForceMs, got.StallAgoMs = nil, 0
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got := router.counted("request.unanswered." + string(test.want.EndReason)); got != "1" {
				t.Errorf("got %s requests counted as %s, want 1", got, test.want.EndReason)
			}
			var closed []forward.CloseReason
			if test.want.CloseReason != "" {
				closed = append(closed, test.want.CloseReason)
			}
			router.mu.Lock()
			defer router.mu.Unlock()
			if !slices.Equal(router.closed, closed) {
				t.Errorf("got connections closed as %v, want %v", router.closed, closed)
			}
		})
	}
}

// TestAnsweredRequestHasNoEnd guards against lines and counters of requests that were answered:
// served, refused, or answered with a failure.
func TestAnsweredRequestHasNoEnd(t *testing.T) {
	router := newEndRouter(t, fine)
	router.serve(nil)
	conn := router.begin("/once/x")
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/once/x", "/nowhere/x", "/once/x"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		write(conn, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi")
	}
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v for the last request, want its answer", response, err)
	}
	conn.Close()
	time.Sleep(50 * time.Millisecond)
	if got := router.ends(); len(got) != 0 {
		t.Errorf("got %+v for answered requests, want no end", got)
	}
}

// TestUnhandledHeadIsCounted guards against a request that was read behind the last one that its
// connection serves, and of which no line or counter speaks; and against a count of others.
func TestUnhandledHeadIsCounted(t *testing.T) {
	const head = "GET /once/x HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nAuthorization: Token key-1\r\n"
	for _, test := range []struct {
		name, sent string
		want       int
	}{
		{"a request behind the last one", head + "Connection: close\r\n\r\n" + head + "\r\n", 1},
		{"requests that are served", head + "\r\n" + head + "Connection: close\r\n\r\n", 0},
		{"a head without an end", head + "Connection: close\r\n\r\n" + head, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newEndRouter(t, fine)
			router.serve(nil)
			conn, err := net.Dial("tcp", router.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			write(conn, test.sent)
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Logf("the connection ended with %v", err)
			}
			for end := time.Now().Add(5 * time.Second); router.conns.Open() > 0 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			router.mu.Lock()
			defer router.mu.Unlock()
			if router.unhandled != test.want {
				t.Errorf("got %d heads that went to no handler, want %d", router.unhandled, test.want)
			}
		})
	}
}

// TestLinesOfCallersThatLeaveAreLimited guards against a log that callers which leave fill, and
// against such a limit for requests that the router loses.
func TestLinesOfCallersThatLeaveAreLimited(t *testing.T) {
	const requests = 5
	for _, test := range []struct {
		name   string
		around func(http.Handler) http.Handler
		leave  bool
		reason forward.EndReason
		want   int
	}{
		{"callers that leave", nil, true, forward.EndCallerClosed, 0},
		{"lost requests", deadlineAfter((*http.ResponseController).SetReadDeadline), false, forward.EndReadDeadline, requests},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newEndRouter(t, silent)
			router.handler.LogLimiter = rate.NewLimiter(0, 0)
			router.serve(test.around)
			for range requests {
				conn := router.begin("/once/x")
				if test.leave {
					conn.Close()
				}
			}
			event := "request.unanswered." + string(test.reason)
			for end := time.Now().Add(5 * time.Second); router.counted(event) != fmt.Sprint(requests) && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			if got := router.counted(event); got != fmt.Sprint(requests) {
				t.Errorf("got %s requests counted, want %d", got, requests)
			}
			if got := len(router.ends()); got != test.want {
				t.Errorf("got %d lines, want %d", got, test.want)
			}
		})
	}
}
