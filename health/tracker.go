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
	// minFailureWeight is the decayed weight of failures below which an upstream
	// is not compared with the others.
	minFailureWeight = 1.8
	// minExcessFailureRate is how far the failure rate of an upstream has to
	// exceed that of the other upstreams of its service for an ejection.
	minExcessFailureRate = 0.35
	// firstEjection and maxEjection bound the length of an ejection. Each
	// consecutive ejection is twice as long as the one before.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// minProbation is the minimum length of the probation after an ejection. A
	// success ends the probation earlier.
	minProbation = time.Second
	// probationAfterBreak is the length of the probation after a broken
	// connection: more may break, and requests that are not retryable would be
	// lost with them.
	probationAfterBreak = 500 * time.Millisecond
	// ejectionResetAfter is the time without a failure after which the next
	// ejection is as short as a first one.
	ejectionResetAfter = 8 * time.Second
)

// Outcome is how a request to an upstream ended.
type Outcome int

// The outcomes, from good to bad.
const (
	// Succeeded is a complete answer without a server error, or a refusal to take
	// the request.
	Succeeded Outcome = iota
	// ServerError is a complete answer with a server error.
	ServerError
	// NoResponse means that the first byte of an answer did not arrive in time.
	NoResponse
	// Broken is a truncated or malformed answer, or a connection that ended
	// without one.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
)

// weight returns how much the outcome counts as a failure, from 0 to 1.
func (outcome Outcome) weight() float64 {
	switch outcome {
	case Succeeded:
		return 0
	case ServerError:
		return 0.6
	}
	return 1
}

// String returns the name of the outcome, as logged.
func (outcome Outcome) String() string {
	return [...]string{"succeeded", "server error", "silent", "broken", "unreachable"}[outcome]
}

// decayingCounts counts requests and failures with weights that decay by
// halfLife.
type decayingCounts struct {
	total  float64
	failed float64
	// at is the time up to which the counts have decayed.
	at time.Time
}

func (counts *decayingCounts) decay(now time.Time) {
	if age := now.Sub(counts.at); age > 0 && !counts.at.IsZero() {
		factor := math.Exp2(-float64(age) / float64(halfLife))
		counts.total *= factor
		counts.failed *= factor
	}
	counts.at = now
}

func (counts *decayingCounts) add(now time.Time, total, failed float64) {
	counts.decay(now)
	counts.total += total
	counts.failed += failed
}

// record is the state of one upstream.
type record struct {
	decayingCounts
	ejectedUntil time.Time
	// probationUntil is the end of the probation; a success ends it earlier.
	probationUntil time.Time
	lastFailure    time.Time
	// ejections counts the consecutive ejections.
	ejections int
	// pending is the tally that was not sent to other routers yet.
	pending Tally
}

// Tally sums up the outcomes of requests to an upstream.
type Tally struct {
	//lint:ignore U1000 msgpack reads its tag: a tally is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Upstream ident.UpstreamID
	// Total counts the requests, and Failed the failures by their weight.
	Total  float64
	Failed float64
	// Broken counts the connections that broke or could not be opened.
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

func (tally *Tally) add(other Tally) {
	tally.Total += other.Total
	tally.Failed += other.Failed
	tally.Broken += other.Broken
}

// Tracker tracks the outcomes of all upstreams. The zero value is ready for use
// and takes each upstream for healthy. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*record
	services  map[ident.ServiceName]*decayingCounts
	// breakPending is set if a pending tally has a broken connection.
	breakPending bool
}

// Add records the outcome of a request of this router and reports whether it
// ejected the upstream.
func (tracker *Tracker) Add(now time.Time, service ident.ServiceName, upstream ident.UpstreamID, outcome Outcome) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	record, all := tracker.records(service, upstream)
	tally := tallyOf(upstream, outcome)
	record.pending.add(tally)
	tracker.breakPending = tracker.breakPending || tally.Broken > 0
	return record.apply(now, all, tally, outcome == Unreachable)
}

