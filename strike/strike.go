package strike

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// defaultLifetime is how long a strike counts.
	defaultLifetime = time.Hour
	// defaultMaxRequests limits the requests whose strikes are kept.
	defaultMaxRequests = 4096
	// duplicateWindow separates two crashes of an upstream from two reports of
	// one crash, whose ages differ by the time that the reports travelled.
	duplicateWindow = time.Second
	// aloneStrikes is the number of strikes from which a request may run only
	// alone, and neverStrikes the number from which it is refused.
	aloneStrikes = 2
	neverStrikes = 3
)

// Strike records that a request was running when an upstream crashed.
type Strike struct {
	Fingerprint ident.Fingerprint
	Upstream    ident.UpstreamID
	At          time.Time
}

// Allowance says how a request may run.
type Allowance int

// The allowances, from free to refused.
const (
	// Free allows the request to run on any upstream, beside others.
	Free Allowance = iota
	// Alone allows the request to run only on the designated upstream and with
	// no other request beside it.
	Alone
	// Refused refuses the request.
	Refused
)

// Tracker keeps the recent strikes. The zero value is empty and ready to use.
// It is not safe for concurrent use.
type Tracker struct {
	// Lifetime is how long a strike counts; zero means one hour.
	Lifetime time.Duration
	// MaxRequests limits the requests whose strikes are kept; zero means 4096.
	// The request with the fewest strikes is evicted first, and of those the
	// one whose last strike is the oldest.
	MaxRequests int

	requests map[ident.Fingerprint]crashTimes
	// cleared holds the time at which a success cleared a request, so that
	// older strikes that arrive later have no effect.
	cleared map[ident.Fingerprint]time.Time
	// latestTime is the latest time passed to the tracker.
	latestTime time.Time
}

// Add records a strike and reports whether it was new. Two reports of one
// upstream within a second belong to the same crash. Only new strikes have to
// be passed on to other daemons, so forwarding of a strike stops once every
// daemon has it.
func (tracker *Tracker) Add(now time.Time, strike Strike) bool {
	tracker.observe(now)
	if strike.At.After(now) {
		strike.At = now
	}
	if tracker.expired(strike.At) || tracker.isCleared(strike) {
		return false
	}
	crashes, found := tracker.requests[strike.Fingerprint]
	if !found {
		tracker.evictIfFull()
		crashes = make(crashTimes)
		tracker.requests[strike.Fingerprint] = crashes
	}
	return crashes.add(strike)
}

// Clear removes the strikes of a request that succeeded. If it had any, strikes
// up to the latest time passed to the tracker stay cleared, even if they arrive
// later.
func (tracker *Tracker) Clear(fingerprint ident.Fingerprint) {
	if _, found := tracker.requests[fingerprint]; !found {
		return
	}
	delete(tracker.requests, fingerprint)
	if tracker.cleared == nil {
		tracker.cleared = make(map[ident.Fingerprint]time.Time)
	}
	if len(tracker.cleared) >= tracker.maxRequests() {
		clear(tracker.cleared)
	}
	tracker.cleared[fingerprint] = tracker.latestTime
}

// HasStrikes reports whether the request has any unexpired strike at the time
// now.
func (tracker *Tracker) HasStrikes(now time.Time, fingerprint ident.Fingerprint) bool {
	tracker.observe(now)
	return len(tracker.unexpired(fingerprint)) > 0
}

// Allowed returns how the request may run at the time now. Several strikes of
// the same upstream all count, to protect pools of one or two upstreams too: a
// request with a third strike ran alone at that time, so no other request can
// be the cause.
func (tracker *Tracker) Allowed(now time.Time, fingerprint ident.Fingerprint) Allowance {
	tracker.observe(now)
	strikes := tracker.unexpired(fingerprint).strikes()
	switch {
	case strikes >= neverStrikes:
		return Refused
	case strikes >= aloneStrikes:
		return Alone
	}
	return Free
}

// Designated returns the upstream of the pool on which a request may run alone.
// It is the same on every daemon with the same pool and strikes, and has no
// strike of the request unless all upstreams of the pool have one. It is empty
// for an empty pool.
func (tracker *Tracker) Designated(fingerprint ident.Fingerprint, pool []ident.UpstreamID) ident.UpstreamID {
	crashes := tracker.unexpired(fingerprint)
	var best candidate
	for _, upstream := range pool {
		_, struck := crashes[upstream]
		contender := candidate{upstream: upstream, struck: struck, score: rendezvousScore(fingerprint, upstream)}
		if best.upstream == "" || contender.before(best) {
			best = contender
		}
	}
	return best.upstream
}

// candidate is an upstream that may be designated.
type candidate struct {
	upstream ident.UpstreamID
	struck   bool
	score    uint64
}

func (candidate candidate) before(other candidate) bool {
	if candidate.struck != other.struck {
		return !candidate.struck
	}
	if candidate.score != other.score {
		return candidate.score > other.score
	}
	return candidate.upstream < other.upstream
}

// rendezvousScore ranks the upstreams for a request by rendezvous hashing.
func rendezvousScore(fingerprint ident.Fingerprint, upstream ident.UpstreamID) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, uint64(fingerprint))
	return xxhash.Sum64(append(key, upstream...))
}

func (tracker *Tracker) observe(now time.Time) {
	if now.After(tracker.latestTime) {
		tracker.latestTime = now
	}
}

func (tracker *Tracker) expired(at time.Time) bool {
	lifetime := tracker.Lifetime
	if lifetime == 0 {
		lifetime = defaultLifetime
	}
	return !tracker.latestTime.Before(at.Add(lifetime))
}

func (tracker *Tracker) isCleared(strike Strike) bool {
	at, found := tracker.cleared[strike.Fingerprint]
	if !found {
		return false
	}
	if tracker.expired(at) {
		delete(tracker.cleared, strike.Fingerprint)
		return false
	}
	return !strike.At.After(at)
}

// unexpired removes the expired strikes of a request and returns the others.
func (tracker *Tracker) unexpired(fingerprint ident.Fingerprint) crashTimes {
	crashes := tracker.requests[fingerprint]
	crashes.removeIf(tracker.expired)
	if len(crashes) == 0 {
		delete(tracker.requests, fingerprint)
	}
	return crashes
}

func (tracker *Tracker) maxRequests() int {
	if tracker.MaxRequests == 0 {
		return defaultMaxRequests
	}
	return tracker.MaxRequests
}

// evictIfFull makes room for one request. Requests with the fewest strikes are
// evicted first, because a request with one strike most likely only ran beside
// the one that caused the crash.
func (tracker *Tracker) evictIfFull() {
	if tracker.requests == nil {
		tracker.requests = make(map[ident.Fingerprint]crashTimes)
	}
	if len(tracker.requests) < tracker.maxRequests() {
		return
	}
	for fingerprint := range tracker.requests {
		tracker.unexpired(fingerprint)
	}
	for len(tracker.requests) >= tracker.maxRequests() {
		tracker.evictOne()
	}
}

func (tracker *Tracker) evictOne() {
	var evicted ident.Fingerprint
	var fewest crashTimes
	for fingerprint, crashes := range tracker.requests {
		if fewest == nil || crashes.evictBefore(fewest) {
			evicted, fewest = fingerprint, crashes
		}
	}
	delete(tracker.requests, evicted)
}
