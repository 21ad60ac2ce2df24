package overload

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// idleTime is how long requests pass without a decision after one that found less than
	// idleUsage of the pool used.
	idleTime  = 20 * time.Millisecond
	idleUsage = 0.4
	// A pool may be about to be short that has lost lostShare of the slots that it had within
	// peakTime: what was in flight there comes to the rest.
	lostShare = 0.2
	peakTime  = 5 * time.Second
	// evenShare is the part of the room that routers share evenly; the rest goes by what they
	// have in flight, over shareTime: callers are spread unevenly.
	evenShare = 0.5
	shareTime = 5 * time.Second
	// drainShare is the share of its prefill rate that an engine may spend on prompts whose
	// shared parts are not cached while the pool is short, and idleDrainShare what an idle
	// one may spend in addition. The rest is for the requests whose parts are cached.
	drainShare     = 0.12
	idleDrainShare = 0.4
)

// view is what a router knows of its part of one pool.
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
	// seed draws the least parts with which requests are sent, since drawnAt.
	seed    uint64
	drawnAt time.Time
}

// passIdle lets requests pass for a moment without a decision if the pool is nearly idle.
func (view *view) passIdle(now time.Time, usage float64) {
	if usage < idleUsage {
		view.idleUntil = now.Add(idleTime)
	}
}

// afterLoss returns which share of the pool will be used once what was in flight at slots that
// are gone has come to the rest, or zero if few are gone.
func (view *view) afterLoss(now time.Time, sums sums) float64 {
	if sums.slots >= view.peakSlots || now.Sub(view.peakAt) > peakTime {
		view.peakSlots, view.peakAt = sums.slots, now
	}
	if float64(sums.slots) >= (1-lostShare)*float64(view.peakSlots) {
		return 0
	}
	return sums.usage() * float64(view.peakSlots) / float64(sums.slots)
}

// share returns the part of the pool that is this router's. The parts of all routers add up
// to one.
func (view *view) share(now time.Time, pool *Pool, sums sums) float64 {
	even := 1 / float64(max(pool.Routers, 1))
	current := even
	local, requests := max(sums.local-sums.added, 0), sums.requests-sums.added
	if requests > 0 && local <= requests {
		current = float64(local) / float64(requests)
	}
	weight := 1 - math.Exp(-float64(now.Sub(view.sharedAt))/float64(shareTime))
	view.localShare += max(weight, 0) * (current - view.localShare)
	view.sharedAt = now
	return evenShare*even + (1-evenShare)*view.localShare
}

// draw draws the least parts anew once the other routers know what was sent with the last.
func (view *view) draw(now time.Time, delay time.Duration, random func() float64) {
	if now.Sub(view.drawnAt) >= delay {
		view.drawnAt = now
		view.seed = math.Float64bits(random())
	}
}

// least returns the least part with which a request is sent, between zero and one. It differs
// between routers, so that parts below one add up to the room.
func (view *view) least(upstream ident.UpstreamID) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(view.seed)
	// A digest's writes return no error.
	_, _ = digest.WriteString(string(upstream))
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// mayAdd reports whether this router, whose part of the pool is share, may send one more request
// to an upstream with the given room. It may add its part to what it had in flight there when the
// others last heard of it.
func (view *view) mayAdd(pool *Pool, share float64, upstream *Upstream, room float64) bool {
	if pool.Routers <= 1 || math.IsInf(room, 1) {
		return true
	}
	added := float64(upstream.added)
	return share*max(room+added, 0)-added > view.least(upstream.ID)
}

// mayQueue reports whether this router, whose part of the pool is share, may send one more
// request to a plain service, after those that it sent within the delay: its part of what the
// upstreams answer in that time, and of the places that are free.
func (view *view) mayQueue(pool *Pool, share float64, learned learned, sent int) bool {
	if pool.Routers <= 1 || learned.serviceTime <= 0 {
		return true
	}
	rounds := float64(pool.Delay) / float64(learned.serviceTime)
	places := 0.0
	for i := range pool.Upstreams {
		if upstream := &pool.Upstreams[i]; upstream.counted() {
			places += float64(upstream.Slots)*rounds + max(upstream.limit(learned)-float64(upstream.Requests), 0)
		}
	}
	return share*places-float64(sent) > view.least("")
}

// mayPrefill reports whether this router, whose part of the pool is share, may have the shared
// parts of the request prefilled where they are not cached, after the prompt tokens that it sent
// within the delay.
func (view *view) mayPrefill(pool *Pool, share float64, request *Request, learned learned, sent ident.Tokens) bool {
	delay := float64(pool.Delay) / float64(time.Millisecond)
	room := 0.0
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if upstream.counted() && upstream.Memory > 0 {
			idle := max(1-upstream.usage(learned), 0)
			room += delay * learned.prefillRate(upstream.ID) * (drainShare + idleDrainShare*idle*idle)
		}
	}
	return share*room-float64(sent) > view.least("")*float64(request.Prefill)
}
