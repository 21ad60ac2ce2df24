package forward

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/strike"
)

// connectionBroke reports whether err means that a connection to an upstream
// ended, as it does when the upstream crashes, or a stream in the middle. An answer that
// can't be parsed and a deadline of this router don't count.
func connectionBroke(err error) bool {
	for _, broken := range []error{errBrokenEvent, errNoEvent, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// standing returns how the request may run, by the upstreams that crashed while they ran
// it or parts of its prompt.
func (exchange *exchange) standing() strike.Standing {
	if !exchange.handler.Strikes.Any() {
		return strike.Standing{}
	}
	return exchange.handler.Strikes.Standing(time.Now(), exchange.suspect())
}

// recordRun records what the end of an attempt that was sent says about the
// request: a connection that broke counts as a crash of the upstream, and an
// answer that did not come counts as one if the upstream is down, or soon is.
func (exchange *exchange) recordRun(upstream registry.Upstream, code result.Code) {
	if code.Outcome() == result.NotRun {
		return
	}
	now := time.Now()
	run := exchange.strike(now, upstream)
	left := exchange.callerLeft()
	unanswered := exchange.unanswered || left
	switch {
	case exchange.broke && !left, unanswered && exchange.isDown(now, upstream):
		exchange.handler.Strikes.Broken(now, exchange.suspect(), run)
	case unanswered:
		exchange.handler.Strikes.Unanswered(exchange.suspect(), run)
	}
}

// strike returns a strike of the last attempt, which was sent to upstream, at the time now.
func (exchange *exchange) strike(now time.Time, upstream registry.Upstream) strike.Strike {
	return strike.Strike{
		Upstream:    upstream.ID,
		Incarnation: upstream.Incarnation,
		SentAt:      exchange.sentAt,
		At:          now,
		ConnectedAt: exchange.connectedAt,
		Attempt:     exchange.head.Attempt,
	}
}

// isDown reports whether an upstream is ejected, or no longer listed as the
// incarnation to which the request was sent.
func (exchange *exchange) isDown(now time.Time, upstream registry.Upstream) bool {
	listed, found := exchange.handler.Registry.Upstream(upstream.ID)
	return !found || listed.Incarnation != upstream.Incarnation || exchange.handler.Health.Ejected(now, upstream.ID)
}

// recordSurvival records that an upstream answered the request, whatever the status, and so
// did not crash. An answer that ended with its connection does not prove that.
func (exchange *exchange) recordSurvival(answer *answer) {
	if answer.endsWithConnection() {
		return
	}
	exchange.handler.Strikes.Succeeded(time.Now(), exchange.suspect(), answer.upstream.ID, answer.upstream.Incarnation)
}

// refusalStatus returns the status of a refusal with code. Callers take 429 as
// proof that the request did not run, but not 422.
func refusalStatus(code result.Code) int {
	if code == result.CrashingRequest {
		return http.StatusTooManyRequests
	}
	return code.Status()
}
