package overload

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// idleTime is how long requests pass without a decision after one that found less than
	// idleUsage of the pool used. It shrinks to zero at shortUsage.
	idleTime  = 20 * time.Millisecond
	idleUsage = 0.4
	// If a pool has lost more than lostShare of its slots within peakTime, the retries of the
	// requests that ran there are added to its usage. Restarts of single upstreams in a larger
	// pool stay below.
	lostShare = 0.2
	peakTime  = 5 * time.Second
	// evenShare is the part of the free room that routers share evenly; the rest goes by
	// what they have in flight. Without an even part, a router without requests in flight
	// would never get room.
	evenShare = 0.5
	// shareTime is the time constant of the mean of what a router has in flight.
	shareTime = 5 * time.Second
)

// view is what is known of one pool.
type view struct {
	// idleUntil is until when requests pass without a decision.
	idleUntil time.Time
	// peakSlots is the most slots that the pool had lately, at peakAt.
	peakSlots int
	peakAt    time.Time
	// localShare is the mean part of the requests in flight that are this router's, as of
	// sharedAt.
	localShare float64
	sharedAt   time.Time
	// earlier is what the router had in flight before.
	earlier snapshots
	// short is set while the pool is short of room.
	short bool
	// decided and refused count the requests that were decided on, and those refused, also by
	// upstreams.
	decided, refused decayingCount
	// nextReturn is when the next caller that is refused should return.
	nextReturn time.Time
	// seed draws the thresholds of the parts with which requests are sent, since drawnAt.
	seed    uint64
	drawnAt time.Time
}

// skipDecisions lets requests pass for a moment without a decision if the pool is not short of
// room: the more room there is, the longer.
func (view *view) skipDecisions(now time.Time, usage float64) {
	left := min((shortUsage-usage)/(shortUsage-idleUsage), 1)
	view.idleUntil = now.Add(time.Duration(left * float64(idleTime)))
}

// share returns the part of the pool that is this router's: in part an even one, in part by
// what it had in flight lately.
func (view *view) share(now time.Time, pool *Pool, sums sums) float64 {
	current := sums.localShare(pool)
	if view.sharedAt.IsZero() {
		view.localShare = current
	}
	weight := 1 - math.Exp(-float64(now.Sub(view.sharedAt))/float64(shareTime))
	view.localShare += max(weight, 0) * (current - view.localShare)
	view.sharedAt = now
	return evenShare/float64(max(pool.Routers, 1)) + (1-evenShare)*view.localShare
}

// afterLoss returns the usage of the pool after the requests of lost slots are retried at the
// remaining ones, or zero if few slots are lost.
func (view *view) afterLoss(now time.Time, sums sums) float64 {
	if sums.slots >= view.peakSlots || now.Sub(view.peakAt) > peakTime {
		view.peakSlots, view.peakAt = sums.slots, now
	}
	if float64(sums.slots) >= (1-lostShare)*float64(view.peakSlots) {
		return 0
	}
	return sums.usage() * float64(view.peakSlots) / float64(sums.slots)
}

// draw draws the thresholds anew once the other routers know what was sent with the last.
func (view *view) draw(now time.Time, delay time.Duration, random func() float64) {
	if now.Sub(view.drawnAt) >= delay {
		view.drawnAt = now
		view.seed = math.Float64bits(random())
	}
}

// threshold returns the part from which on a request is sent, between zero and one. It differs
// between routers, so that parts below one add up to the room. It is that of the pool for an
// empty ID.
func (view *view) threshold(upstream ident.UpstreamID) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(view.seed)
	// A digest's writes return no error.
	_, _ = digest.WriteString(string(upstream))
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// shortUsage returns the share of a pool that is used from which on it is short of room. It is
// lower while requests are refused: without that, all that are refused now would be sent as soon
// as there is some room, before the routers know of each other's.
func (view *view) shortUsage(now time.Time) float64 {
	if view.refused.get(now, pressureTime) >= 1 {
		return stillShortUsage
	}
	return shortUsage
}

// refusedShare returns the share of the requests decided on lately that were refused.
func (view *view) refusedShare(now time.Time) float64 {
	decided := view.decided.get(now, pressureTime)
	if decided < 1 {
		return 0
	}
	return view.refused.get(now, pressureTime) / decided
}

// retryAfter returns when a refused caller should return: when another request of this router is
// expected to end, after those of the callers refused before it, within the time for which
// callers wait.
func (view *view) retryAfter(now time.Time, service *service, deadline time.Time, random func() float64) time.Duration {
	remaining := max(deadline.Sub(now), 0)
	latest := time.Duration(maxReturnShare * float64(remaining))
	earliest := time.Duration(minReturnShare * float64(remaining))
	after := latest
	if ended := service.flow.since(now, rateTime).ended; ended > 0 {
		previous := now
		if view.nextReturn.After(now) {
			previous = view.nextReturn
		}
		view.nextReturn = previous.Add(rateTime / time.Duration(ended))
		if limit := now.Add(maxReturnAhead); view.nextReturn.After(limit) {
			view.nextReturn = limit
		}
		after = min(max(view.nextReturn.Sub(now), earliest), latest)
	}
	return time.Duration(float64(after) * (1 - returnJitter*random()))
}
