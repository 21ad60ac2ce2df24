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
	// sendsPerStrike is the number of messages to other routers that carry a new
	// strike, and maxRepeated the number of older strikes in a message that
	// repeats them.
	sendsPerStrike = 2
	maxRepeated    = 48
	// repeatTime is how long a strike that this process saw is repeated, even if
	// it is the only one of its request.
	repeatTime = 10 * time.Second
	// maxPerMessage limits the strikes, and the successes, in one message.
	maxPerMessage = 200
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

// Success tells other routers that a request with strikes succeeded.
type Success struct {
	Fingerprint ident.Fingerprint
	At          time.Time
}

// Report is what routers tell each other about strikes. Saved says that the
// strikes are rows of the store.
type Report struct {
	Strikes   []Strike
	Successes []Success
	Saved     bool
}

// Unsaved holds the strikes that have to be written to the store and those that
// have to be removed from it.
type Unsaved struct {
	Write  []Strike
	Remove []Strike
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

// rowKey identifies the row of a strike.
type rowKey struct {
	fingerprint ident.Fingerprint
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
}

func (strike Strike) rowKey() rowKey {
	return rowKey{fingerprint: strike.Fingerprint, upstream: strike.Upstream, incarnation: strike.Incarnation}
}

// unsent is an item that sends further messages have to carry.
type unsent[T any] struct {
	item  T
	sends int
}

// Allowed returns how the request may run at the time now.
func (guard *Guard) Allowed(now time.Time, fingerprint ident.Fingerprint) Allowance {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.tracker.Allowed(now, fingerprint)
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
// its caller waited. It counts as a strike if the upstream ends soon.
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

// Ended records that an upstream no longer runs as any incarnation but the given
// one; zero means not at all.
func (guard *Guard) Ended(now time.Time, upstream ident.UpstreamID, incarnation registry.Incarnation) {
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

// save has the strikes of a request written to the store if it has more than one
// and this process saw one of them. The caller holds mu.
func (guard *Guard) save(now time.Time, fingerprint ident.Fingerprint) {
	strikes := guard.tracker.Strikes(now, fingerprint)
	if guard.tracker.Count(now, fingerprint) < aloneStrikes || !anyOwn(strikes) {
		return
	}
	for _, strike := range strikes {
		if guard.markSaved(strike) {
			guard.unsaved.Write = append(guard.unsaved.Write, strike)
		}
	}
}

// markSaved records that a strike is, or is about to be, a row of the store. It
// reports false if that was recorded before. The caller holds mu.
func (guard *Guard) markSaved(strike Strike) bool {
	if guard.saved == nil {
		guard.saved = make(map[rowKey]struct{})
	}
	if _, found := guard.saved[strike.rowKey()]; found {
		return false
	}
	guard.saved[strike.rowKey()] = struct{}{}
	return true
}

func anyOwn(strikes []Strike) bool {
	for _, strike := range strikes {
		if strike.Own {
			return true
		}
	}
	return false
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

// removeStale has the rows of strikes removed from the store that no longer
// count. The caller holds mu.
func (guard *Guard) removeStale() {
	for key := range guard.saved {
		if !guard.tracker.has(key) {
			delete(guard.saved, key)
			guard.unsaved.Remove = append(guard.unsaved.Remove, Strike{Fingerprint: key.fingerprint, Upstream: key.upstream, Incarnation: key.incarnation})
		}
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

// Pending reports whether there is anything new to tell other routers.
func (guard *Guard) Pending() bool {
	if guard == nil {
		return false
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return len(guard.unsentStrikes)+len(guard.unsentSuccesses) > 0
}

// TakeReport returns what the next message to the other routers has to say. With
// repeat it also holds some of the strikes of requests that have more than one or
// a recent one, which makes up for lost messages.
func (guard *Guard) TakeReport(now time.Time, repeat bool) Report {
	if guard == nil {
		return Report{}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var report Report
	report.Strikes, guard.unsentStrikes = take(guard.unsentStrikes)
	report.Successes, guard.unsentSuccesses = take(guard.unsentSuccesses)
	if repeat {
		report.Strikes = append(report.Strikes, guard.repeated(now)...)
	}
	return report
}

// take returns the first items of queue, at most maxPerMessage, and what is left
// of the queue once they are sent.
func take[T any](queue []unsent[T]) ([]T, []unsent[T]) {
	var items []T
	var rest []unsent[T]
	for i, next := range queue {
		if i >= maxPerMessage {
			rest = append(rest, queue[i:]...)
			break
		}
		items = append(items, next.item)
		if next.sends > 1 {
			rest = append(rest, unsent[T]{item: next.item, sends: next.sends - 1})
		}
	}
	return items, rest
}

// repeated returns some of the strikes that are repeated, other ones each time.
// The caller holds mu.
func (guard *Guard) repeated(now time.Time) []Strike {
	var repeated []Strike
	for fingerprint, known := range guard.tracker.requests {
		if len(repeated) >= maxRepeated {
			break
		}
		if known.strikes() >= aloneStrikes || known.ownSince(now.Add(-repeatTime)) {
			repeated = append(repeated, guard.tracker.Strikes(now, fingerprint)...)
		}
	}
	return repeated
}

// All returns all strikes, for a router that has just started, at most
// maxPerMessage in each report.
func (guard *Guard) All(now time.Time) []Report {
	if guard == nil {
		return nil
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var reports []Report
	var report Report
	for fingerprint := range guard.tracker.requests {
		report.Strikes = append(report.Strikes, guard.tracker.Strikes(now, fingerprint)...)
		if len(report.Strikes) >= maxPerMessage {
			reports = append(reports, report)
			report = Report{}
		}
	}
	if len(report.Strikes) > 0 {
		reports = append(reports, report)
	}
	return reports
}

// TakeUnsaved returns the changes that have to be made in the store. The caller
// passes them to PutBackUnsaved if it can't make them.
func (guard *Guard) TakeUnsaved() Unsaved {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	unsaved := guard.unsaved
	guard.unsaved = Unsaved{}
	return unsaved
}

// PutBackUnsaved takes back changes that could not be made in the store. Beyond
// a bound it drops the oldest removals and then the oldest writes.
func (guard *Guard) PutBackUnsaved(unsaved Unsaved) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.unsaved.Write = newest(append(unsaved.Write, guard.unsaved.Write...))
	guard.unsaved.Remove = newest(append(unsaved.Remove, guard.unsaved.Remove...))
}

// maxUnsaved limits the writes, and the removals, that wait for the store.
const maxUnsaved = 4096

func newest(strikes []Strike) []Strike {
	return strikes[max(len(strikes)-maxUnsaved, 0):]
}
