package forward

import (
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/strike"
)

// connectionBroke reports whether err means that a connection to an upstream
// ended, as it does when the upstream crashes, or a stream in the middle. An answer that can't be parsed
// and a deadline of this router don't count.
func connectionBroke(err error) bool {
	for _, broken := range []error{errBrokenEvent, errNoEvent, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// allowance returns how the request may run, by the upstreams that crashed while
// they ran it.
func (exchange *exchange) allowance() strike.Allowance {
	if !exchange.handler.Strikes.Any() {
		return strike.Free
	}
	allowance := exchange.handler.Strikes.Allowed(time.Now(), exchange.suspect())
	if allowance == strike.Refused && exchange.retrial && exchange.runs == 0 {
		return strike.Alone
	}
	return allowance
}

// admit reports whether the request may run at all, by the upstreams that crashed
// while they ran it or parts of its prompt.
func (exchange *exchange) admit() bool {
	if !exchange.handler.Strikes.Any() {
		return true
	}
	allowance, retrial := exchange.handler.Strikes.Admit(time.Now(), exchange.suspect())
	if retrial {
		exchange.retrial = true
		exchange.handler.Metrics.CountEvent("strike.retrial")
		exchange.handler.Logger.Warn("Refused request runs once more, alone.", "Attempt", exchange.head.Attempt, "Fingerprint", exchange.fingerprint().String(), "Parts", exchange.partIDs())
	}
	return allowance != strike.Refused
}

// designate chooses the upstream on which a request with several strikes may
// run. It returns false if another one may have run it already for this caller.
func (exchange *exchange) designate(pool *registry.Pool) (balance.Choice, bool) {
	if pool == nil || exchange.runs > 0 {
		return balance.Choice{}, false
	}
	now := time.Now()
	var untried, trusted []ident.UpstreamID
	for _, upstream := range exchange.belowLimit(pool.Upstreams) {
		if slices.Contains(exchange.tried, upstream.ID) {
			continue
		}
		untried = append(untried, upstream.ID)
		if !exchange.handler.Health.Ejected(now, upstream.ID) {
			trusted = append(trusted, upstream.ID)
		}
	}
	if len(trusted) == 0 {
		trusted = untried
	}
	designated := exchange.handler.Strikes.Designated(exchange.suspect(), trusted)
	index := slices.IndexFunc(pool.Upstreams, func(upstream registry.Upstream) bool { return upstream.ID == designated })
	if index < 0 {
		return balance.Choice{}, false
	}
	return balance.Choice{Upstream: pool.Upstreams[index], Reason: balance.Designated}, true
}

// recordRun records what the end of an attempt that was sent says about the
// request: a connection that broke counts as a crash of the upstream, and an
// answer that did not come counts as one if the upstream is down, or soon is.
func (exchange *exchange) recordRun(upstream registry.Upstream, code result.Code) {
	if code.Outcome() == result.NotRun {
		return
	}
	now := time.Now()
	run := strike.Strike{
		Upstream:    upstream.ID,
		Incarnation: upstream.Incarnation,
		SentAt:      exchange.sentAt,
		At:          now,
		ConnectedAt: exchange.connectedAt,
		Attempt:     exchange.head.Attempt,
	}
	left := exchange.callerLeft()
	unanswered := exchange.unanswered || left
	switch {
	case exchange.broke && !left, unanswered && exchange.isDown(now, upstream):
		exchange.handler.Strikes.Broken(now, exchange.suspect(), run)
	case unanswered:
		exchange.handler.Strikes.Unanswered(exchange.suspect(), run)
	}
}

// isDown reports whether an upstream is ejected, or no longer listed as the
// incarnation to which the request was sent.
func (exchange *exchange) isDown(now time.Time, upstream registry.Upstream) bool {
	listed, found := exchange.handler.Registry.Upstream(upstream.ID)
	return !found || listed.Incarnation != upstream.Incarnation || exchange.handler.Health.Ejected(now, upstream.ID)
}

// recordSuccess records that an upstream answered the request with success. An
// answer that ended with its connection does not prove that the upstream runs on.
func (exchange *exchange) recordSuccess(answer *answer) {
	if answer.response.StatusCode >= http.StatusMultipleChoices || answer.endsWithConnection() {
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
