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
	"github.com/hickoryhead/hickoryhead/wait"
)

// designatedPause is the least time between two designated upstreams of a request: other
// routers say within it whether the request crashed the first.
const designatedPause = 250 * time.Millisecond

const (
	// maxTurnWait is how long a request waits until it may run alone, and
	// turnCheckInterval how often it checks.
	maxTurnWait       = time.Second
	turnCheckInterval = 20 * time.Millisecond
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

// standing returns how the request may run, by the upstreams that crashed while they ran
// it or parts of its prompt.
func (exchange *exchange) standing() strike.Standing {
	if !exchange.handler.Strikes.Any() {
		return strike.Standing{}
	}
	return exchange.handler.Strikes.Standing(time.Now(), exchange.suspect())
}

// hasSpare reports whether half of the upstreams of the service, rounded down, would go on
// serving it if the request crashed one. A service with a single upstream has none to spare, and runs the
// request all the same.
func (exchange *exchange) hasSpare() bool {
	pool := exchange.handler.Registry.Pool(exchange.service)
	if pool == nil || len(pool.Upstreams) <= 1 {
		return true
	}
	now := time.Now()
	serving := 0
	var back time.Time
	for _, upstream := range pool.Upstreams {
		awayUntil := exchange.handler.Strikes.AwayUntil(now, upstream.ID, upstream.Incarnation)
		switch {
		case !awayUntil.IsZero():
			if back.IsZero() || awayUntil.Before(back) {
				back = awayUntil
			}
		case !exchange.handler.Health.Ejected(now, upstream.ID) && !exchange.handler.Strikes.OnTrial(now, upstream.ID):
			serving++
		}
	}
	if serving-1 >= len(pool.Upstreams)/2 {
		return true
	}
	exchange.postponedUntil = back
	return false
}

// awaitTurn returns how the request may run. If that is alone only, it waits until every
// router has heard of the last crash and no other run alone is under way. It returns false if that takes longer than maxTurnWait or than the request
// may wait.
func (exchange *exchange) awaitTurn() (strike.Standing, bool) {
	var giveUpAt time.Time
	for {
		now := time.Now()
		standing := exchange.standing()
		if standing.Allowance != strike.Alone || exchange.runs > 0 {
			return standing, true
		}
		if giveUpAt.IsZero() {
			giveUpAt = now.Add(maxTurnWait)
		}
		notBefore := exchange.aloneNotBefore
		if standing.NotBefore.After(notBefore) {
			notBefore = standing.NotBefore
		}
		if !notBefore.After(now) {
			return standing, true
		}
		if now.After(giveUpAt) || now.After(exchange.deadline) || !wait.Sleep(exchange.request.Context(), min(time.Until(notBefore), turnCheckInterval)) {
			return standing, false
		}
	}
}

// designate chooses the upstream on which a request with several strikes may
// run. It returns false if another one may have run it already for this caller, or if no
// other one would be left to serve.
func (exchange *exchange) designate(pool *registry.Pool) (balance.Choice, bool) {
	if pool == nil || exchange.runs > 0 {
		return balance.Choice{}, false
	}
	if !exchange.hasSpare() {
		exchange.postponed = true
		return balance.Choice{}, false
	}
	now := time.Now()
	var untried, trusted []ident.UpstreamID
	for _, upstream := range exchange.belowLimit(pool.Upstreams) {
		if slices.Contains(exchange.tried, upstream.ID) {
			continue
		}
		untried = append(untried, upstream.ID)
		away := !exchange.handler.Strikes.AwayUntil(now, upstream.ID, upstream.Incarnation).IsZero()
		if !away && !exchange.handler.Health.Ejected(now, upstream.ID) {
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
	// If it can't be reached, the request may just have crashed it at another router.
	exchange.aloneNotBefore = now.Add(designatedPause)
	return balance.Choice{Upstream: pool.Upstreams[index], Reason: balance.Designated}, true
}

// proposeTrial proposes to run the request alone at its chosen upstream, and reports whether
// this router may do so after the other routers had time to object.
func (exchange *exchange) proposeTrial() bool {
	strikes, upstream := exchange.handler.Strikes, exchange.choice.Upstream
	trial, proposed := strikes.ProposeTrial(time.Now(), exchange.suspect(), upstream.ID, upstream.Incarnation)
	if !proposed || !wait.Sleep(exchange.request.Context(), strike.ProposalTime) || !strikes.MayBegin(trial) {
		return false
	}
	exchange.trial = trial
	exchange.handler.Metrics.CountEvent("strike.trial")
	exchange.handler.Logger.Warn("Request runs alone.", "Attempt", exchange.head.Attempt, "Upstream", upstream.ID, "Fingerprint", exchange.fingerprint().String(), "Parts", exchange.partIDs())
	return true
}

// endTrial records that a request that was to run alone has not run.
func (exchange *exchange) endTrial(code result.Code) {
	if exchange.trial.Fingerprint != 0 && code.Outcome() == result.NotRun {
		exchange.handler.Strikes.EndTrial(time.Now(), exchange.trial)
	}
	exchange.trial = strike.Trial{}
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
