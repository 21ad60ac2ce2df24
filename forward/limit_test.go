package forward_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/quota"
)

// limitedEcho answers as echo does and names a limit.
func limitedEcho(limit string) func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
	return func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		attempt := request.header.Get("Hickoryhead-Attempt-Id")
		body := "answer to " + attempt
		write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nServer-Limit: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, limit, len(body), body))
		return true
	}
}

// TestRequestBeyondLimitsIsRefusedAtOnce guards against requests, and second attempts,
// beyond the limit that each upstream names, and against callers that wait for what
// can't be served.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	const limit = 2
	upstreams := []*fakeUpstream{startUpstream(t, limitedEcho("2.0")), startUpstream(t, limitedEcho("2.0"))}
	router := startRouter(t, upstreams...)
	router.handler.Quota = new(quota.Tracker)
	for n := range 2 {
		router.send(t, fmt.Sprint("first-", n), "POST", "/once/", "").check(t, 200, fmt.Sprint("answer to first-", n))
	}
	refused := 0
	started := time.Now()
	for n := range 50 {
		sent := time.Now()
		got := router.send(t, fmt.Sprint("a", n), "POST", "/again/", "")
		if got.status == 200 {
			continue
		}
		refused++
		retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != 503 || time.Since(sent) > 500*time.Millisecond || err != nil || retryAfter <= 0 || retryAfter > 1.5 {
			t.Errorf("got status %d after %v with Retry-After %q, want 503 at once with at most 1.5 s", got.status, time.Since(sent), got.header.Get("Retry-After"))
		}
		time.Sleep(10 * time.Millisecond)
	}
	most := 4 + int(2*limit*time.Since(started).Seconds())
	if got := runs(upstreams); got > most || refused == 0 {
		t.Errorf("got %d requests at the upstreams and %d refused, want at most %d and some", got, refused, most)
	}
}

// TestInvalidLimitIsIgnored guards against a limit that is no number and that would
// keep an upstream from all requests.
func TestInvalidLimitIsIgnored(t *testing.T) {
	for _, limit := range []string{"", "many", "-1", "NaN", "+Inf"} {
		router := startRouter(t, startUpstream(t, limitedEcho(limit)))
		router.handler.Quota = new(quota.Tracker)
		for n := range 5 {
			router.send(t, fmt.Sprint("a", n), "POST", "/once/", "").check(t, 200, fmt.Sprint("answer to a", n))
		}
	}
}
