package forward_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/ident"
)

// setZones puts each upstream of the router in the zone of the same index.
func (router *router) setZones(zones ...ident.Zone) {
	listed := router.handler.Registry.Upstreams()
	for i, zone := range zones {
		listed[i].Zone, listed[i].Version = zone, 2
	}
	router.handler.Registry.Replace(time.Now(), 2, listed)
}

// startCounting starts an upstream that echoes and counts its requests.
func startCounting(t *testing.T, served *atomic.Int64) *fakeUpstream {
	return startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		served.Add(1)
		return echo(ctx, conn, n, request)
	})
}

// TestEvacuatedZoneGetsNoRequest guards against a request that reaches an upstream of an
// evacuated zone, and against one that waits for its deadline where no upstream is left.
func TestEvacuatedZoneGetsNoRequest(t *testing.T) {
	var inA, inB atomic.Int64
	router := startRouter(t, startCounting(t, &inA), startCounting(t, &inB))
	router.setZones("a", "b")
	router.handler.Registry.SetEvacuated([]ident.Zone{"a"})
	for n := range 10 {
		for _, path := range []string{"/once/x", "/again/x"} {
			if got := router.send(t, fmt.Sprint("a", n, path), "GET", path, ""); got.status != 200 {
				t.Errorf("got status %d for %s beside an evacuated zone, want 200", got.status, path)
			}
		}
	}
	if got := inA.Load(); got != 0 {
		t.Errorf("got %d requests in the evacuated zone, want none", got)
	}
	router.handler.Registry.SetEvacuated([]ident.Zone{"a", "b"})
	began := time.Now()
	got := router.send(t, "a-all", "GET", "/again/x", "")
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != 503 || got.body != "HH2019 Every upstream is in an evacuated zone\n" || err != nil || retryAfter <= 0 {
		t.Errorf("got %d %q with Retry-After %q, want 503 HH2019 with a time", got.status, got.body, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("got the refusal after %v, want it at once", took)
	}
	router.handler.Registry.SetEvacuated(nil)
	if got := router.send(t, "a-end", "GET", "/again/x", ""); got.status != 200 {
		t.Errorf("got status %d after the evacuation, want 200", got.status)
	}
}

// TestZoneEvacuatedWhileConnecting guards against a request that is sent to an upstream
// whose zone was evacuated between the choice and the sending: opening a connection may take
// seconds.
func TestZoneEvacuatedWhileConnecting(t *testing.T) {
	var inA, inB atomic.Int64
	upstreamA, upstreamB := startCounting(t, &inA), startCounting(t, &inB)
	for _, zones := range [][]ident.Zone{{"a"}, {"a", "b"}} {
		router := startRouter(t, upstreamA, upstreamB)
		router.setZones("a", "b")
		known := router.handler.Registry
		known.SetEvacuated([]ident.Zone{"b"})
		router.handler.Connections = &forward.Connections{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			known.SetEvacuated(zones)
			return forward.Dialer().DialContext(ctx, network, address)
		}}
		got := router.send(t, "a1", "POST", "/once/x", "body")
		want := 200
		if len(zones) > 1 {
			want = 503
		}
		if got.status != want || inA.Load() != 0 {
			t.Errorf("got status %d and %d requests in the zone evacuated meanwhile with %v, want %d and none", got.status, inA.Load(), zones, want)
		}
	}
	if got := inB.Load(); got != 1 {
		t.Errorf("got %d requests in the other zone, want 1", got)
	}
}

