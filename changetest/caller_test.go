package changetest_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// callerTimeout is the time of a caller for one request.
	callerTimeout = 8 * time.Second
	// shortPause is the longest pause that is short against an idle timeout.
	shortPause = 100 * time.Millisecond
	// maxBodyBytes is the length of the longest bodies.
	maxBodyBytes = 8 << 10
	redialPause  = 50 * time.Millisecond
)

// callerGroup is what callers share.
type callerGroup struct {
	router   *router
	recorder recorder
	// idleTimeout is that of the configuration, in nanoseconds.
	idleTimeout atomic.Int64
	stopped     atomic.Bool
}

// caller sends requests on one connection at a time, which it keeps.
type caller struct {
	group  *callerGroup
	number int
	random *rand.Rand
	conn   *conn
	sent   int
}

// run sends requests until the group is stopped or the router has ended.
func (caller *caller) run() {
	defer caller.disconnect()
	for !caller.group.stopped.Load() && !caller.group.router.hasEnded() {
		time.Sleep(caller.pause())
		if !caller.connect() {
			time.Sleep(redialPause)
			continue
		}
		caller.sent++
		request := newRequest(caller.random, fmt.Sprintf("%d-%d", caller.number, caller.sent))
		outcome, loss := caller.send(request)
		if outcome != answered && outcome != refused {
			caller.disconnect()
		}
		caller.group.recorder.record(outcome, loss)
	}
}

// pause returns the time to the next request: none, a short one, or one around the idle timeout.
func (caller *caller) pause() time.Duration {
	idleTimeout := caller.group.idleTimeout.Load()
	switch caller.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return time.Duration(caller.random.Int64N(int64(shortPause)))
	default:
		return time.Duration(idleTimeout*3/4 + caller.random.Int64N(idleTimeout))
	}
}

// connect opens a connection unless there is one that the router has not closed.
func (caller *caller) connect() bool {
	if caller.conn != nil && caller.conn.isOpen() {
		return true
	}
	if caller.conn != nil {
		caller.group.recorder.recordClosed()
	}
	caller.disconnect()
	var err error
	caller.conn, err = dial(caller.group.router.addresses.Callers)
	if err != nil {
		caller.conn = nil
	}
	return err == nil
}

func (caller *caller) disconnect() {
	if caller.conn != nil {
		caller.conn.Close()
		caller.conn = nil
	}
}

// send sends a request and reads its answer. It returns how that ended, and describes a loss.
func (caller *caller) send(request *request) (outcome, string) {
	deadline := time.Now().Add(callerTimeout)
	if err := caller.conn.SetDeadline(deadline); err != nil {
		return crossed, ""
	}
	writeErr := caller.write(request)
	wroteAt := time.Now()
	response, err := http.ReadResponse(caller.conn.reader, &http.Request{Method: request.method})
	if err != nil {
		return caller.classify(request, wroteAt, writeErr, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return expired, ""
	case err != nil:
		return lost, fmt.Sprintf("%s: status %d, and its body ended early: %v", request, response.StatusCode, err)
	case response.StatusCode == http.StatusOK && string(body) != request.wantBody:
		return lost, fmt.Sprintf("%s: got the body %q, want %q", request, body, request.wantBody)
	}
	if response.Close || writeErr != nil {
		caller.disconnect()
	}
	if response.StatusCode == http.StatusOK {
		return answered, ""
	}
	return refused, ""
}

// write writes a request in its pieces.
func (caller *caller) write(request *request) error {
	for number, piece := range request.pieces {
		if number > 0 {
			time.Sleep(request.pieceGap)
		}
		if _, err := io.WriteString(caller.conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// classify returns the outcome of a request without the head of an answer, and describes a loss.
func (caller *caller) classify(request *request, wroteAt time.Time, writeErr, readErr error) (outcome, string) {
	waited := time.Since(wroteAt).Round(time.Millisecond)
	switch {
	case errors.Is(readErr, os.ErrDeadlineExceeded):
		return expired, ""
	case caller.group.router.hasReachedUpstream(request.id):
		return lost, fmt.Sprintf("%s: %v after %v, though it has reached an upstream", request, readErr, waited)
	case writeErr != nil:
		return crossed, ""
	}
	wasReadWhole, err := caller.conn.wasReadWhole()
	if err != nil {
		return lost, fmt.Sprintf("%s: %v after %v, and %v", request, readErr, waited, err)
	}
	if wasReadWhole {
		return lost, fmt.Sprintf("%s: %v after %v, though the router has read it whole", request, readErr, waited)
	}
	return crossed, ""
}

// request is a request with its bytes.
type request struct {
	id, method, path string
	// pieces are its bytes, which are written with a gap between them.
	pieces   []string
	pieceGap time.Duration
	// wantBody is the body of a successful answer.
	wantBody string
}

// String names the request in messages.
func (request *request) String() string {
	return fmt.Sprintf("request %s, %s %s in %d pieces", request.id, request.method, request.path, len(request.pieces))
}

// newRequest returns a random request: without a body, with one of known length, or in chunks.
func newRequest(random *rand.Rand, id string) *request {
	prefixes := []string{"/idempotent/", "/once/", "/stream/", "/other/"}
	request := &request{id: id, method: http.MethodPost, path: prefixes[random.IntN(len(prefixes))] + "x", pieceGap: time.Duration(random.Int64N(int64(shortPause)))}
	body := strings.Repeat("b", 1+random.IntN(maxBodyBytes))
	var framing, framed string
	switch random.IntN(3) {
	case 0:
		request.method, body = http.MethodGet, ""
	case 1:
		framing, framed = fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	case 2:
		half := len(body) / 2
		framing, framed = "Transfer-Encoding: chunked\r\n", chunk(body[:half])+chunk(body[half:])+"0\r\n\r\n"
	}
	key := firstKey
	if random.IntN(3) == 0 {
		key = otherKey
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n%s",
		request.method, request.path, host, id, callerTimeout.Milliseconds(), key, framing, framed)
	request.pieces = []string{text}
	if random.IntN(3) == 0 {
		cut := 1 + random.IntN(len(text)-1)
		request.pieces = []string{text[:cut], text[cut:]}
	}
	request.wantBody = answer(id, len(body))
	if strings.HasPrefix(request.path, "/stream/") {
		request.wantBody = ""
		for number := range events {
			request.wantBody += event(number, id)
		}
	}
	return request
}

// chunk returns data as a chunk of a body, and nothing for no data, which would end the body.
func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}
