package forward_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
)

// crashOn returns answers of an upstream that ends each connection with a request
// whose body is body.
func crashOn(body string) func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
	return func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		if request.body == body {
			return false
		}
		return echo(ctx, conn, n, request)
	}
}

// TestRefusalOfCrashingRequestIsTrue guards against a status that says "not run"
// for a request that has run, and against a refused request that runs.
func TestRefusalOfCrashingRequestIsTrue(t *testing.T) {
	tests := []struct {
		path string
		want []int
	}{
		{"/once/x", []int{502, 502, 502, 429, 429}},
		{"/again/x", []int{502, 502, 429, 429}},
		{"/stream/x", []int{502, 502, 502, 429}},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			var upstreams []*fakeUpstream
			for range 5 {
				upstreams = append(upstreams, startUpstream(t, crashOn("crash")))
			}
			router := startRouter(t, upstreams...)
			for n, want := range test.want {
				before := runs(upstreams)
				got := router.send(t, fmt.Sprint("crash-", n), "POST", test.path, "crash")
				if got.status != want {
					t.Errorf("got status %d for attempt %d, want %d", got.status, n, want)
				}
				ran := runs(upstreams) > before
				if refused := got.status == 429; refused == ran {
					t.Errorf("got status %d for attempt %d that ran: %v, want 429 exactly if it did not", got.status, n, ran)
				}
				if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status == 429 && (err != nil || seconds < 50 || seconds > 60) {
					t.Errorf("got Retry-After %q, want about a minute", got.header.Get("Retry-After"))
				}
			}
			if got, want := runs(upstreams), 3; got != want {
				t.Errorf("got %d upstreams that ran the request, want %d", got, want)
			}
			for n := range 5 {
				attempt := fmt.Sprint("sound-", n)
				router.send(t, attempt, "POST", "/once/x", attempt).check(t, 200, "answer to "+attempt)
			}
		})
	}
}

// runs returns the number of requests that upstreams have received.
func runs(upstreams []*fakeUpstream) int {
	total := 0
	for _, upstream := range upstreams {
		total += len(upstream.requestsSoFar())
	}
	return total
}

// TestMalformedAnswersAreNoCrashes sends one request again and again to an
// upstream whose answers can't be parsed: it still runs.
func TestMalformedAnswersAreNoCrashes(t *testing.T) {
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, _ receivedRequest) bool {
		write(conn, "no answer in the protocol\r\n\r\n")
		return false
	})
	router := startRouter(t, upstream)
	const attempts = 5
	for n := range attempts {
		router.send(t, fmt.Sprint("a", n), "POST", "/once/x", "same").check(t, 502, "")
	}
	if got := len(upstream.requestsSoFar()); got != attempts {
		t.Errorf("got %d requests at the upstream, want %d", got, attempts)
	}
}
