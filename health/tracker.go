package health

import (
	"math"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// halfLife is the time in which an outcome loses half of its weight.
	halfLife = 2 * time.Second
	// minFailures is the weight of failures below which nothing is concluded.
	minFailures = 1.8
	// excessShare is how far the share of failures has to lie above that of the
	// other upstreams of the service.
	excessShare = 0.35
	// firstEjection and maxEjection bound the time that an upstream is set
	// aside; each one in a row is twice as long.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// minHoldBack is the least time behind an ejection in which only requests that
	// may be repeated try the upstream, unless one succeeds.
	minHoldBack = time.Second
	// holdAfterBreak is how long after a broken connection the upstream gets no
	// request that may not be repeated: those are lost where more break.
	holdAfterBreak = 500 * time.Millisecond
	// forgiveAfter is the time without a failure after which the next ejection
	// is a first one again.
	forgiveAfter = 8 * time.Second
)

// Outcome is how a request to an upstream ended.
type Outcome int

// The outcomes, from good to bad.
const (
	// Succeeded is a whole answer that is no server error, or a refusal.
	Succeeded Outcome = iota
	// ServerError is a whole answer that says that the upstream failed.
	ServerError
	// NoResponse is a request without the first byte of an answer in time.
	NoResponse
	// Broken is an answer that ended early, or was none.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
)

// weight returns how much of a failure the outcome is.
func (outcome Outcome) weight() float64 {
	switch outcome {
	case Succeeded:
		return 0
	case ServerError:
		return 0.6
	}
	return 1
}

// String returns the name of the outcome.
func (outcome Outcome) String() string {
	return [...]string{"succeeded", "server error", "silent", "broken", "unreachable"}[outcome]
}

// counts holds outcomes whose weight decays.
type counts struct {
	total  float64
	failed float64
	at     time.Time
}

func (c *counts) decay(now time.Time) {
	if age := now.Sub(c.at); age > 0 && !c.at.IsZero() {
		factor := math.Exp2(-float64(age) / float64(halfLife))
		c.total *= factor
		c.failed *= factor
	}
	c.at = now
}

func (c *counts) add(now time.Time, total, failed float64) {
	c.decay(now)
	c.total += total
	c.failed += failed
}

// record is what is known of one upstream.
type record struct {
	counts
	ejectedUntil time.Time
	// heldBackUntil is when requests that may not be repeated are sent there
	// again; a success ends it earlier.
	heldBackUntil time.Time
	lastFailure   time.Time
	ejections     int
	// untold is what other routers were not told yet.
	untold Tally
}

// Tally is what came of requests to an upstream.
type Tally struct {
	//lint:ignore U1000 msgpack reads its tag: a tally is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Upstream ident.UpstreamID
	// Total counts the requests, and Failed those that failed, by their weight.
	Total  float64
	Failed float64
	// Broken counts the connections that broke.
	Broken int
}

// tallyOf returns the tally of one request.
func tallyOf(upstream ident.UpstreamID, outcome Outcome) Tally {
	tally := Tally{Upstream: upstream, Total: 1, Failed: outcome.weight()}
	if outcome == Broken || outcome == Unreachable {
		tally.Broken = 1
	}
	return tally
}

// add adds what other routers are to be told.
func (tally *Tally) add(more Tally) {
	tally.Total += more.Total
	tally.Failed += more.Failed
	tally.Broken += more.Broken
}

// Tracker holds the outcomes of all upstreams. The zero value trusts each one.
// It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*record
	services  map[ident.ServiceName]*counts
	// alarm says that a connection broke which other routers were not told of.
	alarm bool
}

// Add takes in an outcome and reports whether it set the upstream aside.
func (tracker *Tracker) Add(now time.Time, service ident.ServiceName, upstream ident.UpstreamID, outcome Outcome) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	held, all := tracker.records(service, upstream)
	tally := tallyOf(upstream, outcome)
	held.untold.add(tally)
	tracker.alarm = tracker.alarm || tally.Broken > 0
	return held.take(now, all, tally, outcome == Unreachable)
}

