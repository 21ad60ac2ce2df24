package forward

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// maxTurnWait is how long a request waits until it may run alone, and
	// turnCheckInterval how often it checks.
	maxTurnWait       = time.Second
	turnCheckInterval = 20 * time.Millisecond
)

// hasSpare reports whether half of the upstreams of the service, rounded down, would
// continue to serve if the request crashed one. A service with a single upstream runs the
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
		if !awayUntil.IsZero() && (back.IsZero() || awayUntil.Before(back)) {
			back = awayUntil
		}
		if exchange.handler.mayRunAlone(now, upstream) {
			serving++
		}
	}
	if serving-1 >= len(pool.Upstreams)/2 {
		return true
	}
	exchange.postponedUntil = back
	return false
}

// mayRunAlone reports whether an upstream is assumed to serve and no request runs alone there.
func (handler *Handler) mayRunAlone(now time.Time, upstream registry.Upstream) bool {
	return handler.aloneExclusion(now, upstream) == ""
}

// aloneExclusion returns why no request may run alone at an upstream, or an empty string if one
// may.
func (handler *Handler) aloneExclusion(now time.Time, upstream registry.Upstream) string {
	switch {
	case !handler.Strikes.AwayUntil(now, upstream.ID, upstream.Incarnation).IsZero():
		return "strikes: its connections broke recently"
	case handler.Health.Ejected(now, upstream.ID):
		return "ejected"
	case handler.Strikes.OnTrial(now, upstream.ID):
		return "strikes: another request is running alone there"
	}
	return ""
}

// awaitTurn returns how the request may run. If that is alone only, it waits until every
// router has received the last crash and no other run alone is under way. It returns false
// if that takes longer than maxTurnWait, or than the request may wait.
func (exchange *exchange) awaitTurn() (strike.Standing, bool) {
	for {
		now := time.Now()
		standing := exchange.standing()
		if standing.Allowance != strike.Alone || exchange.runs > 0 {
			return standing, true
		}
		if exchange.turnDeadline.IsZero() {
			exchange.turnDeadline = earlier(now.Add(maxTurnWait), exchange.deadline)
		}
		notBefore := later(standing.NotBefore, exchange.aloneNotBefore)
		if !notBefore.After(now) {
			return standing, true
		}
		if now.After(exchange.turnDeadline) || !wait.Sleep(exchange.request.Context(), min(notBefore.Sub(now), turnCheckInterval)) {
			return standing, false
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
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
		if exchange.handler.mayRunAlone(now, upstream) {
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
	exchange.aloneNotBefore = now.Add(strike.SettleTime)
	return balance.Choice{Upstream: pool.Upstreams[index], Reason: balance.Designated}, true
}

// proposeTrial proposes to run the request alone at its chosen upstream, and reports whether
// this router may do so after the other routers had time to object.
func (exchange *exchange) proposeTrial() bool {
	strikes, upstream := exchange.handler.Strikes, exchange.choice.Upstream
	trial, proposed := strikes.ProposeTrial(time.Now(), exchange.suspect(), upstream.ID, upstream.Incarnation)
	if !proposed {
		return false
	}
	exchange.trial = trial
	if trial.Fingerprint != 0 && !wait.Sleep(exchange.request.Context(), strike.ProposalTime) {
		exchange.cancelTrial()
		return false
	}
	if !strikes.MayBegin(time.Now(), trial) {
		exchange.cancelTrial()
		return false
	}
	exchange.handler.Metrics.CountEvent("strike.trial")
	exchange.handler.Logger.Warn("Request runs alone.", "Attempt", exchange.head.Attempt, "Upstream", upstream.ID, "Fingerprint", exchange.fingerprint().String(), "Parts", exchange.partIDs())
	return true
}

// cancelTrial lets other runs alone of the request begin.
func (exchange *exchange) cancelTrial() {
	if exchange.trial.Fingerprint != 0 {
		exchange.handler.Strikes.EndTrial(time.Now(), exchange.trial)
	}
}

// endTrial records that a run alone has ended with code, unless its upstream may still be
// at work on it. A crash ends it by itself.
func (exchange *exchange) endTrial(code result.Code) {
	if code == result.OK || exchange.unanswered || exchange.callerLeft() {
		return
	}
	exchange.cancelTrial()
	exchange.trial = strike.Trial{}
}