// TestServerErrorIsRetriedOutsideAnEvacuatedZone guards against a second attempt, and against
// the rest of a stream, that goes to a zone which was evacuated after the first attempt.
func TestServerErrorIsRetriedOutsideAnEvacuatedZone(t *testing.T) {
	var inA atomic.Int64
	var known atomic.Pointer[router]
	failing := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		known.Load().handler.Registry.SetEvacuated([]ident.Zone{"a"})
		write(conn, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 4\r\n\r\nfail", request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	})
	router := startRouter(t, failing, startCounting(t, &inA))
	router.setZones("b", "a")
	known.Store(router)
	for n := range 8 {
		router.send(t, fmt.Sprint("a", n), "GET", "/again/x", "")
	}
	before := inA.Load()
	for n := range 8 {
		router.send(t, fmt.Sprint("b", n), "GET", "/again/x", "").check(t, 500, "fail")
	}
	if got := inA.Load(); got != before {
		t.Errorf("got %d second attempts in an evacuated zone, want none", got-before)
	}
}

// TestRestOfAStreamStaysOutsideAnEvacuatedZone guards against a stream that broke, or that a
// caller takes up, and that continues in a zone which was evacuated meanwhile; and against a
// take-up that is refused as if its software version had left.
func TestRestOfAStreamStaysOutsideAnEvacuatedZone(t *testing.T) {
	var known atomic.Pointer[router]
	breaking := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		known.Load().handler.Registry.SetEvacuated([]ident.Zone{"b"})
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
		return false
	})
	inB, inC := startUpstream(t, wholeStream), startUpstream(t, wholeStream)
	router := startRouter(t, breaking, inB, inC)
	router.setZones("a", "b", "c")
	router.setSoftware("v1", "v1", "v1")
	router.handler.Registry.SetEvacuated([]ident.Zone{"b", "c"})
	router.useSplit("v1", time.Minute)
	known.Store(router)
	got := router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20")
	if got.status != 200 || len(inC.requestsSoFar()) != 1 {
		t.Errorf("got status %d and %d requests for the rest outside the zone, want 200 and 1", got.status, len(inC.requestsSoFar()))
	}
	router.handler.Registry.SetEvacuated([]ident.Zone{"a", "b", "c"})
	if got := router.takeUp(t, "a2", "a1"); got.status != 503 || !strings.HasPrefix(got.body, "HH2019 ") || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %q for a take-up while all zones are evacuated, want 503 HH2019 with a time", got.status, got.body)
	}
	if got := len(inB.requestsSoFar()); got != 0 {
		t.Errorf("got %d requests in the evacuated zone, want none", got)
	}
}

// TestRunAloneStaysOutsideAnEvacuatedZone guards against a request that crashed upstreams and
// runs alone in an evacuated zone, since one of its upstreams is designated.
func TestRunAloneStaysOutsideAnEvacuatedZone(t *testing.T) {
	var upstreams []*fakeUpstream
	for range 8 {
		upstreams = append(upstreams, startUpstream(t, crashOn("crash")))
	}
	router := startRouter(t, upstreams...)
	router.setZones("a", "a", "b", "b", "b", "b", "b", "b")
	router.handler.Registry.SetEvacuated([]ident.Zone{"b"})
	for n := range 4 {
		time.Sleep(300 * time.Millisecond)
		router.send(t, fmt.Sprint("crash-", n), "POST", "/once/x", "crash")
		if n == 1 {
			router.handler.Registry.SetEvacuated([]ident.Zone{"a"})
		}
	}
	if got := runs(upstreams[:2]); got != 2 {
		t.Errorf("got %d runs in zone a, want the 2 from before its evacuation", got)
	}
	if got := runs(upstreams[2:]); got != 1 {
		t.Errorf("got %d runs in zone b, want the run alone only", got)
	}
}

// TestRequestWaitsForACurrentRouter guards against a request that is sent to an evacuated zone
// by a router that learns of the evacuation only while it catches up.
func TestRequestWaitsForACurrentRouter(t *testing.T) {
	var inA, inB atomic.Int64
	router := startRouter(t, startCounting(t, &inA), startCounting(t, &inB))
	router.setZones("a", "b")
	router.handler.Registry.SetEvacuated([]ident.Zone{"b"})
	router.handler.AwaitCurrent = func(context.Context) { router.handler.Registry.SetEvacuated([]ident.Zone{"a"}) }
	if got := router.send(t, "a1", "POST", "/once/x", ""); got.status != 200 || inA.Load() != 0 || inB.Load() != 1 {
		t.Errorf("got status %d, %d requests in the zone evacuated meanwhile and %d outside, want 200, 0 and 1", got.status, inA.Load(), inB.Load())
	}
}
