package overload

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Key identifies a pool: the upstreams of a service, or those of them with one software
// version.
type Key struct {
	Service ident.ServiceName
	// Version is empty for all versions.
	Version ident.SoftwareVersion
}

// Upstream is what a router knows of one upstream.
type Upstream struct {
	ID ident.UpstreamID
	// Usable is set if the upstream serves, and Excluded if this request must not be sent
	// there nevertheless.
	Usable   bool
	Excluded bool
	// Requests counts the requests in flight over all routers, Local those of this
	// router, and Pending the prompt tokens still to be prefilled.
	Requests int
	Local    int
	Pending  ident.Tokens
	// Slots is how many requests the upstream runs at once, or zero if that is not known.
	Slots int
	// Memory is the memory of an engine in tokens, or zero for a plain service.
	Memory ident.Tokens
	// Cached is set if the upstream has the shared prefix of the request cached.
	Cached bool

	// added is by how much Local has grown since the other routers last heard of it.
	added int
	// hasRoom is set if the upstream has room for the request, be it for other routers.
	hasRoom bool
}

// Pool is what a router knows of the upstreams of a service.
type Pool struct {
	Key       Key
	Upstreams []Upstream
	// Routers is the number of routers that share the pool, this one included: also those
	// that were not heard from lately. Heard is the number of those that were.
	Routers int
	Heard   int
	// Delay is the time within which the requests of a router are known to all others.
	Delay time.Duration
	// LoadMultiple times the mean number of requests in flight, plus LoadSlack, is the
	// bound up to which an upstream gets requests whose prefix it has cached. Zero values
	// mean no bound.
	LoadMultiple float64
	LoadSlack    float64
}

const (
	// maxUnheardFactor limits by how much the requests of routers that were heard are
	// scaled up for the others: those may have ended.
	maxUnheardFactor = 2
	// busyShare is the share of the upstreams without time for more prefill above which a
	// pool is short of room.
	busyShare = 0.5
)

// sums are the figures of the upstreams of a pool that serve, together.
type sums struct {
	upstreams int
	slots     int
	// memory is that of engines, and zero for a plain service.
	memory   ident.Tokens
	requests int
	local    int
	// added is by how much local has grown since the other routers last heard of it.
	added int
	// used is the sum of the shares that are used of each upstream, up to one.
	used float64
}

// usage returns the share of the pool that is used.
func (sums sums) usage() float64 { return sums.used / float64(max(sums.upstreams, 1)) }

// counted reports whether the upstream serves and has known slots.
func (upstream *Upstream) counted() bool { return upstream.Usable && upstream.Slots > 0 }

// sum adds up the upstreams that serve and whose slots are known.
func (pool *Pool) sum(learned learned) sums {
	var sums sums
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.counted() {
			continue
		}
		sums.upstreams++
		sums.slots += upstream.Slots
		sums.memory += upstream.Memory
		sums.requests += upstream.Requests
		sums.local += upstream.Local
		sums.added += upstream.added
		sums.used += min(upstream.usage(learned), 1)
	}
	return sums
}

// addUnheard adds to each upstream its part of what routers that were not heard from
// lately are assumed to have in flight: as much as those that were.
func (pool *Pool) addUnheard() {
	if pool.Heard >= pool.Routers || pool.Heard <= 0 {
		return
	}
	factor := float64(pool.Routers)/float64(pool.Heard) - 1
	if pool.Heard > 1 {
		factor = min(factor, maxUnheardFactor-1)
	}
	requests, pending, count := 0, ident.Tokens(0), 0
	for i := range pool.Upstreams {
		if upstream := &pool.Upstreams[i]; upstream.counted() {
			requests += upstream.heard(pool)
			pending += upstream.Pending
			count++
		}
	}
	for i := range pool.Upstreams {
		if upstream := &pool.Upstreams[i]; upstream.counted() {
			// Without other routers, Requests may have the upstream's own report.
			upstream.Requests = max(upstream.Requests, upstream.heard(pool)+int(factor*float64(requests)/float64(count)))
			upstream.Pending += ident.Tokens(factor * float64(pending) / float64(count))
		}
	}
}

// heard returns the requests in flight of this router and of those that were heard.
func (upstream *Upstream) heard(pool *Pool) int {
	if pool.Heard == 1 {
		return upstream.Local
	}
	return upstream.Requests
}

// busyPrefilling reports whether many engines have so much prefill pending that the request
// would miss its target there.
func (pool *Pool) busyPrefilling(request *Request, learned learned) bool {
	engines, busy := 0, 0
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.counted() || upstream.Memory == 0 {
			continue
		}
		engines++
		if float64(upstream.Pending) > targetShare*float64(request.target())*learned.prefillRate(upstream.ID) {
			busy++
		}
	}
	return float64(busy) > busyShare*float64(engines)
}