// ApplyRemote takes in what came of the requests of another router whose
// connections are like this one's, and reports whether that set the upstream
// aside.
func (tracker *Tracker) ApplyRemote(now time.Time, service ident.ServiceName, tally Tally) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	held, all := tracker.records(service, tally.Upstream)
	return held.take(now, all, tally, false)
}

// TakePending returns what other routers were not told yet: of the upstreams
// that failed a request, or of all.
func (tracker *Tracker) TakePending(all bool) []Tally {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.alarm = false
	var news []Tally
	for upstream, held := range tracker.upstreams {
		if held.untold.Failed == 0 && (!all || held.untold.Total == 0) {
			continue
		}
		held.untold.Upstream = upstream
		news = append(news, held.untold)
		held.untold = Tally{}
	}
	return news
}

// BreakPending reports whether other routers had better be told at once.
func (tracker *Tracker) BreakPending() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.alarm
}

// records returns what is known of an upstream and its service. The caller
// holds mu.
func (tracker *Tracker) records(service ident.ServiceName, upstream ident.UpstreamID) (*record, *counts) {
	if tracker.upstreams == nil {
		tracker.upstreams = make(map[ident.UpstreamID]*record)
		tracker.services = make(map[ident.ServiceName]*counts)
	}
	held := tracker.upstreams[upstream]
	if held == nil {
		held = new(record)
		tracker.upstreams[upstream] = held
	}
	all := tracker.services[service]
	if all == nil {
		all = new(counts)
		tracker.services[service] = all
	}
	return held, all
}

// take takes in a tally and reports whether it set the upstream aside. One that
// can't be reached is set aside at once.
func (held *record) take(now time.Time, all *counts, tally Tally, unreachable bool) bool {
	held.add(now, tally.Total, tally.Failed)
	all.add(now, tally.Total, tally.Failed)
	if tally.Failed == 0 {
		if !now.Before(held.ejectedUntil) {
			held.heldBackUntil = time.Time{}
		}
		return false
	}
	if until := now.Add(holdAfterBreak); tally.Broken > 0 && until.After(held.heldBackUntil) {
		held.heldBackUntil = until
	}
	if !unreachable && !held.exceeds(all) || now.Before(held.ejectedUntil) {
		held.lastFailure = now
		return false
	}
	held.eject(now)
	return true
}

// exceeds reports whether the failures are worse than those of the others.
func (held *record) exceeds(all *counts) bool {
	if held.failed < minFailures {
		return false
	}
	othersTotal := all.total - held.total
	others := 0.0
	if othersTotal > 0 {
		others = max(all.failed-held.failed, 0) / othersTotal
	}
	return held.failed/held.total > others+excessShare
}

func (held *record) eject(now time.Time) {
	if now.Sub(held.lastFailure) > forgiveAfter {
		held.ejections = 0
	}
	length := min(firstEjection<<min(held.ejections, 8), maxEjection)
	held.ejections++
	held.lastFailure = now
	held.ejectedUntil = now.Add(length)
	held.heldBackUntil = held.ejectedUntil.Add(max(length, minHoldBack))
}

// Ejected reports whether the upstream is set aside.
func (tracker *Tracker) Ejected(now time.Time, upstream ident.UpstreamID) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	held := tracker.upstreams[upstream]
	return held != nil && now.Before(held.ejectedUntil)
}

// OnProbation reports whether the upstream, though it is tried again, gets no
// request that may not be repeated.
func (tracker *Tracker) OnProbation(now time.Time, upstream ident.UpstreamID) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	held := tracker.upstreams[upstream]
	return held != nil && now.Before(held.heldBackUntil)
}

// Forget drops what is known of an upstream, as when it starts anew or is gone.
func (tracker *Tracker) Forget(upstream ident.UpstreamID) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.upstreams, upstream)
}
