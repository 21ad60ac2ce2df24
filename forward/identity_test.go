package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// listedBorn is the start time of an upstream's process by its row, and laterBorn that of the
	// one that follows it.
	listedBorn = 1_700_000_000_001
	laterBorn  = 1_700_000_000_002
	// noReport is the answer of an upstream that does not say which process it is.
	noReport = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)

// report returns an answer that names the start time of a process, with more header lines.
func report(born int64, lines string) string {
	body := fmt.Sprintf(`{"born":%d}`, born)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
}

// listAll lists the upstreams as processes of version v1.
func (router *router) listAll() {
	listed := router.handler.Registry.Upstreams()
	for i := range listed {
		listed[i].Incarnation, listed[i].Version, listed[i].Software = listedBorn, 2, "v1"
	}
	router.handler.Registry.Replace(time.Now(), 2, listed)
	router.useSplit("v1", time.Minute)
}

// reporting answers requests for its report, and those for streams with events of its own. It
// breaks each stream behind its first event if breaks is set.
type reporting struct {
	answer  string
	after   time.Duration
	event   string
	breaks  bool
	reports atomic.Int64
	runs    atomic.Int64
}

func (reporting *reporting) serve(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
	if request.target == "/report" {
		reporting.reports.Add(1)
		time.Sleep(reporting.after)
		write(conn, reporting.answer)
		return !strings.Contains(reporting.answer, "close")
	}
	reporting.runs.Add(1)
	id := len(request.header.Get("Last-Event-Id")) + 1
	write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, reporting.event)))
	if reporting.breaks {
		return false
	}
	write(conn, "0\r\n\r\n")
	return true
}

// TestStreamBeginsAtTheListedProcess guards against one answer with events of two software versions
// (review case 7, ORDER): an upstream restarts under its ID with another version while a router has
// no connection to it, and its first stream breaks before the new row is read.
func TestStreamBeginsAtTheListedProcess(t *testing.T) {
	restarted := &reporting{answer: report(laterBorn, ""), event: "of v2", breaks: true}
	sound := &reporting{answer: report(listedBorn, ""), event: "of v1"}
	alone := startRouter(t, startUpstream(t, restarted.serve))
	alone.listAll()
	alone.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20").check(t, http.StatusServiceUnavailable, "")
	both := startRouter(t, startUpstream(t, restarted.serve), startUpstream(t, sound.serve))
	both.listAll()
	for range 5 {
		both.handler.Loads.Start("i-1", 0)
	}
	const streams = 20
	for i := range streams {
		got := both.send(t, fmt.Sprintf("b%d", i), "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", fmt.Sprintf("5c:80,%d:20", i))
		if got.status != http.StatusOK || strings.Contains(got.body, restarted.event) || !strings.Contains(got.body, sound.event) {
			t.Fatalf("got status %d and body %q, want 200 with events of v1 alone", got.status, got.body)
		}
	}
	if got := restarted.runs.Load(); got != 0 {
		t.Errorf("got %d streams at the process that the row doesn't name, want 0", got)
	}
	if restarted.reports.Load() < 2 {
		t.Error("the second router did not choose the restarted upstream")
	}
}

// TestStreamsOfSoundUpstreams guards against streams that are refused because their upstream does
// not say, or not in time, which process it is, and against reports that are asked for more than
// once while a connection is open.
func TestStreamsOfSoundUpstreams(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		after  time.Duration
	}{
		{name: "the listed process", answer: report(listedBorn, "")},
		{name: "no report", answer: noReport},
		{name: "a report without the start time", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{name: "a connection that ends with the report", answer: report(listedBorn, "Connection: close\r\n")},
		{name: "a late report", answer: report(listedBorn, ""), after: 400 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			upstream := &reporting{answer: test.answer, after: test.after, event: "e"}
			router := startRouter(t, startUpstream(t, upstream.serve))
			router.listAll()
			const streams = 4
			for i := range streams {
				got := router.send(t, fmt.Sprintf("a%d", i), "POST", "/resume/", "")
				if got.status != http.StatusOK || got.err != nil || !strings.Contains(got.body, upstream.event) {
					t.Errorf("got status %d, body %q and error %v, want a whole stream", got.status, got.body, got.err)
				}
			}
			if got := upstream.reports.Load(); got > 1 {
				t.Errorf("got %d requests for a report, want at most 1", got)
			}
		})
	}
}

// TestOtherRoutesAskForNoReport guards against reports that are asked for where no answer goes on
// at another upstream: they cost work there.
func TestOtherRoutesAskForNoReport(t *testing.T) {
	upstream := &reporting{answer: report(laterBorn, ""), event: "e"}
	router := startRouter(t, startUpstream(t, upstream.serve))
	router.listAll()
	router.send(t, "a1", "POST", "/stream/", "").check(t, http.StatusOK, "")
	if got := upstream.reports.Load(); got != 0 {
		t.Errorf("got %d requests for a report, want 0", got)
	}
}

// closingOnce answers as inner does, and closes the connection behind its first request, as an upstream
// that ends does, or one that keeps connections for less time than it states.
type closingOnce struct {
	inner  *reporting
	closed atomic.Bool
}

func (closingOnce *closingOnce) serve(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
	open := closingOnce.inner.serve(ctx, conn, n, request)
	return open && (request.target == "/report" || closingOnce.closed.Swap(true))
}

// TestSingleClosedConnection guards against an upstream that gets more requests than it may while it is
// cold: its process ended and another one followed, but all that a router saw is that the only connection
// which it had open was closed. Without a share of the rate no request is sent there. One that only closed
// the connection must not be taken for cold.
func TestSingleClosedConnection(t *testing.T) {
	tests := []struct {
		name     string
		report   string
		wantCold bool
	}{
		{"another process", report(laterBorn, ""), true},
		{"another process, the connection ends with its report", report(laterBorn, "Connection: close\r\n"), true},
		{"the same process", report(listedBorn, ""), false},
		{"the same process, the connection ends with its report", report(listedBorn, "Connection: close\r\n"), false},
		{"no report", noReport, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			upstream := &closingOnce{inner: &reporting{answer: test.report, event: "e"}}
			router := startRouter(t, startUpstream(t, upstream.serve))
			router.listAll()
			tracker := coldTracker(3 * time.Second)
			router.handler.Quota = tracker
			router.handler.Connections.OnAllClosed = func(upstream registry.Upstream, connections int) {
				tracker.Closed(time.Now(), upstream, connections)
			}
			router.send(t, "a1", "POST", "/stream/", "").check(t, http.StatusOK, "")
			time.Sleep(50 * time.Millisecond)
			want := http.StatusOK
			if test.wantCold {
				want = http.StatusServiceUnavailable
			}
			router.send(t, "a2", "POST", "/stream/", "").check(t, want, "")
			if _, got := tracker.ColdUntil(time.Now(), router.handler.Registry.Upstreams()[0]); got != test.wantCold {
				t.Errorf("got cold %t, want %t", got, test.wantCold)
			}
			if got := upstream.inner.reports.Load(); got != 1 {
				t.Errorf("got %d requests for a report, want 1", got)
			}
		})
	}
}
