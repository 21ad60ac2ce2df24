package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// minPerSecond is the least rate at which an upstream gets requests, whatever it
	// names, all routers together: only its answers tell when the limit is gone.
	minPerSecond = 0.2
	// usedShare is the share of a limit that is used: routers that come and go disagree
	// for a moment on who shares it.
	usedShare = 0.9
	// extraRouters is by how many routers the sharing ones may exceed the requests
	// that a limit allows in a second. Each of them may have saved up one request.
	extraRouters = 3
	// unlistedLifetime is how long the limit of an upstream without a row is kept.
	unlistedLifetime = time.Minute
	// costJitter is by how much what a request takes from a router's share varies, so
	// that routers which sent at once don't do so again.
	costJitter = 0.2
	// burstTime is the time in which a router's share of a high limit fills up.
	burstTime = 250 * time.Millisecond
)

// Limit is what was seen of the limit of one incarnation of an upstream.
type Limit struct {
	Upstream    ident.UpstreamID
	Incarnation registry.Incarnation
	// PerSecond is the number of requests a second that the upstream takes from all
	// routers together. Lifted says instead that it named no limit any more.
	PerSecond float64
	Lifted    bool
	// SeenAt is when the answer that says so came.
	SeenAt time.Time
}

// key identifies one run of an upstream.
type key struct {
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
}

func keyOf(upstream registry.Upstream) key {
	return key{upstream: upstream.ID, incarnation: upstream.Incarnation}
}

// bucket is a limit and this router's part of it.
type bucket struct {
	Limit
	// share is the number of requests a second that this router may send, and tokens
	// how many it may send at the time filledAt.
	share    float64
	tokens   float64
	filledAt time.Time
	// sends is how many more messages to other routers carry the limit.
	sends int
}

// Tracker keeps the limits of all upstreams. Its zero value is ready to use for a
// router without others, and a nil *Tracker limits nothing. It is safe for concurrent
// use.
type Tracker struct {
	// ColdRule returns how upstreams of a service are cold, and OnCold is called with each
	// change of that. Both are set before use, and must not call the tracker. With a nil
	// ColdRule no upstream is ever cold.
	ColdRule func(service ident.ServiceName) ColdRule
	OnCold   func(now time.Time, cold Cold)

	mu sync.Mutex
	// self is the address of this router, and routers the sorted addresses of all
	// routers that share limits.
	self    string
	routers []string
	buckets map[key]*bucket
	// restUntil holds until when incarnations of upstreams want no request from this
	// router.
	restUntil map[key]time.Time
	// fleet shares the rates of cold upstreams. colds holds which are, contacts the last
	// requests to upstreams that may become cold, and rows the reads of their rows.
	fleet    coldFleet
	colds    map[key]*coldState
	contacts map[ident.UpstreamID]*contact
	rows     map[ident.UpstreamID]readRow
	// listed are the upstreams of the last call of Retain, with their services, and coldCount
	// is the number of colds.
	listed    map[key]ident.ServiceName
	coldCount atomic.Int64
}

// SetRouters sets the address of this router and of all routers that are known to
// run, which share limits.
func (tracker *Tracker) SetRouters(now time.Time, self string, routers []string) {
	sorted := slices.Compact(slices.Sorted(slices.Values(append(routers, self))))
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.self == self && slices.Equal(tracker.routers, sorted) {
		return
	}
	tracker.self, tracker.routers = self, sorted
	for _, bucket := range tracker.buckets {
		tracker.divide(now, bucket)
	}
}

