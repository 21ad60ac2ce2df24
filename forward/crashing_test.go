package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
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
				time.Sleep(300 * time.Millisecond)
				before := runs(upstreams)
				got := router.send(t, fmt.Sprint("crash-", n), "POST", test.path, "crash")
				if got.status != want {
					t.Errorf("got status %d for attempt %d, want %d", got.status, n, want)
				}
				ran := runs(upstreams) > before
				if refused := got.status == 429; refused == ran {
					t.Errorf("got status %d for attempt %d that ran: %v, want 429 exactly if it did not", got.status, n, ran)
				}
				if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status == 429 && (err != nil || seconds < 25 || seconds > 31) {
					t.Errorf("got Retry-After %q, want about half a minute", got.header.Get("Retry-After"))
				}
			}
			if got, want := runs(upstreams), 3; got != want {
				t.Errorf("got %d upstreams that ran the request, want %d: %q", got, want, attemptsAt(upstreams))
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

// attemptsAt returns the attempts of the requests that upstreams have received, each with
// the upstream that it was meant for.
func attemptsAt(upstreams []*fakeUpstream) []string {
	var attempts []string
	for _, upstream := range upstreams {
		for _, request := range upstream.requestsSoFar() {
			attempts = append(attempts, request.header.Get("Hickoryhead-Attempt-Id")+" for "+request.header.Get("Hickoryhead-Expect-Instance"))
		}
	}
	return attempts
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

// TestCallerThatBreaksOffIsNoCrash guards against strikes, and the refusal of a
// sound request, because its caller breaks off while the answer is written.
func TestCallerThatBreaksOffIsNoCrash(t *testing.T) {
	const attempts = 5
	endless := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		head := fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))
		if request.target == "/once/x" {
			head = fmt.Sprintf("HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", request.header.Get("Hickoryhead-Attempt-Id"))
		}
		_, err := io.WriteString(conn, head)
		block := []byte(strings.Repeat(chunk("data: a\n\n"), 1000))
		for err == nil {
			_, err = conn.Write(block)
		}
		return false
	}
	for _, path := range []string{"/stream/x", "/once/x"} {
		var upstreams []*fakeUpstream
		for range 5 {
			upstreams = append(upstreams, startUpstream(t, endless))
		}
		router := startRouter(t, upstreams...)
		for n := range attempts {
			conn, err := net.Dial("tcp", router.address)
			if err != nil {
				t.Fatal(err)
			}
			write(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a%d\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n\r\nsame", path, n))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got %v and error %v for attempt %d to %s, want an answer that begins", response, err, n, path)
			}
			reset(conn)
			for end := time.Now().Add(5 * time.Second); runs(upstreams) <= n && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if router.handler.Strikes.Any() {
			t.Errorf("got strikes for a caller that breaks off at %s, want none", path)
		}
	}
}

// TestSilentUpstreamIsAStrike guards against a request that ends upstreams without
// a word: it is known before the rows of these are gone.
func TestSilentUpstreamIsAStrike(t *testing.T) {
	silent := func(ctx context.Context, _ net.Conn, _ int, _ receivedRequest) bool {
		<-ctx.Done()
		return false
	}
	router := startRouter(t, startUpstream(t, silent))
	var calls sync.WaitGroup
	for n := range 3 {
		calls.Go(func() {
			router.send(t, fmt.Sprint("a", n), "POST", "/once/x", fmt.Sprint(n), "Hickoryhead-Deadline-Ms", "700").check(t, 504, "")
		})
	}
	calls.Wait()
	if !router.handler.Strikes.Any() {
		t.Error("got no strike of requests at an upstream that fell silent, want one each")
	}
}
