package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/routing"
)

// echo answers each request with a complete response that names its attempt ID.
func echo(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
	write(conn, completeResponse(request.header.Get("Hickoryhead-Attempt-Id"), "answer to "+request.header.Get("Hickoryhead-Attempt-Id")))
	return true
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRouter(t, upstream)
	router.send(t, "a1", "PUT", "/once/x%2Fy/../z?q=1&q=%20", "body", "X-Other", "kept").check(t, 200, "answer to a1")
	got := upstream.requestsSoFar()[0]
	if got.method != "PUT" || got.target != "/once/x%2Fy/../z?q=1&q=%20" || got.body != "body" || got.header.Get("X-Other") != "kept" {
		t.Errorf("got %+v, want the request as it was sent", got)
	}
}

// TestForgedHeaders sends headers that only routers may set. The router must
// drop them or replace their values.
func TestForgedHeaders(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRouter(t, upstream)
	forged := []string{"Hickoryhead-Hold", "Hickoryhead-Pin-Ms", "Hickoryhead-Kv-Backup", "Kv-From", "Kv-Fetch", "Hickoryhead-Request-Priority", "Hickoryhead-Expect-Version"}
	header := []string{"Hickoryhead-Tenant", "somebody", "Hickoryhead-Expect-Instance", "i-9", "Connection", "X-Hop, Hickoryhead-Attempt-Id", "X-Hop", "1"}
	for _, name := range forged {
		header = append(header, name, "forged")
	}
	router.send(t, "a1", "POST", "/once/", "", header...).check(t, 200, "answer to a1")
	got := upstream.requestsSoFar()[0].header
	for _, name := range append(forged, "Authorization", "X-Hop") {
		if value := got.Get(name); value != "" {
			t.Errorf("got header %s %q at the upstream, want none", name, value)
		}
	}
	if tenant, expected := got.Get("Hickoryhead-Tenant"), got.Get("Hickoryhead-Expect-Instance"); tenant != "grocer" || expected != "i-0" {
		t.Errorf("got tenant %q and instance %q, want grocer and i-0", tenant, expected)
	}
}

// TestConnectionHeaderDropsNoModelHeader guards against a request that runs with
// another model or prompt than its caller's because the caller named these headers
// in Connection.
func TestConnectionHeaderDropsNoModelHeader(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRouter(t, upstream)
	want := map[string]string{
		"Hickoryhead-Model": "m", "Hickoryhead-Token-Usage": "1460,80", "Hickoryhead-Prompt-Prefix": "5c:800,91:250", "Last-Event-Id": "4",
	}
	header := []string{"Connection", "Hickoryhead-Model, hickoryhead-token-usage, Hickoryhead-Prompt-Prefix, Last-Event-Id"}
	for name, value := range want {
		header = append(header, name, value)
	}
	router.send(t, "a1", "POST", "/stream/", "", header...)
	got := upstream.requestsSoFar()[0].header
	for name, value := range want {
		if got.Get(name) != value {
			t.Errorf("got header %s %q at the upstream, want %q", name, got.Get(name), value)
		}
	}
}

func TestRefusedInput(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRouter(t, upstream)
	tests := []struct {
		name   string
		path   string
		body   string
		header []string
		want   int
	}{
		{"unknown route", "/other/", "", nil, 404},
		{"prefix without its slash", "/once", "", nil, 404},
		{"unknown key", "/once/", "", []string{"Authorization", "Token nobody"}, 401},
		{"no key", "/once/", "", []string{"Authorization", ""}, 401},
		{"long head", "/once/", "", []string{"X-Long", strings.Repeat("x", 2000)}, 431},
		{"long body", "/once/", strings.Repeat("x", 1001), nil, 413},
		{"bad deadline", "/once/", "", []string{"Hickoryhead-Deadline-Ms", "soon"}, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router.send(t, "a1", "POST", test.path, test.body, test.header...).check(t, test.want, "")
		})
	}
	if got := len(upstream.requestsSoFar()); got != 0 {
		t.Errorf("got %d requests at the upstream, want none", got)
	}
	router.send(t, "a2", "GET", "/public/", "", "Authorization", "").check(t, 200, "answer to a2")
}

func TestNothingIsForwardedWithoutAConfiguration(t *testing.T) {
	upstream := startUpstream(t, echo)
	got := startUnconfiguredRouter(t, upstream).send(t, "a1", "GET", "/again/", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
}

// TestRequestWaitsForTheFirstConfiguration sends a request to a router that
// receives its configuration 200 ms later.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	router := startUnconfiguredRouter(t, startUpstream(t, echo))
	adoption := time.AfterFunc(200*time.Millisecond, func() { router.handler.Routes.Adopt(routing.New(testConfig())) })
	defer adoption.Stop()
	router.send(t, "a1", "GET", "/again/x", "").check(t, 200, "answer to a1")
}

