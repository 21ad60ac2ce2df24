package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// sharedSlack is the share of a pool that all routers together may use beyond their
	// parts: requests vary more at one router than over all. It is at most slackOfRoom
	// times the room that there is.
	sharedSlack = 0.1
	slackOfRoom = 0.25
	// shareOvercommit is by how much the parts of all routers of one upstream's room exceed
	// it: most of them don't have a request for it.
	shareOvercommit = 2
	// drainShare is the share of its prefill rate that an upstream may spend on prompts whose
	// shared parts are not cached, while the pool is short of room, and idleDrainShare what an
	// idle one may spend in addition. More of such prompts would delay those whose parts are
	// cached, which are served for less. uncachedAhead is the share of the target that such
	// prompts may be ahead of others.
	drainShare     = 0.12
	idleDrainShare = 0.4
	uncachedAhead  = 0.1
)

// mayAdd reports whether this router may send a request to an upstream with the given room. Routers
// that see the same room each take a part of it, so that they don't fill it several times before
// they know of each other's requests.
func (view *view) mayAdd(pool *Pool, share, urgency float64, upstream *Upstream, room float64) bool {
	if pool.Routers <= 1 || math.IsInf(room, 1) {
		return true
	}
	added := float64(upstream.added)
	return shareOvercommit*urgency*share*max(room+added, 0)-added > view.threshold(upstream.ID)
}

// anyEngine reports whether a usable upstream is an engine, which prefills prompts.
func (pool *Pool) anyEngine() bool {
	return slices.ContainsFunc(pool.Upstreams, func(upstream Upstream) bool { return upstream.Usable && upstream.Memory > 0 })
}

// prefillPart returns how many more prompt tokens this router may send: its part of what
// the upstreams can prefill in time for the target, and while the others don't know yet
// what was sent.
func (decider *decider) prefillPart() float64 {
	pool, estimates := decider.pool, decider.estimates
	ahead := float64(min(decider.request.target(), defaultTarget)) * uncachedAhead
	delay := float64(pool.Delay) / float64(time.Millisecond)
	room := 0.0
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if upstream.Usable && upstream.Memory > 0 {
			rate := estimates.prefillRate(upstream.ID)
			idle := max(1-upstream.usage(estimates), 0)
			room += max(ahead*rate-float64(upstream.Pending), 0) + delay*rate*(drainShare+idleDrainShare*idle*idle)
		}
	}
	return decider.urgency*decider.sums.share*room - float64(decider.service.flow.since(decider.now, pool.Delay).prefill)
}

// part returns how many more requests this router may send into the room of the pool. It
// may add its share of the room to what it had in flight when the others last heard of it.
func (pool *Pool) part(sums sums, room float64) float64 {
	if math.IsInf(room, 1) || pool.Routers <= 1 {
		return room
	}
	added := float64(sums.added)
	slack := min(sharedSlack*sums.capacity, slackOfRoom*room) / float64(pool.Routers)
	return sums.share*max(room+added, 0) - added + slack
}
