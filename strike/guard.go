package strike

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// maxUnanswered limits the runs without an answer that are remembered, and
	// unansweredLifetime how long.
	maxUnanswered      = 256
	unansweredLifetime = 30 * time.Second
	// withdrawMargin is how long after a crash an upstream has to write its row
	// before the crash is taken back: a write that was sent before the crash may
	// take effect later.
	withdrawMargin = 5 * time.Second
	// verdictDelay is how long after the first of three strikes a request is
	// refused; until then it runs alone. Upstreams that go down together may do so
	// one after the other, with a sound request that comes again in between.
	verdictDelay = 500 * time.Millisecond
	// breakLifetime is how long after it broke off an upstream is assumed to be
	// away, and maxBreaks limits the upstreams of which that is remembered.
	breakLifetime = 3 * time.Second
	maxBreaks     = 1024
)

// Decision is what a Guard concluded about a strike.
type Decision int

// The decisions.
const (
	// Counted means that the strike counts from now on.
	Counted Decision = iota
	// Withdrawn means that the upstream was seen to run on, so that the strike
	// no longer counts.
	Withdrawn
	// Cleared means that the request succeeded.
	Cleared
)

// Event is a decision of a Guard. Strikes is the number of strikes that the
// request has afterwards.
type Event struct {
	Decision Decision
	Strike   Strike
	Strikes  int
}

// Guard keeps the strikes of an entry router, which sees crashes only as
// connections that break. Its zero value is ready to use, and a nil *Guard
// allows everything. It is safe for concurrent use.
type Guard struct {
	// WroteAfter returns a time after which an incarnation of an upstream
	// certainly wrote its row, or zero. With nil no strike is withdrawn.
	WroteAfter func(upstream ident.UpstreamID, incarnation registry.Incarnation) time.Time
	// OnEvent, if set, is called with each decision. It must not call the Guard.
	OnEvent func(event Event)

	// requests is the number of requests that have strikes.
	requests atomic.Int64

	mu         sync.Mutex
	tracker    Tracker
	successes  successes
	unanswered []Strike
	// breaks holds when each incarnation broke off first, until it is seen to run.
	breaks map[incarnationKey]time.Time
	// unsent holds the messages that still have to carry each new strike and
	// each success.
	unsentStrikes   []unsent[Strike]
	unsentSuccesses []unsent[Success]
	unsaved         Unsaved
	// saved holds the strikes that this process wrote to the store or read from
	// it.
	saved map[rowKey]struct{}
}

// incarnationKey identifies one run of an upstream.
type incarnationKey struct {
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
}

// Allowed returns how the request may run at the time now.
func (guard *Guard) Allowed(now time.Time, fingerprint ident.Fingerprint) Allowance {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	allowance := guard.tracker.Allowed(now, fingerprint)
	if allowance == Refused && now.Sub(guard.tracker.refusedSince(fingerprint)) < verdictDelay {
		return Alone
	}
	return allowance
}

// Any reports whether any request has strikes.
func (guard *Guard) Any() bool { return guard != nil && guard.requests.Load() > 0 }

// Designated returns the upstream of the pool on which a request may run alone.
func (guard *Guard) Designated(fingerprint ident.Fingerprint, pool []ident.UpstreamID) ident.UpstreamID {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.tracker.Designated(fingerprint, pool)
}

// RefusedUntil returns when a refused request may run again.
func (guard *Guard) RefusedUntil(now time.Time, fingerprint ident.Fingerprint) time.Time {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.tracker.RefusedUntil(now, fingerprint)
}

// Broken records that the connection to an upstream broke while it may have run
// the request.
func (guard *Guard) Broken(now time.Time, strike Strike) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.wasAway(strike) {
		return
	}
	strike.Own = true
	guard.count(now, strike)
}

// wasAway reports whether the upstream had broken off before the request was
// sent, so that the request did not crash it. If not, it has broken off now. The
// caller holds mu.
func (guard *Guard) wasAway(strike Strike) bool {
	key := incarnationKey{upstream: strike.Upstream, incarnation: strike.Incarnation}
	began, known := guard.breaks[key]
	if known && strike.SentAt.After(began) && strike.SentAt.Sub(began) < breakLifetime {
		return true
	}
	if known && strike.At.Sub(began) < breakLifetime {
		return false
	}
	if guard.breaks == nil || len(guard.breaks) >= maxBreaks {
		guard.breaks = make(map[incarnationKey]time.Time)
	}
	guard.breaks[key] = strike.At
	return false
}

