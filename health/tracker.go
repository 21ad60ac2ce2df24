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
	// Silent is a request without the first byte of an answer in time.
	Silent
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

func (c *counts) add(now time.Time, failed float64) {
	c.decay(now)
	c.total++
	c.failed += failed
}

// record is what is known of one upstream.
type record struct {
	counts
	ejectedUntil time.Time
	lastFailure  time.Time
	ejections    int
}

// Tracker holds the outcomes of all upstreams. The zero value trusts each one.
// It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*record
	services  map[ident.ServiceName]*counts
}

// Add takes in an outcome and reports whether it set the upstream aside.
func (tracker *Tracker) Add(now time.Time, service ident.ServiceName, upstream ident.UpstreamID, outcome Outcome) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
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
	failed := outcome.weight()
	held.add(now, failed)
	all.add(now, failed)
	if failed == 0 {
		return false
	}
	if outcome != Unreachable && !held.exceeds(all) || now.Before(held.ejectedUntil) {
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
}

// Ejected reports whether the upstream is set aside.
func (tracker *Tracker) Ejected(now time.Time, upstream ident.UpstreamID) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	held := tracker.upstreams[upstream]
	return held != nil && now.Before(held.ejectedUntil)
}

// Forget drops what is known of an upstream, as when it starts anew or is gone.
func (tracker *Tracker) Forget(upstream ident.UpstreamID) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.upstreams, upstream)
}
