package strike

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
	// evictShare is the divisor of MaxRequests that gives how many requests are
	// evicted at once, so that the search for them is rare.
	evictShare = 16
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

	requests map[ident.Fingerprint]crashes
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
	known, found := tracker.requests[strike.Fingerprint]
	if !found {
		tracker.evictIfFull()
		known = make(crashes)
		tracker.requests[strike.Fingerprint] = known
	}
	return known.add(strike)
}

// Clear removes the strikes of a request that succeeded. If it had any, strikes
// up to the latest time passed to the tracker stay cleared, even if they arrive
// later.
func (tracker *Tracker) Clear(fingerprint ident.Fingerprint) {
	tracker.ClearUntil(fingerprint, tracker.latestTime)
}

// ClearUntil removes the strikes up to the time at of a request that succeeded
// then. If it had any, those that arrive later stay cleared, too.
func (tracker *Tracker) ClearUntil(fingerprint ident.Fingerprint, at time.Time) {
	known := tracker.requests[fingerprint]
	if len(known.removeIf(fingerprint, func(strike Strike) bool { return !strike.At.After(at) })) == 0 {
		return
	}
	tracker.dropIfEmpty(fingerprint)
	if tracker.cleared == nil {
		tracker.cleared = make(map[ident.Fingerprint]time.Time)
	}
	if len(tracker.cleared) >= tracker.maxRequests() {
		clear(tracker.cleared)
	}
	tracker.cleared[fingerprint] = at
}

func (tracker *Tracker) dropIfEmpty(fingerprint ident.Fingerprint) {
	if len(tracker.requests[fingerprint]) == 0 {
		delete(tracker.requests, fingerprint)
	}
}

// Withdraw removes the strikes for which withdrawn reports true, and returns
// them.
func (tracker *Tracker) Withdraw(withdrawn func(strike Strike) bool) []Strike {
	var removed []Strike
	for fingerprint, known := range tracker.requests {
		removed = append(removed, known.removeIf(fingerprint, withdrawn)...)
		tracker.dropIfEmpty(fingerprint)
	}
	return removed
}

// Expire removes the strikes that no longer count at the time now, and returns
// them.
func (tracker *Tracker) Expire(now time.Time) []Strike {
	tracker.observe(now)
	return tracker.Withdraw(func(strike Strike) bool { return tracker.expired(strike.At) })
}

// has reports whether the strike of a row is among the strikes that count.
func (tracker *Tracker) has(key rowKey) bool {
	_, found := tracker.crash(key)
	return found
}

// crash returns the crash of the strike of a row, if it is among those that count.
func (tracker *Tracker) crash(key rowKey) (crash, bool) {
	known := tracker.requests[key.fingerprint][key.upstream]
	index := slices.IndexFunc(known, func(crash crash) bool { return crash.incarnation == key.incarnation })
	if index < 0 {
		return crash{}, false
	}
	return known[index], true
}

// Len returns the number of requests that have strikes.
func (tracker *Tracker) Len() int { return len(tracker.requests) }

// Strikes returns the strikes of a request at the time now, the latest first.
func (tracker *Tracker) Strikes(now time.Time, fingerprint ident.Fingerprint) []Strike {
	tracker.observe(now)
	return tracker.unexpired(fingerprint).list(fingerprint)
}

// Count returns the number of strikes of a request that count at the time now.
func (tracker *Tracker) Count(now time.Time, fingerprint ident.Fingerprint) int {
	tracker.observe(now)
	return tracker.unexpired(fingerprint).strikes()
}

// RefusedUntil returns when a refused request may run again, and the zero time
// for one that is not refused.
func (tracker *Tracker) RefusedUntil(now time.Time, fingerprint ident.Fingerprint) time.Time {
	tracker.observe(now)
	since := tracker.refusedSince(fingerprint)
	if since.IsZero() {
		return since
	}
	return since.Add(tracker.lifetime())
}

// refusedSince returns when the first of the last three strikes of a request
// happened, and the zero time if it has fewer.
func (tracker *Tracker) refusedSince(fingerprint ident.Fingerprint) time.Time {
	counted := tracker.unexpired(fingerprint).counted()
	if len(counted) < neverStrikes {
		return time.Time{}
	}
	return counted[len(counted)-neverStrikes].at
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

func (tracker *Tracker) observe(now time.Time) {
	if now.After(tracker.latestTime) {
		tracker.latestTime = now
	}
}

func (tracker *Tracker) lifetime() time.Duration {
	if tracker.Lifetime == 0 {
		return defaultLifetime
	}
	return tracker.Lifetime
}

func (tracker *Tracker) expired(at time.Time) bool {
	return !tracker.latestTime.Before(at.Add(tracker.lifetime()))
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
func (tracker *Tracker) unexpired(fingerprint ident.Fingerprint) crashes {
	known := tracker.requests[fingerprint]
	known.removeIf(fingerprint, func(strike Strike) bool { return tracker.expired(strike.At) })
	tracker.dropIfEmpty(fingerprint)
	return known
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
		tracker.requests = make(map[ident.Fingerprint]crashes)
	}
	if len(tracker.requests) < tracker.maxRequests() {
		return
	}
	tracker.Expire(tracker.latestTime)
	excess := len(tracker.requests) - tracker.maxRequests()
	if excess < 0 {
		return
	}
	candidates := slices.SortedFunc(maps.Keys(tracker.requests), tracker.compareEviction)
	for _, fingerprint := range candidates[:excess+max(tracker.maxRequests()/evictShare, 1)] {
		delete(tracker.requests, fingerprint)
	}
}

// compareEviction orders requests by how soon they are evicted.
func (tracker *Tracker) compareEviction(a, b ident.Fingerprint) int {
	first, second := tracker.requests[a], tracker.requests[b]
	return cmp.Or(
		cmp.Compare(first.strikes(), second.strikes()),
		first.latest().Compare(second.latest()),
		cmp.Compare(a, b),
	)
}
