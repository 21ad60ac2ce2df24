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
	// OnUnsaved, if set, is called when there is something to write to the store. It
	// must not call the Guard.
	OnUnsaved func()
	// Router identifies the router among all that run.
	Router string

	// requests is the number of keys that have strikes.
	requests atomic.Int64

	mu      sync.Mutex
	tracker Tracker
	// running holds the keys that were running at each crash, also some whose
	// strikes no longer count.
	running          map[incarnationKey][]ident.Fingerprint
	requestSuccesses successes
	partSuccesses    successes
	unanswered       []run
	// breaks holds when each incarnation broke off.
	breaks map[incarnationKey]breakTimes
	// unsent holds the messages that still have to carry each new strike and
	// each success.
	unsentStrikes   []unsent[Strike]
	unsentSuccesses []unsent[Success]
	unsentTrials    []unsent[Trial]
	// trials holds the last run alone of each key.
	trials  map[ident.Fingerprint]Trial
	unsaved Unsaved
	// saved holds the strikes that this process wrote to the store or read from
	// it.
	saved map[rowKey]struct{}
}

// run is a run of a request that may have crashed its upstream.
type run struct {
	strike  Strike
	request Request
	// waiting is set if the run may still be answered.
	waiting bool
}

// strikes returns a strike for each key of the request.
func (run run) strikes() []Strike {
	var all []Strike
	strike := run.strike
	for _, key := range run.request.own() {
		strike.Fingerprint, strike.Part = key, false
		all = append(all, strike)
	}
	for _, part := range run.request.Parts {
		strike.Fingerprint, strike.Part = part, true
		all = append(all, strike)
	}
	return all
}

// Standing is how a request stands: how it may run, how many crashes its most suspected
// key is blamed for, and the time before which it may not run alone.
type Standing struct {
	Allowance Allowance
	Crashes   int
	NotBefore time.Time
}

// Standing returns how a request stands at the time now.
func (guard *Guard) Standing(now time.Time, request Request) Standing {
	if guard == nil {
		return Standing{}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	verdict := guard.judge(now, request.keys())
	standing := Standing{Allowance: verdict.allowance, Crashes: len(verdict.worst.crashes)}
	if standing.Allowance != Alone {
		return standing
	}
	standing.NotBefore = verdict.worst.lastAt().Add(SettleTime)
	if verdict.worst.part() {
		return standing
	}
	if trial, open := guard.openTrial(now, verdict.worst.key); open {
		// It began after the last crash, and keeps others from running for longer.
		standing.NotBefore = trial.At.Add(trialTime)
	}
	return standing
}

// Any reports whether any request has strikes.
func (guard *Guard) Any() bool { return guard != nil && guard.requests.Load() > 0 }

// Designated returns the upstream of the pool on which a request may run alone. It
// is the same for all requests that share the part that is suspected most.
func (guard *Guard) Designated(request Request, pool []ident.UpstreamID) ident.UpstreamID {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	key := guard.judge(guard.tracker.latestTime, request.keys()).worst.key
	if key == 0 {
		key = request.Fingerprint
	}
	return guard.tracker.Designated(key, pool)
}

// Refusal says why a request is refused: for Key, which is the request's own
// fingerprint or that of a part, until the given time at the soonest.
type Refusal struct {
	Key   ident.Fingerprint
	Until time.Time
}

// Refusal returns why a request is refused, and the zero value for one that is not.
func (guard *Guard) Refusal(now time.Time, request Request) Refusal {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	verdict := guard.judge(now, request.keys())
	if verdict.allowance != Refused {
		return Refusal{}
	}
	return Refusal{Key: verdict.worst.key, Until: verdict.worst.refusedUntil()}
}

// Broken records that the connection to an upstream broke while it may have run
// the request. The strike's key is left out.
func (guard *Guard) Broken(now time.Time, request Request, strike Strike) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.wasAway(strike) {
		return
	}
	if guard.hitSuccessor(strike) {
		strike.Incarnation = strike.Incarnation.Successor()
	}
	guard.recordBreak(strike)
	guard.countOwn(now, run{strike: strike, request: request})
}