// TestSmuggledRequest sends requests with ambiguous lengths, with another
// request hidden in the bytes after the head. The router must refuse them and
// forward nothing.
func TestSmuggledRequest(t *testing.T) {
	const hidden = "POST /once/hidden HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n"
	heads := []string{
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5),
		"Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
		"Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n",
	}
	for _, head := range heads {
		upstream := startUpstream(t, echo)
		router := startRouter(t, upstream)
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			t.Fatal(err)
		}
		write(conn, "POST /once/ HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nAuthorization: Token key-1\r\n"+head+hidden)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode < 400 {
			t.Errorf("got %v and %v for %q, want a refusal", response, err, head)
		}
		_ = conn.Close()
		if got := upstream.requestsSoFar(); len(got) != 0 {
			t.Errorf("got %+v at the upstream for %q, want nothing", got, head)
		}
	}
}

// TestStrayAnswers has the upstream send responses to other requests on a
// kept-alive connection, before and after the response to the current request.
// The caller must receive its own response.
func TestStrayAnswers(t *testing.T) {
	strayBefore := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		id := request.header.Get("Hickoryhead-Attempt-Id")
		write(conn, completeResponse("earlier", "not yours")+completeResponse(id, "yours"))
		return true
	})
	router := startRouter(t, strayBefore)
	router.send(t, "a1", "POST", "/once/", "").check(t, 200, "yours")

	strayAfter := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		id := request.header.Get("Hickoryhead-Attempt-Id")
		write(conn, completeResponse(id, "answer to "+id)+completeResponse(id, "once more"))
		return true
	})
	router = startRouter(t, strayAfter)
	for _, id := range []string{"b1", "b2", "b3"} {
		router.send(t, id, "POST", "/once/", "").check(t, 200, "answer to "+id)
	}
}

// TestLateStrayRefusal sends a late refusal of an earlier request, without an
// attempt ID, in place of the response to the next one. It does not prove that
// the next request did not run.
func TestLateStrayRefusal(t *testing.T) {
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, n int, request receivedRequest) bool {
		if n == 0 {
			write(conn, completeResponse(request.header.Get("Hickoryhead-Attempt-Id"), "first"))
			return true
		}
		write(conn, "HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	router := startRouter(t, upstream)
	router.send(t, "a1", "POST", "/once/", "").check(t, 200, "first")
	router.send(t, "a2", "POST", "/once/", "").check(t, 502, "")
}

// TestOutcomes has the first upstream fail in various ways and the second one
// answer. A request that must not run twice may be retried only if it certainly
// did not run.
func TestOutcomes(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const withoutProof = "HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
	const failed = "HTTP/1.1 500 Internal Server Error\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 4\r\n\r\nfail"
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\nHickoryhead-Runner-Id: i-9\r\nContent-Length: 0\r\n\r\n"
	const unsigned = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nlies"
	const truncated = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 20\r\n\r\nhalf"
	const unframed = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\n\r\nhalf"
	tests := []struct {
		name string
		raw  string
		// broken resets the connection after raw.
		broken              bool
		wantOnce, wantAgain int
	}{
		{"not run", notRun, false, 200, 200},
		{"another instance", misdirected, false, 200, 200},
		{"not run without proof", withoutProof, false, 502, 200},
		{"failed", failed, false, 500, 200},
		{"success without a signature", unsigned, false, 502, 200},
		{"truncated", truncated, false, 502, 200},
		{"framed by close, then reset", unframed, true, 502, 200},
		{"no answer", "", true, 502, 200},
		{"not HTTP", "garbage\r\n\r\n", false, 502, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bad := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				raw := test.raw
				if strings.Contains(raw, "%s") {
					raw = fmt.Sprintf(raw, request.header.Get("Hickoryhead-Attempt-Id"))
				}
				write(conn, raw)
				if test.broken {
					time.Sleep(20 * time.Millisecond)
					reset(conn)
				}
				return false
			}
			for path, want := range map[string]int{"/once/": test.wantOnce, "/again/": test.wantAgain} {
				// Whichever upstream is chosen first fails.
				first := true
				flaky := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
					if first {
						first = false
						return bad(ctx, conn, n, request)
					}
					return echo(ctx, conn, n, request)
				}
				upstreamA, upstreamB := startUpstream(t, flaky), startUpstream(t, flaky)
				router := startRouter(t, upstreamA, upstreamB)
				got := router.send(t, "a1", "POST", path, "body")
				got.check(t, want, "")
				if runs := len(upstreamA.requestsSoFar()) + len(upstreamB.requestsSoFar()); want != 200 && runs != 1 {
					t.Errorf("got %d attempts of %s, want 1", runs, path)
				}
			}
		})
	}
}

// TestAnswerFramedByClose checks that a response without a length is complete
// if its connection closes cleanly.
func TestAnswerFramedByClose(t *testing.T) {
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: "+request.header.Get("Hickoryhead-Attempt-Id")+"\r\nHickoryhead-Response-Signature: s\r\n\r\nwhole")
		return false
	})
	startRouter(t, upstream).send(t, "a1", "POST", "/once/", "").check(t, 200, "whole")
}

