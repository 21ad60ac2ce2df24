package strike

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// defaultLifetime bounds how long a strike counts.
	defaultLifetime = time.Hour
	// defaultMaxRequests bounds the requests of which strikes are held.
	defaultMaxRequests = 4096
	// repeatGap separates two crashes of one upstream from two reports of one
	// crash, whose ages differ by the time the reports travelled.
	repeatGap = time.Second
	// aloneAt and neverAt are the numbers of strikes after which a request may
	// run only alone, and never.
	aloneAt = 2
	neverAt = 3
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
	Free Allowance = iota
	Alone
	Never
)

// Tracker holds the recent strikes. The zero value is empty and ready. It is
// not safe for concurrent use.
type Tracker struct {
	// Lifetime bounds how long a strike counts; zero means one hour.
	Lifetime time.Duration
	// MaxRequests bounds the requests of which strikes are held; zero means
	// 4096. The one with the fewest strikes, then the oldest, goes first.
	MaxRequests int

	requests map[ident.Fingerprint]record
	// cleared holds when a success cleared a request, so that older strikes
	// that arrive late stay cleared.
	cleared map[ident.Fingerprint]time.Time
	// latest is the latest time that the tracker was told.
	latest time.Time
}

// Add takes in a strike and reports whether it was new: two reports of one
// upstream within a second tell of the same crash. Only new strikes need to be
// passed on, so a strike stops travelling once every daemon has it.
func (tracker *Tracker) Add(now time.Time, strike Strike) bool {
	tracker.observe(now)
	if strike.At.After(now) {
		strike.At = now
	}
	if tracker.expired(strike.At) || tracker.isCleared(strike) {
		return false
	}
	held, found := tracker.requests[strike.Fingerprint]
	if !found {
		tracker.makeRoom()
		held = make(record)
		tracker.requests[strike.Fingerprint] = held
	}
	return held.add(strike)
}

// Clear drops the strikes of a request that ran to its end. Strikes from before
// the latest time that the tracker was told stay cleared, even where they
// arrive afterwards.
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
	tracker.cleared[fingerprint] = tracker.latest
}

// HasStrikes reports whether any strike of the request counts at the time now.
func (tracker *Tracker) HasStrikes(now time.Time, fingerprint ident.Fingerprint) bool {
	tracker.observe(now)
	return len(tracker.unexpired(fingerprint)) > 0
}

// Allowed returns how the request may run at the time now. The strikes of one
// upstream count each, so that a pool of one or two engines is protected too: a
// request struck a third time ran alone then, so nothing else can be the cause.
func (tracker *Tracker) Allowed(now time.Time, fingerprint ident.Fingerprint) Allowance {
	tracker.observe(now)
	strikes := tracker.unexpired(fingerprint).strikes()
	switch {
	case strikes >= neverAt:
		return Never
	case strikes >= aloneAt:
		return Alone
	}
	return Free
}

// Designated returns which of the pool's upstreams may run a request that may
// only run alone: the same on every daemon with the same pool and strikes, and
// none on which it was struck unless all were. It is empty for an empty pool.
func (tracker *Tracker) Designated(fingerprint ident.Fingerprint, pool []ident.UpstreamID) ident.UpstreamID {
	held := tracker.unexpired(fingerprint)
	var designated candidate
	for _, upstream := range pool {
		_, struck := held[upstream]
		rival := candidate{upstream: upstream, struck: struck, score: score(fingerprint, upstream)}
		if designated.upstream == "" || rival.before(designated) {
			designated = rival
		}
	}
	return designated.upstream
}

// candidate is an upstream of a pool that may be designated.
type candidate struct {
	upstream ident.UpstreamID
	struck   bool
	score    uint64
}

func (c candidate) before(other candidate) bool {
	if c.struck != other.struck {
		return !c.struck
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.upstream < other.upstream
}

// score orders the upstreams for a request by rendezvous hashing.
func score(fingerprint ident.Fingerprint, upstream ident.UpstreamID) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, uint64(fingerprint))
	return xxhash.Sum64(append(key, upstream...))
}

func (tracker *Tracker) observe(now time.Time) {
	if now.After(tracker.latest) {
		tracker.latest = now
	}
}

func (tracker *Tracker) expired(at time.Time) bool {
	lifetime := tracker.Lifetime
	if lifetime == 0 {
		lifetime = defaultLifetime
	}
	return !tracker.latest.Before(at.Add(lifetime))
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

// unexpired drops the expired strikes of a request and returns the others.
func (tracker *Tracker) unexpired(fingerprint ident.Fingerprint) record {
	held := tracker.requests[fingerprint]
	held.drop(tracker.expired)
	if len(held) == 0 {
		delete(tracker.requests, fingerprint)
	}
	return held
}

func (tracker *Tracker) maxRequests() int {
	if tracker.MaxRequests == 0 {
		return defaultMaxRequests
	}
	return tracker.MaxRequests
}

// makeRoom keeps the tracker below its bound. A request struck once is
// most likely an innocent one that ran beside the cause.
func (tracker *Tracker) makeRoom() {
	if tracker.requests == nil {
		tracker.requests = make(map[ident.Fingerprint]record)
	}
	if len(tracker.requests) < tracker.maxRequests() {
		return
	}
	for fingerprint := range tracker.requests {
		tracker.unexpired(fingerprint)
	}
	for len(tracker.requests) >= tracker.maxRequests() {
		tracker.dropLeast()
	}
}

func (tracker *Tracker) dropLeast() {
	var least ident.Fingerprint
	var chosen record
	for fingerprint, held := range tracker.requests {
		if chosen == nil || held.lessThan(chosen) {
			least, chosen = fingerprint, held
		}
	}
	delete(tracker.requests, least)
}
