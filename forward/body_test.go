package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/routing"
)

const largeBodyBytes = 1 << 20

// startLargeBodyRouter starts a router with requests of up to largeBodyBytes, and an account
// for one and a half of them.
func startLargeBodyRouter(t *testing.T, upstreams ...*fakeUpstream) *router {
	t.Helper()
	router := startUnconfiguredRouter(t, upstreams...)
	router.handler.Memory.Limit = 9 * largeBodyBytes / 4
	config := testConfig()
	config.Limits.BodyBytes = ident.Bytes(largeBodyBytes)
	for i := range config.Routes {
		config.Routes[i].Timeout = 20_000
	}
	router.handler.Routes.Adopt(routing.New(config))
	return router
}

// rawCaller is a caller that sends the bytes of a request as it likes.
type rawCaller struct {
	t    *testing.T
	conn net.Conn
}

func (router *router) dial(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &rawCaller{t: t, conn: conn}
}

// begin sends the head of a request, with the header line about its body.
func (rawCaller *rawCaller) begin(attempt, framing string) {
	rawCaller.t.Helper()
	rawCaller.send([]byte("POST /once/x HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: " + attempt + "\r\nHickoryhead-Deadline-Ms: 20000\r\nAuthorization: Token key-1\r\n" + framing + "\r\n\r\n"))
}

func (rawCaller *rawCaller) send(data []byte) {
	rawCaller.t.Helper()
	if _, err := rawCaller.conn.Write(data); err != nil {
		rawCaller.t.Errorf("sending: %v", err)
	}
}

// check fails the test unless the answer has status. A refusal with 503 must name when to
// return, and the connection must end in order.
func (rawCaller *rawCaller) check(status int) {
	rawCaller.t.Helper()
	if err := rawCaller.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		rawCaller.t.Fatal(err)
	}
	reader := bufio.NewReader(rawCaller.conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		rawCaller.t.Errorf("got error %v, want status %d", err, status)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != status {
		rawCaller.t.Errorf("got status %d and error %v, want %d", response.StatusCode, err, status)
	}
	if status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		rawCaller.t.Error("got a refusal without Retry-After, want one with it")
	}
	if status == http.StatusOK {
		return
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		rawCaller.t.Errorf("got %v after the answer, want the end of the connection", err)
	}
}

// TestBodyIsForwardedWhole guards against bytes that are lost or doubled where the parts of a
// body meet.
func TestBodyIsForwardedWhole(t *testing.T) {
	for _, length := range []int{1, 2047, 2048, 2049, 4096, 8000, 8192, 8193, 100_000, largeBodyBytes - 1, largeBodyBytes} {
		for _, framing := range []string{"announced", "chunked"} {
			t.Run(fmt.Sprint(length, " ", framing), func(t *testing.T) {
				upstream := startUpstream(t, echo)
				router := startLargeBodyRouter(t, upstream)
				body := make([]byte, length)
				for i := range body {
					body[i] = byte('a' + i%23)
				}
				var reader io.Reader = bytes.NewReader(body)
				if framing == "chunked" {
					reader = struct{ io.Reader }{reader}
				}
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+router.address+"/once/x", reader)
				if err != nil {
					t.Fatal(err)
				}
				request.Host = "a.example"
				request.Header.Set("Hickoryhead-Attempt-Id", "a1")
				request.Header.Set("Authorization", "Token key-1")
				response, err := router.client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
				received := upstream.requestsSoFar()
				if response.StatusCode != http.StatusOK || len(received) != 1 || received[0].body != string(body) {
					t.Errorf("got status %d and %d requests, want 200 and the body as it was sent", response.StatusCode, len(received))
				}
				router.awaitNothingHeld(t)
			})
		}
	}
}

// awaitNothingHeld fails the test unless the router soon holds nothing.
func (router *router) awaitNothingHeld(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); router.handler.Memory.Held() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := router.handler.Memory.Held(); got != 0 {
		t.Errorf("got %d bytes held after the last request, want none", got)
	}
}

// TestRefusalReachesCallerThatSends guards against a connection that is reset while its
// caller still sends, so that it never gets the answer.
func TestRefusalReachesCallerThatSends(t *testing.T) {
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", 4*largeBodyBytes), "Transfer-Encoding: chunked"} {
		upstream := startUpstream(t, echo)
		router := startLargeBodyRouter(t, upstream)
		caller := router.dial(t)
		caller.begin("a1", framing)
		piece := bytes.Repeat([]byte("x"), 64<<10)
		if strings.HasPrefix(framing, "Transfer") {
			piece = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
		}
		for range 4 * largeBodyBytes / (64 << 10) {
			caller.send(piece)
		}
		caller.check(http.StatusRequestEntityTooLarge)
		if got := len(upstream.requestsSoFar()); got != 0 {
			t.Errorf("got %d requests at the upstream, want none", got)
		}
		router.awaitNothingHeld(t)
	}
}