// Succeeded records that an incarnation of an upstream ran the request to a good end.
// That clears the strikes of all its keys.
func (guard *Guard) Succeeded(now time.Time, request Request, upstream ident.UpstreamID, incarnation registry.Incarnation) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	key := incarnationKey{upstream: upstream, incarnation: incarnation}
	if times, broke := guard.breaks[key]; broke {
		times.succeededAt = now
		guard.breaks[key] = times
	}
	for _, key := range request.own() {
		guard.requestSuccesses.record(now, key)
		guard.clearOwn(now, key)
	}
	for _, part := range request.Parts {
		guard.partSuccesses.record(now, part)
		guard.clearOwn(now, part)
	}
}

// succeededSince reports whether the key of a strike is known to have succeeded here since
// the crash. The caller holds mu.
func (guard *Guard) succeededSince(strike Strike) bool {
	if strike.Part {
		return guard.partSuccesses.since(strike.At, strike.Fingerprint)
	}
	return guard.requestSuccesses.since(strike.At, strike.Fingerprint)
}

// clearOwn clears a key that succeeded here, and has other routers notified if it had
// strikes. The caller holds mu.
func (guard *Guard) clearOwn(now time.Time, key ident.Fingerprint) {
	if !guard.tracker.HasStrikes(now, key) {
		return
	}
	success := Success{Fingerprint: key, At: now}
	guard.clear(now, success)
	guard.unsentSuccesses = append(guard.unsentSuccesses, unsent[Success]{item: success, sends: sendsPerStrike})
}

// Apply applies what another router, or the store, says. It reports whether any of it
// was new.
func (guard *Guard) Apply(now time.Time, report Report) bool {
	if guard == nil || len(report.Strikes)+len(report.Successes)+len(report.Trials) == 0 {
		return false
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	changed := false
	for _, strike := range report.Strikes {
		strike.Own = false
		if report.Saved {
			guard.markSaved(strike)
		}
		guard.recordBreak(strike)
		changed = guard.count(now, strike) || changed
	}
	for _, success := range report.Successes {
		changed = guard.clear(now, success) || changed
	}
	for _, trial := range report.Trials {
		changed = guard.applyTrial(now, trial) || changed
	}
	return changed
}

// countOwn adds the strikes of a run that this process saw. The caller holds mu.
func (guard *Guard) countOwn(now time.Time, run run) {
	for _, strike := range run.strikes() {
		strike.Own = true
		guard.count(now, strike)
	}
}

// count adds a strike, unless the upstream runs on, and reports whether it was new. The
// caller holds mu.
func (guard *Guard) count(now time.Time, strike Strike) bool {
	if guard.ranOn(strike) || !guard.tracker.Add(now, strike) {
		return false
	}
	guard.recordRunning(strike)
	if strike.Own {
		guard.unsentStrikes = append(guard.unsentStrikes, unsent[Strike]{item: strike, sends: sendsPerStrike})
	}
	guard.report(now, Counted, strike)
	if guard.succeededSince(strike) {
		guard.clearOwn(now, strike.Fingerprint)
		return true
	}
	guard.save(now, strike.Fingerprint)
	return true
}

// clear removes the strikes of a request that succeeded, and reports whether it had any.
// The caller holds mu.
func (guard *Guard) clear(now time.Time, success Success) bool {
	before := guard.tracker.Strikes(now, success.Fingerprint)
	guard.tracker.ClearUntil(success.Fingerprint, success.At)
	guard.dropped(now, Cleared, before)
	return len(before) > 0
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

// Maintain withdraws the strikes of upstreams that run on and removes what is
// too old to count.
func (guard *Guard) Maintain(now time.Time) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.dropped(now, Withdrawn, guard.tracker.Withdraw(guard.ranOn))
	guard.tracker.Expire(now)
	guard.removeStale()
	guard.pruneRunning()
	guard.pruneTrials(now)
	guard.requests.Store(int64(guard.tracker.Len()))
	remaining := guard.unanswered[:0]
	for _, run := range guard.unanswered {
		if now.Sub(run.strike.At) <= unansweredLifetime && !guard.ranOn(run.strike) {
			remaining = append(remaining, run)
		}
	}
	guard.unanswered = remaining
}
