package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/quota"
)

// announce is what an upstream says of itself in an answer.
type announce struct {
	status int
	header string
	// stray sends it in an answer to another request, in front of the right one.
	stray bool
}

// answer answers a request with the announcement.
func (announce announce) answer(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
	attempt := request.header.Get("Hickoryhead-Attempt-Id")
	body := "answer to " + attempt
	headOf := func(attempt string, status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Length: %d\r\n%s\r\n", status, attempt, len(body), extra)
	}
	if announce.stray {
		write(conn, headOf("another", announce.status, announce.header)+body+headOf(attempt, 200, "")+body)
		return true
	}
	extra := announce.header
	if announce.status == http.StatusServiceUnavailable {
		extra += "Hickoryhead-Not-Executed: 1\r\n"
	}
	write(conn, headOf(attempt, announce.status, extra)+body)
	return true
}

// drive sends requests of the same prompt until the announcing upstream, i-0, had one,
// and then count more. It returns how many of those reached it.
func drive(t *testing.T, router *router, announcing *fakeUpstream, count int, between func()) int {
	t.Helper()
	for n := range 60 {
		if len(announcing.requestsSoFar()) > 0 {
			break
		}
		router.send(t, fmt.Sprint("first-", n), "POST", "/again/", "", "Hickoryhead-Prompt-Prefix", fmt.Sprintf("%x:80,%x:20", n, n+1000))
	}
	before := len(announcing.requestsSoFar())
	if before == 0 {
		t.Fatal("got no request at the announcing upstream, want one")
	}
	between()
	for n := range count {
		router.send(t, fmt.Sprint("then-", n), "POST", "/again/", "", "Hickoryhead-Prompt-Prefix", fmt.Sprintf("%x:80,%x:20", n, n+1000))
	}
	return len(announcing.requestsSoFar()) - before
}

// TestNoRequestAfterUpstreamSaidThatItLeaves guards against requests to an upstream that
// has said in an answer that it leaves, whatever its row says, and against one that is
// not used although the word wasn't its own, or was that of an earlier process.
func TestNoRequestAfterUpstreamSaidThatItLeaves(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	rewritten := func(router *router, incarnation int64) func() {
		return func() {
			listed := router.handler.Registry.Upstreams()
			for i := range listed {
				listed[i].Version, listed[i].Leaving = 9, false
			}
			if incarnation > 0 {
				listed[0].Incarnation = 8
			}
			router.handler.Registry.Replace(time.Now(), 9, listed)
		}
	}
	nothing := func(*router) func() { return func() {} }
	readAgain := func(router *router) func() { return rewritten(router, 0) }
	tests := []struct {
		name    string
		said    announce
		between func(router *router) func()
		used    bool
	}{
		{"in an answer", announce{status: 200, header: leaving}, nothing, false},
		{"in a refusal", announce{status: 503, header: leaving}, nothing, false},
		{"in a stray answer", announce{status: 200, header: leaving, stray: true}, nothing, false},
		{"row read again that says ready", announce{status: 200, header: leaving}, readAgain, false},
		{"new process under the same ID", announce{status: 200, header: leaving}, func(router *router) func() { return rewritten(router, 8) }, true},
		{"another value", announce{status: 200, header: "Server-Leaving: 0\r\n"}, nothing, true},
		{"another process at the address", announce{status: 421, header: leaving}, nothing, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			announcing := startUpstream(t, test.said.answer)
			router := startRouter(t, announcing, startUpstream(t, echo))
			got := drive(t, router, announcing, 30, test.between(router))
			if got > 0 != test.used {
				t.Errorf("got %d requests at the upstream afterwards, want some: %t", got, test.used)
			}
		})
	}
}

// TestUpstreamThatAskedForRestGetsNone guards against requests, second attempts included,
// to an upstream that asked this router for rest.
func TestUpstreamThatAskedForRestGetsNone(t *testing.T) {
	date := "Date: Mon, 02 Jan 2006 15:04:05 GMT\r\n"
	tests := []struct {
		name   string
		header string
		rests  bool
	}{
		{"seconds", "Retry-After: 3\r\n", true},
		{"fraction", "Retry-After: 2.5\r\n", true},
		{"date", date + "Retry-After: Mon, 02 Jan 2006 15:04:35 GMT\r\n", true},
		{"date that is past", date + "Retry-After: Mon, 02 Jan 2006 15:04:00 GMT\r\n", false},
		{"without end", "Retry-After: 1e300\r\n", true},
		{"infinite", "Retry-After: inf\r\n", true},
		{"several", "Retry-After: 0\r\nRetry-After: 30\r\n", true},
		{"zero", "Retry-After: 0\r\n", false},
		{"negative", "Retry-After: -3\r\n", false},
		{"no number", "Retry-After: soon\r\n", false},
		{"NaN", "Retry-After: NaN\r\n", false},
		{"none", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resting := startUpstream(t, announce{status: 503, header: test.header}.answer)
			router := startRouter(t, resting, startUpstream(t, echo))
			router.handler.Quota = new(quota.Tracker)
			got := drive(t, router, resting, 30, func() {})
			if got > 0 == test.rests {
				t.Errorf("got %d requests at the upstream afterwards, want none: %t", got, test.rests)
			}
		})
	}
}

// TestRestEnds checks that a rest ends, and that a new process under the same ID has none.
func TestRestEnds(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		resting := startUpstream(t, announce{status: 503, header: "Retry-After: 1.2\r\n"}.answer)
		router := startRouter(t, resting, startUpstream(t, echo))
		router.handler.Quota = new(quota.Tracker)
		got := drive(t, router, resting, 30, func() {
			time.Sleep(300 * time.Millisecond)
			if !restarted {
				return
			}
			all := router.handler.Registry.Upstreams()
			all[0].Incarnation, all[0].Version = 8, 9
			router.handler.Registry.Replace(time.Now(), 9, all)
		})
		if got > 0 != restarted {
			t.Errorf("got %d requests during the rest, want some: %t", got, restarted)
		}
		time.Sleep(1200 * time.Millisecond)
		if got := drive(t, router, resting, 30, func() {}); got == 0 {
			t.Error("got no request after the rest, want some")
		}
	}
}

// TestAllUpstreamsRestingIsRefusedAtOnce guards against callers that wait, or are asked to
// return too early, while no upstream takes requests.
func TestAllUpstreamsRestingIsRefusedAtOnce(t *testing.T) {
	upstreams := []*fakeUpstream{startUpstream(t, announce{status: 503, header: "Retry-After: 3\r\n"}.answer), startUpstream(t, announce{status: 503, header: "Retry-After: 9\r\n"}.answer)}
	router := startRouter(t, upstreams...)
	router.handler.Quota = new(quota.Tracker)
	for n := range 6 {
		router.send(t, fmt.Sprint("first-", n), "POST", "/again/", "")
	}
	before := runs(upstreams)
	sent := time.Now()
	got := router.send(t, "a1", "POST", "/again/", "", "Hickoryhead-Deadline-Ms", strconv.Itoa(int((20 * time.Second).Milliseconds())))
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || time.Since(sent) > time.Second/2 || err != nil || retryAfter < 2 || retryAfter > 5 {
		t.Errorf("got status %d after %v with Retry-After %q, want 503 at once with about 3 s", got.status, time.Since(sent), got.header.Get("Retry-After"))
	}
	if after := runs(upstreams); after != before {
		t.Errorf("got %d requests at resting upstreams, want none", after-before)
	}
}