// awaitStalledBody waits until most of a large body is held, and then until it counts as slow.
func (router *router) awaitStalledBody(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); router.handler.Memory.Held() < largeBodyBytes*9/10; {
		if time.Now().After(end) {
			t.Fatal("got no body that is held, want one")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// TestStalledBodyGivesWay guards against a body that stops short of its end and keeps out
// others, and against one that is forwarded although it was given up: its caller was told
// that it did not run.
func TestStalledBodyGivesWay(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startLargeBodyRouter(t, upstream)
	stalled := router.dial(t)
	stalled.begin("stalled", fmt.Sprintf("Content-Length: %d", largeBodyBytes))
	stalled.send(bytes.Repeat([]byte("x"), largeBodyBytes-1))
	router.awaitStalledBody(t)
	whole := router.dial(t)
	whole.begin("whole", fmt.Sprintf("Content-Length: %d", largeBodyBytes))
	whole.send(bytes.Repeat([]byte("y"), largeBodyBytes))
	whole.check(http.StatusOK)
	stalled.check(http.StatusServiceUnavailable)
	if got := upstream.requestsSoFar(); len(got) != 1 || got[0].header.Get("Hickoryhead-Attempt-Id") != "whole" {
		t.Errorf("got %d requests at the upstream, want the whole one only", len(got))
	}
	router.awaitNothingHeld(t)
}

// TestFinishedBodiesStay guards against finished bodies that are given up while they run, and
// checks that a new large one is refused and an ordinary one served.
func TestFinishedBodiesStay(t *testing.T) {
	release := make(chan struct{})
	upstream := startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		<-release
		return echo(ctx, conn, n, request)
	})
	router := startLargeBodyRouter(t, upstream)
	running := router.dial(t)
	running.begin("running", fmt.Sprintf("Content-Length: %d", largeBodyBytes))
	running.send(bytes.Repeat([]byte("x"), largeBodyBytes))
	for end := time.Now().Add(5 * time.Second); len(upstream.requestsSoFar()) == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	late := router.dial(t)
	late.begin("late", fmt.Sprintf("Content-Length: %d", largeBodyBytes))
	late.send(bytes.Repeat([]byte("x"), largeBodyBytes))
	late.check(http.StatusServiceUnavailable)
	ordinary := router.dial(t)
	ordinary.begin("ordinary", fmt.Sprintf("Content-Length: %d", 72<<10))
	ordinary.send(bytes.Repeat([]byte("x"), 72<<10))
	for end := time.Now().Add(5 * time.Second); len(upstream.requestsSoFar()) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	close(release)
	running.check(http.StatusOK)
	ordinary.check(http.StatusOK)
	router.awaitNothingHeld(t)
	if got := len(upstream.requestsSoFar()); got != 2 {
		t.Errorf("got %d requests at the upstream, want 2", got)
	}
}

// TestAnnouncedLengthTakesNoMemory guards against buffers that are as large as the length that
// a caller announces.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	router := startLargeBodyRouter(t, startUpstream(t, echo))
	for range 20 {
		router.dial(t).begin("a1", fmt.Sprintf("Content-Length: %d", largeBodyBytes))
	}
	time.Sleep(100 * time.Millisecond)
	if got := router.handler.Memory.Held(); got > 20*memory.MaxSmallBytes/10 {
		t.Errorf("got %d bytes held for announced bodies, want hardly any", got)
	}
}

// TestOrdinaryBodiesTakeLittleMore guards against parts that leave much of them unfilled, so that
// an ordinary request in chunks takes nearly twice its size.
func TestOrdinaryBodiesTakeLittleMore(t *testing.T) {
	const length = 72 << 10
	begun, end := make(chan struct{}), make(chan struct{})
	upstream := startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		close(begun)
		<-end
		return echo(ctx, conn, n, request)
	})
	router := startLargeBodyRouter(t, upstream)
	caller := router.dial(t)
	caller.begin("a1", "Transfer-Encoding: chunked")
	caller.send([]byte(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length, bytes.Repeat([]byte("x"), length))))
	<-begun
	if got := router.handler.Memory.Held(); got > length+length/4 {
		t.Errorf("got %d bytes held for a body of %d, want at most a quarter more", got, length)
	}
	close(end)
	caller.check(http.StatusOK)
	router.awaitNothingHeld(t)
}