// TestCallerDisconnects checks that the disconnect of a caller cancels the work
// at the upstream, before and during the answer.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		began, ended := make(chan struct{}), make(chan struct{})
		upstream := startUpstream(t, func(ctx context.Context, conn net.Conn, _ int, request receivedRequest) bool {
			if path == "/stream/" {
				write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
			}
			close(began)
			<-ctx.Done()
			close(ended)
			return false
		})
		router := startRouter(t, upstream)
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			t.Fatal(err)
		}
		write(conn, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody")
		<-began
		_ = conn.Close()
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Errorf("upstream still works on %s 500 ms after the caller disconnected, want it cancelled", path)
		}
	}
}

// TestRemainingDeadlineIsForwarded checks that each upstream receives the time
// that the caller still waits, less what earlier attempts took.
func TestRemainingDeadlineIsForwarded(t *testing.T) {
	first := true
	answer := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		if first {
			first = false
			time.Sleep(300 * time.Millisecond)
			write(conn, "HTTP/1.1 503 Busy\r\nHickoryhead-Attempt-Id: a1\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return echo(ctx, conn, n, request)
	}
	upstreamA, upstreamB := startUpstream(t, answer), startUpstream(t, answer)
	startRouter(t, upstreamA, upstreamB).send(t, "a1", "POST", "/once/", "").check(t, 200, "")
	var waits []string
	for _, request := range append(upstreamA.requestsSoFar(), upstreamB.requestsSoFar()...) {
		waits = append(waits, request.header.Get("Hickoryhead-Deadline-Ms"))
	}
	for _, wait := range waits {
		var milliseconds int
		if _, err := fmt.Sscan(wait, &milliseconds); err != nil || milliseconds > 1500 || milliseconds < 900 {
			t.Errorf("got deadline %q, want the remaining time, 900 to 1500", wait)
		}
	}
	if len(waits) != 2 || waits[0] == waits[1] {
		t.Errorf("got deadlines %v, want two different ones", waits)
	}
}

// TestUnresponsiveUpstream has an upstream answer its first request far later
// than the latency target of the route. The request must wait for it if it is
// the only upstream, and switch to the other one otherwise.
func TestUnresponsiveUpstream(t *testing.T) {
	slow := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		if n == 0 {
			select {
			case <-ctx.Done():
				return false
			case <-time.After(800 * time.Millisecond):
			}
		}
		return echo(ctx, conn, n, request)
	}
	only := startUpstream(t, slow)
	startRouter(t, only).send(t, "a1", "GET", "/again/", "").check(t, 200, "answer to a1")
	if got := len(only.requestsSoFar()); got != 1 {
		t.Errorf("got %d attempts at the only upstream, want 1", got)
	}
	upstreamA, upstreamB := startUpstream(t, slow), startUpstream(t, echo)
	router := startRouter(t, upstreamA, upstreamB)
	for range 4 {
		began := time.Now()
		router.send(t, "a2", "GET", "/again/", "").check(t, 200, "answer to a2")
		if took := time.Since(began); took > 700*time.Millisecond {
			t.Errorf("got an answer after %v, want one from the responsive upstream within 700 ms", took)
		}
	}
}

// TestSwitchEndsTheFirstRun guards against a request that runs at two upstreams at
// a time: when it goes to another one, the first must see its connection close.
func TestSwitchEndsTheFirstRun(t *testing.T) {
	const maxOverlap = 400 * time.Millisecond
	ended := make(chan time.Time, 1)
	silent := func(ctx context.Context, _ net.Conn, _ int, _ receivedRequest) bool {
		<-ctx.Done()
		ended <- time.Now()
		return false
	}
	started := make(chan time.Time, 1)
	second := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		started <- time.Now()
		return echo(ctx, conn, n, request)
	}
	var first sync.Once
	either := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		answer := second
		first.Do(func() { answer = silent })
		return answer(ctx, conn, n, request)
	}
	router := startRouter(t, startUpstream(t, either), startUpstream(t, either))
	router.send(t, "a1", "GET", "/again/", "").check(t, 200, "answer to a1")
	if overlap := (<-ended).Sub(<-started); overlap > maxOverlap {
		t.Errorf("got a first run that ended %v after the second began, want at most %v", overlap, maxOverlap)
	}
}

// TestUnresponsiveUpstreamAtTheTimeout checks that a request without a response
// is answered with 504 at the timeout of its route.
func TestUnresponsiveUpstreamAtTheTimeout(t *testing.T) {
	upstream := startUpstream(t, func(ctx context.Context, _ net.Conn, _ int, _ receivedRequest) bool {
		<-ctx.Done()
		return false
	})
	router := startRouter(t, upstream)
	began := time.Now()
	router.send(t, "a1", "POST", "/once/", "", "Hickoryhead-Deadline-Ms", "60000").check(t, 504, "")
	if took := time.Since(began); took < 1900*time.Millisecond || took > 2400*time.Millisecond {
		t.Errorf("got an answer after %v, want it at the route's timeout of 2 s", took)
	}
}