// ApplyRemote records a tally of another router and reports whether it ejected
// the upstream. The other router has to be in the same availability zone: an
// upstream may fail for the callers of one zone only.
func (tracker *Tracker) ApplyRemote(now time.Time, service ident.ServiceName, tally Tally) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	record, all := tracker.records(service, tally.Upstream)
	return record.apply(now, all, tally, false)
}

// TakePending removes and returns the tallies that were not sent to other
// routers yet: those of all upstreams, or only those with failures.
func (tracker *Tracker) TakePending(all bool) []Tally {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.breakPending = false
	var tallies []Tally
	for upstream, record := range tracker.upstreams {
		if record.pending.Failed == 0 && (!all || record.pending.Total == 0) {
			continue
		}
		record.pending.Upstream = upstream
		tallies = append(tallies, record.pending)
		record.pending = Tally{}
	}
	return tallies
}

// BreakPending reports whether a broken connection was recorded since the last
// TakePending. Other routers should be notified of it without delay.
func (tracker *Tracker) BreakPending() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.breakPending
}

// records returns the record of an upstream and the counts of its service, and
// creates them if necessary. The caller holds mu.
func (tracker *Tracker) records(service ident.ServiceName, upstream ident.UpstreamID) (*record, *decayingCounts) {
	if tracker.upstreams == nil {
		tracker.upstreams = make(map[ident.UpstreamID]*record)
		tracker.services = make(map[ident.ServiceName]*decayingCounts)
	}
	found := tracker.upstreams[upstream]
	if found == nil {
		found = new(record)
		tracker.upstreams[upstream] = found
	}
	all := tracker.services[service]
	if all == nil {
		all = new(decayingCounts)
		tracker.services[service] = all
	}
	return found, all
}

// apply adds a tally to the record and to all, the counts of the service, and
// reports whether the tally ejected the upstream. An unreachable upstream is
// ejected without a comparison with the others.
func (record *record) apply(now time.Time, all *decayingCounts, tally Tally, unreachable bool) bool {
	record.add(now, tally.Total, tally.Failed)
	all.add(now, tally.Total, tally.Failed)
	if tally.Failed == 0 {
		if !now.Before(record.ejectedUntil) {
			record.probationUntil = time.Time{}
		}
		return false
	}
	if until := now.Add(probationAfterBreak); tally.Broken > 0 && until.After(record.probationUntil) {
		record.probationUntil = until
	}
	if !unreachable && !record.worseThanOthers(all) || now.Before(record.ejectedUntil) {
		record.lastFailure = now
		return false
	}
	record.eject(now)
	return true
}

// worseThanOthers reports whether the failure rate exceeds that of the other
// upstreams of the service by more than minExcessFailureRate.
func (record *record) worseThanOthers(all *decayingCounts) bool {
	if record.failed < minFailureWeight {
		return false
	}
	othersTotal := all.total - record.total
	othersRate := 0.0
	if othersTotal > 0 {
		othersRate = max(all.failed-record.failed, 0) / othersTotal
	}
	return record.failed/record.total > othersRate+minExcessFailureRate
}

func (record *record) eject(now time.Time) {
	if now.Sub(record.lastFailure) > ejectionResetAfter {
		record.ejections = 0
	}
	length := min(firstEjection<<min(record.ejections, 8), maxEjection)
	record.ejections++
	record.lastFailure = now
	record.ejectedUntil = now.Add(length)
	record.probationUntil = record.ejectedUntil.Add(max(length, minProbation))
}

// Ejected reports whether the upstream is ejected.
func (tracker *Tracker) Ejected(now time.Time, upstream ident.UpstreamID) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	record := tracker.upstreams[upstream]
	return record != nil && now.Before(record.ejectedUntil)
}

// OnProbation reports whether the upstream is ejected or on probation, so that
// it should get no request that is not retryable.
func (tracker *Tracker) OnProbation(now time.Time, upstream ident.UpstreamID) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	record := tracker.upstreams[upstream]
	return record != nil && now.Before(record.probationUntil)
}

// Forget drops the record of an upstream that has restarted or was removed.
func (tracker *Tracker) Forget(upstream ident.UpstreamID) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.upstreams, upstream)
}
