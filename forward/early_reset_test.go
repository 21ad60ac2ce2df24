package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/routing"
)

// earlyUpstream answers each request with a text before it has read its body, and then ends the
// connection.
type earlyUpstream struct {
	listener net.Listener
	// answer has a place for the ID of the request.
	answer string
	// readFirst is how much of the body is read before the answer.
	readFirst int64
	wait      time.Duration
	end       func(conn *net.TCPConn)
}

func (earlyUpstream *earlyUpstream) run() {
	for {
		conn, err := earlyUpstream.listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			continue
		}
		_, _ = io.CopyN(io.Discard, request.Body, earlyUpstream.readFirst)
		write(conn, fmt.Sprintf(earlyUpstream.answer, request.Header.Get("Hickoryhead-Attempt-Id")))
		time.Sleep(earlyUpstream.wait)
		earlyUpstream.end(conn.(*net.TCPConn))
	}
}

// startEarly starts a router before an upstream that answers early.
func startEarly(t *testing.T, upstream earlyUpstream) *router {
	t.Helper()
	upstream.listener = listen(t)
	go upstream.run()
	router := startRouter(t, &fakeUpstream{listener: upstream.listener})
	config := testConfig()
	config.Version = 9
	config.Limits.BodyBytes = 16 << 20
	router.handler.Routes.Adopt(routing.New(config))
	return router
}

const (
	earlyUnframed = "HTTP/1.1 %d X\r\nHickoryhead-Attempt-Id: %%s\r\nHickoryhead-Response-Signature: s\r\n%s\r\n%s"
	earlyEvents   = "id: 1\ndata: a\n\n"
	uploadBytes   = 8 << 20
)

// TestEarlyAnswerThatIsReset guards against a part of an answer that a caller gets as whole (MIXED):
// the upstream answers a long upload at once, without a length, and resets the connection while the
// upload is still being written.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	resetEarly := func(conn *net.TCPConn) { reset(conn) }
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
		for _, status := range []int{200, 500} {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
				for _, readFirst := range []int64{0, 100 << 10} {
					name := fmt.Sprintf("%s, %d, after %v, %d bytes read", path, status, wait, readFirst)
					t.Run(name, func(t *testing.T) {
						answer := fmt.Sprintf(earlyUnframed, status, "Content-Type: text/event-stream\r\n", earlyEvents)
						router := startEarly(t, earlyUpstream{answer: answer, readFirst: readFirst, wait: wait, end: resetEarly})
						got := router.send(t, "a1", "POST", path, string(bytes.Repeat([]byte("b"), uploadBytes)))
						if got.err == nil && got.header.Get("Hickoryhead-Response-Signature") != "" {
							t.Errorf("got status %d and body %q as whole, want an answer of the router or a cut one", got.status, got.body)
						}
					})
				}
			}
		}
	}
}

// TestEarlyAnswerThatEndsInOrder guards against a whole answer that is refused because the upload
// was not read to its end.
func TestEarlyAnswerThatEndsInOrder(t *testing.T) {
	closes := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	stopsReading := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(30 * time.Millisecond)
		_ = conn.Close()
	}
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
		for name, end := range map[string]func(conn *net.TCPConn){"reads on": closes, "stops reading": stopsReading} {
			for kind, head := range map[string]string{"unframed": "", "with a length": fmt.Sprintf("Content-Length: %d\r\n", len(earlyEvents))} {
				t.Run(path+", "+name+", "+kind, func(t *testing.T) {
					answer := fmt.Sprintf(earlyUnframed, 200, "Content-Type: text/event-stream\r\n"+head, earlyEvents)
					router := startEarly(t, earlyUpstream{answer: answer, end: end})
					got := router.send(t, "a1", "POST", path, string(bytes.Repeat([]byte("b"), uploadBytes)))
					got.check(t, 200, earlyEvents)
				})
			}
		}
	}
}