// Unanswered records that an upstream took the request and gave no answer while
// its caller waited. It counts as a strike if Ended follows soon.
func (guard *Guard) Unanswered(strike Strike) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.unanswered) >= maxUnanswered {
		guard.unanswered = guard.unanswered[1:]
	}
	guard.unanswered = append(guard.unanswered, strike)
}

// Ended records that an upstream no longer runs, or no longer answers, as any
// incarnation but the given one; zero means not at all.
func (guard *Guard) Ended(now time.Time, upstream ident.UpstreamID, incarnation registry.Incarnation) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	remaining := guard.unanswered[:0]
	for _, strike := range guard.unanswered {
		switch {
		case strike.Upstream != upstream || strike.Incarnation == incarnation:
			remaining = append(remaining, strike)
		case now.Sub(strike.At) <= unansweredLifetime:
			strike.Own = true
			guard.count(now, strike)
		}
	}
	guard.unanswered = remaining
}

// Succeeded records that an incarnation of an upstream ran the request to a good
// end, which clears its strikes.
func (guard *Guard) Succeeded(now time.Time, fingerprint ident.Fingerprint, upstream ident.UpstreamID, incarnation registry.Incarnation) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.breaks) > 0 {
		delete(guard.breaks, incarnationKey{upstream: upstream, incarnation: incarnation})
	}
	guard.successes.record(now, fingerprint)
	if !guard.tracker.HasStrikes(now, fingerprint) {
		return
	}
	guard.clear(now, Success{Fingerprint: fingerprint, At: now})
	guard.unsentSuccesses = append(guard.unsentSuccesses, unsent[Success]{item: Success{Fingerprint: fingerprint, At: now}, sends: sendsPerStrike})
}

// Apply applies what another router, or the store, says.
func (guard *Guard) Apply(now time.Time, report Report) {
	if guard == nil || len(report.Strikes)+len(report.Successes) == 0 {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	for _, strike := range report.Strikes {
		strike.Own = false
		if report.Saved {
			guard.markSaved(strike)
		}
		guard.wasAway(strike)
		guard.count(now, strike)
	}
	for _, success := range report.Successes {
		guard.clear(now, success)
	}
}

// count adds a strike, unless the request succeeded lately or the upstream runs
// on. The caller holds mu.
func (guard *Guard) count(now time.Time, strike Strike) {
	if guard.successes.within(strike.At, strike.Fingerprint) || guard.ranOn(strike) || !guard.tracker.Add(now, strike) {
		return
	}
	if strike.Own {
		guard.unsentStrikes = append(guard.unsentStrikes, unsent[Strike]{item: strike, sends: sendsPerStrike})
	}
	guard.save(now, strike.Fingerprint)
	guard.report(now, Counted, strike)
}

// clear removes the strikes of a request that succeeded. The caller holds mu.
func (guard *Guard) clear(now time.Time, success Success) {
	before := guard.tracker.Strikes(now, success.Fingerprint)
	guard.tracker.ClearUntil(success.Fingerprint, success.At)
	guard.dropped(now, Cleared, before)
}

// dropped reports strikes that no longer count. The caller holds mu.
func (guard *Guard) dropped(now time.Time, decision Decision, strikes []Strike) {
	for _, strike := range strikes {
		guard.report(now, decision, strike)
	}
}

// report updates the number of requests and calls OnEvent. The caller holds mu.
func (guard *Guard) report(now time.Time, decision Decision, strike Strike) {
	guard.requests.Store(int64(guard.tracker.Len()))
	if guard.OnEvent != nil {
		strikes := guard.tracker.Count(now, strike.Fingerprint)
		guard.OnEvent(Event{Decision: decision, Strike: strike, Strikes: strikes})
	}
}

// ranOn reports whether the incarnation wrote its row some time after it is said
// to have crashed.
func (guard *Guard) ranOn(strike Strike) bool {
	if guard.WroteAfter == nil || strike.Incarnation == 0 {
		return false
	}
	return guard.WroteAfter(strike.Upstream, strike.Incarnation).After(strike.At.Add(withdrawMargin))
}

// Maintain withdraws the strikes of upstreams that run on and removes what is
// too old to count.
func (guard *Guard) Maintain(now time.Time) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.dropped(now, Withdrawn, guard.tracker.Withdraw(guard.ranOn))
	guard.tracker.Expire(now)
	guard.removeStale()
	guard.requests.Store(int64(guard.tracker.Len()))
	remaining := guard.unanswered[:0]
	for _, strike := range guard.unanswered {
		if now.Sub(strike.At) <= unansweredLifetime && !guard.ranOn(strike) {
			remaining = append(remaining, strike)
		}
	}
	guard.unanswered = remaining
}
