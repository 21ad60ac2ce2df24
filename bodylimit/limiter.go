// Package bodylimit bounds the memory and the time that request bodies take at the HTTP
// listeners of the project's own interface.
//
// It guarantees that the bodies of all requests together stay within a memory account, and
// that each keeps a minimum rate. Handlers read them as they are used to: a body for which
// there is no room, or that is too slow, fails with ErrNoRoom or ErrTooSlow.
package bodylimit

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/result"
)

// ErrNoRoom means that the memory for bodies is used up, and ErrTooSlow that a body arrives
// at less than the minimum rate.
var (
	ErrNoRoom  = errors.New("no memory left for the body")
	ErrTooSlow = errors.New("body arrives too slowly")
)

// Refusal returns the code of a request whose body could not be read because of err, or OK if
// err is neither ErrNoRoom nor ErrTooSlow.
func Refusal(err error) result.Code {
	switch {
	case errors.Is(err, ErrNoRoom):
		return result.MemoryFull
	case errors.Is(err, ErrTooSlow):
		return result.BodyTooSlow
	}
	return result.OK
}

const (
	// copies is how often a handler may have a body in memory: while its buffer grows, it
	// has two.
	copies = 2
	// deadlineStep is the least by which the deadline for the next byte is moved.
	deadlineStep = time.Second
)

// Limiter bounds the bodies of the requests to its handlers. The zero value is ready to use.
type Limiter struct {
	Account memory.Account
}

// Handler returns a handler that calls next with a bounded body.
func (limiter *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			next.ServeHTTP(writer, request)
			return
		}
		body := &body{
			ReadCloser: request.Body,
			account:    &limiter.Account,
			answer:     writer.Header(),
			controller: http.NewResponseController(writer),
			startedAt:  time.Now(),
		}
		defer body.account.Release(&body.holding)
		request.Body = body
		next.ServeHTTP(writer, request)
	})
}

// body is the body of one request.
type body struct {
	io.ReadCloser
	account    *memory.Account
	answer     http.Header
	holding    memory.Holding
	controller *http.ResponseController
	startedAt  time.Time
	deadline   time.Time
	read       int64
	watched    bool
	ended      bool
}

// Read reads the next bytes and counts them in the account. After a refusal the connection carries
// no further request: the end of the read may have ended the context of all its requests.
func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.readBounded(buffer)
	if errors.Is(err, ErrNoRoom) || errors.Is(err, ErrTooSlow) {
		body.answer.Set("Connection", "close")
	}
	return count, err
}

func (body *body) readBounded(buffer []byte) (int, error) {
	if body.ended {
		return body.ReadCloser.Read(buffer)
	}
	now := time.Now()
	if !body.watched {
		body.watched = true
		body.account.Watch(now, &body.holding, body.interrupt)
	}
	body.moveDeadline()
	count, err := body.ReadCloser.Read(buffer)
	body.read += int64(count)
	now = time.Now()
	body.account.Progress(now, &body.holding, count)
	if count > 0 && !body.account.Grow(now, &body.holding, copies*int64(count)) {
		return 0, ErrNoRoom
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && body.account.GivenUp(&body.holding):
		return count, ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return count, ErrTooSlow
	case errors.Is(err, io.EOF):
		return count, body.end()
	}
	return count, err
}

// end says that the whole body has been read. It returns ErrNoRoom if it was given up before.
func (body *body) end() error {
	body.ended = true
	if !body.account.Keep(&body.holding) {
		return ErrNoRoom
	}
	// Without a deadline net/http can tell when the caller leaves. A failure means that it
	// has.
	_ = body.controller.SetReadDeadline(time.Time{})
	return io.EOF
}

// moveDeadline sets by when the next byte has to arrive.
func (body *body) moveDeadline() {
	deadline := body.startedAt.Add(memory.BodyTime(body.read))
	if deadline.Sub(body.deadline) < deadlineStep {
		return
	}
	body.deadline = deadline
	// A writer without deadlines, as in a test, leaves the time unbounded.
	_ = body.controller.SetReadDeadline(deadline)
	// The body may have been given up while the deadline was moved.
	if body.account.GivenUp(&body.holding) {
		body.interrupt()
	}
}

// interrupt ends the reading of a body that is given up.
func (body *body) interrupt() { _ = body.controller.SetReadDeadline(time.Unix(1, 0)) }
