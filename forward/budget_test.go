package forward_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/hickoryhead/hickoryhead/forward"
)

// TestRefusedArrivalsUseTheRetryBudget has every upstream refuse all requests. With
// a budget of one retry, one request gets to another upstream.
func TestRefusedArrivalsUseTheRetryBudget(t *testing.T) {
	refuse := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	}
	upstreams := []*fakeUpstream{startUpstream(t, refuse), startUpstream(t, refuse), startUpstream(t, refuse)}
	router := startRouter(t, upstreams...)
	tuning := forward.Tuning{Chooser: chooserOf(router.handler), RetryShare: 0, RetrySlack: 1}
	router.handler.Tune(tuning)
	const requests = 5
	for n := range requests {
		router.send(t, fmt.Sprint("a", n), "POST", "/once/x", fmt.Sprint(n)).check(t, 503, "")
	}
	if got, want := runs(upstreams), requests+1; got != want {
		t.Errorf("got %d arrivals, want %d: the requests and one retry", got, want)
	}
}

// TestSilentRoutersKeepTheirPartOfTheRetrySlack guards against routers that are cut
// off from each other and each spend the retry slack of all.
func TestSilentRoutersKeepTheirPartOfTheRetrySlack(t *testing.T) {
	reset := func(context.Context, net.Conn, int, receivedRequest) bool { return false }
	upstreams := []*fakeUpstream{startUpstream(t, reset), startUpstream(t, reset)}
	router := startRouter(t, upstreams...)
	router.handler.Strikes = nil
	router.handler.RegisteredRouters = func() int { return 6 }
	router.handler.Tune(forward.Tuning{Chooser: chooserOf(router.handler), RetryShare: 0, RetrySlack: 12})
	const requests = 10
	for n := range requests {
		router.send(t, fmt.Sprint("a", n), "GET", "/again/x", fmt.Sprint(n)).check(t, 502, "")
	}
	if got, want := runs(upstreams), requests+2; got != want {
		t.Errorf("got %d arrivals, want %d: the requests and a sixth of 12 retries", got, want)
	}
}