// Observe records what an answer of an upstream says about its limit, nil for
// nothing. sentAt is when the request was sent. It reports whether the limit changed.
func (tracker *Tracker) Observe(now time.Time, upstream ident.UpstreamID, incarnation registry.Incarnation, perSecond *float64, sentAt time.Time) bool {
	if tracker == nil {
		return false
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known := tracker.buckets[key{upstream: upstream, incarnation: incarnation}]
	limit := Limit{Upstream: upstream, Incarnation: incarnation, SeenAt: now, Lifted: perSecond == nil}
	switch {
	case perSecond != nil:
		limit.PerSecond = *perSecond
	case known == nil || known.Lifted || !sentAt.After(known.SeenAt):
		// An answer to a request that was sent before the limit was named says
		// nothing about it.
		return false
	}
	return tracker.apply(now, limit)
}

// Apply records what other routers have seen.
func (tracker *Tracker) Apply(now time.Time, limits []Limit) {
	if tracker == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, limit := range limits {
		tracker.apply(now, limit)
	}
}

// apply records a limit unless a later one is known, and reports whether it changed.
// The caller holds mu.
func (tracker *Tracker) apply(now time.Time, limit Limit) bool {
	if limit.SeenAt.After(now) {
		limit.SeenAt = now
	}
	identity := key{upstream: limit.Upstream, incarnation: limit.Incarnation}
	known := tracker.buckets[identity]
	if known != nil && !limit.SeenAt.After(known.SeenAt) {
		return false
	}
	if known == nil {
		if tracker.buckets == nil {
			tracker.buckets = make(map[key]*bucket)
		}
		known = &bucket{filledAt: now, Limit: Limit{Lifted: true}}
		tracker.buckets[identity] = known
	}
	starts := known.Lifted && !limit.Lifted
	changed := known.Lifted != limit.Lifted || known.PerSecond != limit.PerSecond
	known.fill(now)
	known.Limit = limit
	if changed {
		known.sends = sendsPerChange
		tracker.divide(now, known)
	}
	if starts {
		known.tokens = tracker.firstTokens(known)
	}
	return changed
}

// firstTokens returns how much of a request this router has saved up when a limit is
// first known: the routers that share it take turns. The caller holds mu.
func (tracker *Tracker) firstTokens(bucket *bucket) float64 {
	if bucket.share == 0 {
		return 0
	}
	return float64(tracker.rank(bucket.Upstream)) / float64(tracker.sharing(bucket))
}

// sharing returns how many routers share a limit. The caller holds mu.
func (tracker *Tracker) sharing(bucket *bucket) int {
	whole := int(math.Min(bucket.rate(), math.MaxInt32))
	return max(min(len(tracker.routers), whole+extraRouters), 1)
}

// rate returns the number of requests a second that all routers together may send.
func (bucket *bucket) rate() float64 { return max(bucket.PerSecond, minPerSecond) }

// divide sets this router's share of a limit. A share that grows starts with what was
// saved up before. The caller holds mu.
func (tracker *Tracker) divide(now time.Time, bucket *bucket) {
	bucket.fill(now)
	bucket.share = 0
	if sharing := tracker.sharing(bucket); tracker.rank(bucket.Upstream) < sharing {
		bucket.share = usedShare * bucket.rate() / float64(sharing)
	}
	bucket.tokens = min(bucket.tokens, bucket.size())
}

// rank returns how many routers come before this one in the rendezvous order of an
// upstream. The caller holds mu.
func (tracker *Tracker) rank(upstream ident.UpstreamID) int {
	return rankOf(upstream, tracker.self, tracker.routers)
}

// rankOf returns how many of the routers come before self in the rendezvous order of an
// upstream.
func rankOf(upstream ident.UpstreamID, self string, routers []string) int {
	own := score(upstream, self)
	before := 0
	for _, router := range routers {
		if other := score(upstream, router); other > own || other == own && router < self {
			before++
		}
	}
	return before
}

func score(upstream ident.UpstreamID, router string) uint64 {
	return xxhash.Sum64String(string(upstream) + "/" + router)
}

// size returns how many requests the router may save up: one, or what its share is in
// burstTime. A router without a share has none.
func (bucket *bucket) size() float64 {
	if bucket.share == 0 {
		return 0
	}
	return max(bucket.share*burstTime.Seconds(), 1)
}

// fill adds the tokens of the time since the last call.
func (bucket *bucket) fill(now time.Time) {
	if elapsed := now.Sub(bucket.filledAt); elapsed > 0 {
		bucket.tokens = min(bucket.tokens+bucket.share*elapsed.Seconds(), bucket.size())
		bucket.filledAt = now
	}
}

// limiting returns the bucket of an upstream that names a limit, filled up to now, or
// nil. The caller holds mu.
func (tracker *Tracker) limiting(now time.Time, upstream registry.Upstream) *bucket {
	found := tracker.buckets[keyOf(upstream)]
	if found == nil || found.Lifted {
		return nil
	}
	found.fill(now)
	return found
}

// State is how an upstream stands to its limit.
type State int

// The states.
const (
	// Unlimited means that the upstream names no limit and is not cold.
	Unlimited State = iota
	// Below means that the limit leaves this router a request now.
	Below
	// Reached means that it leaves none.
	Reached
	// BelowColdRate and ColdRateReached mean the same of the rate of an upstream that is cold
	// and names no limit.
	BelowColdRate
	ColdRateReached
)

// LeavesNone reports whether this router may send the upstream no request now.
func (state State) LeavesNone() bool { return state == Reached || state == ColdRateReached }

// State returns how the upstream stands to its limit, or to the rate of a cold upstream, at
// the time now. One that rests has reached it.
func (tracker *Tracker) State(now time.Time, upstream registry.Upstream) State {
	if tracker == nil {
		return Unlimited
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.restsUntil(now, upstream).IsZero() {
		return Reached
	}
	bucket, cold := tracker.limiting(now, upstream), tracker.cold(now, upstream)
	switch {
	case bucket == nil && cold == nil:
		return Unlimited
	case bucket != nil && (bucket.tokens < 1 || cold != nil && !cold.allows(now)):
		return Reached
	case bucket != nil:
		return Below
	case !cold.allows(now):
		return ColdRateReached
	}
	return BelowColdRate
}

// Take counts a request to the upstream and reports whether its limit, and its rate while it
// is cold, allow it, and whether it does not rest.
func (tracker *Tracker) Take(now time.Time, upstream registry.Upstream) bool {
	if tracker == nil {
		return true
	}
	_, mayBeCold := tracker.coldRule(upstream.Service)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.restsUntil(now, upstream).IsZero() {
		return false
	}
	bucket, cold := tracker.limiting(now, upstream), tracker.cold(now, upstream)
	if bucket != nil && bucket.tokens < 1 || cold != nil && !cold.allows(now) {
		return false
	}
	if bucket != nil {
		bucket.tokens -= 1 - costJitter + 2*costJitter*rand.Float64()
	}
	if cold != nil {
		cold.take(now)
	}
	if mayBeCold {
		tracker.contact(upstream).sentAt = now
	}
	return true
}

// NextAt returns when an upstream that has reached its limit, or rests, takes the next
// request from this router, or, if it has no share, from another one. It returns the zero
// time for any other upstream.
func (tracker *Tracker) NextAt(now time.Time, upstream registry.Upstream) time.Time {
	if tracker == nil {
		return time.Time{}
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	next := tracker.restsUntil(now, upstream)
	if cold := tracker.cold(now, upstream); cold != nil && !cold.allows(now) {
		next = later(next, cold.nextAt(now))
	}
	bucket := tracker.limiting(now, upstream)
	if bucket == nil || bucket.tokens >= 1 {
		return next
	}
	rate, missing := bucket.share, 1-bucket.tokens
	if rate == 0 {
		rate, missing = usedShare*bucket.rate(), 1
	}
	return later(next, now.Add(time.Duration(missing/rate*float64(time.Second))))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Retain forgets the limits of incarnations that are not listed and were not reported
// for a while: a row may be missing for a moment.
func (tracker *Tracker) Retain(now time.Time, listed []registry.Upstream) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.endRests(now)
	if len(tracker.buckets)+len(tracker.colds)+len(tracker.contacts)+len(tracker.rows) == 0 {
		return
	}
	present := make(map[key]ident.ServiceName, len(listed))
	for _, upstream := range listed {
		present[keyOf(upstream)] = upstream.Service
	}
	tracker.listed = present
	tracker.retainColds(now, present)
	for identity, bucket := range tracker.buckets {
		if _, found := present[identity]; !found && now.Sub(bucket.SeenAt) > unlistedLifetime {
			delete(tracker.buckets, identity)
		}
	}
}

// byUpstream orders limits for messages.
func byUpstream(a, b Limit) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}
