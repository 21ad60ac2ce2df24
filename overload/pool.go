package overload

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// maxUnheardFactor limits the factor by which the requests of the reporting routers are
	// scaled up to stand for the others, whose requests may have ended.
	maxUnheardFactor = 2
	// busyShare is the share of the upstreams that have no time for more prefill above which a
	// pool counts as busy: the others can't take the requests of more than as many.
	busyShare = 0.5
)

// Upstream is what a router knows of one upstream.
type Upstream struct {
	ID ident.UpstreamID
	// Usable is set if the upstream serves.
	Usable bool
	// Excluded is set if this request must not be sent there nevertheless.
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

	// added is by how much Local has grown since the state that the other routers have received.
	added int
}

// Key identifies a pool: the upstreams of a service, or those of them with one software
// version, in some regions.
type Key struct {
	Service ident.ServiceName
	// Version is empty for all versions.
	Version ident.SoftwareVersion
	// Regions names the regions to which the pool is restricted. It is empty for all.
	Regions string
}

// Pool is what a router knows of the upstreams of a service.
type Pool struct {
	Key       Key
	Upstreams []Upstream
	// Routers is the number of routers that share the pool, including this one and those that
	// have sent no recent report. Heard is the number of routers with recent reports.
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

// sums are the figures of the usable upstreams of a pool together whose slots are known.
type sums struct {
	usable int
	// unknown counts those whose slots are not known, which the other figures leave out.
	unknown  int
	requests int
	local    int
	// added is by how much local has grown since the other routers last heard of it.
	added int
	slots int
	// share is the part of the pool that is this router's. The parts of all routers add up
	// to one.
	share    float64
	capacity float64
	used     float64
}

// usage returns the share of the pool that is used.
func (sums sums) usage() float64 {
	if sums.usable == 0 {
		return 0
	}
	return sums.used / float64(sums.usable)
}

// localShare returns the part of the requests in flight that were this router's when the
// others last heard of it.
func (sums sums) localShare(pool *Pool) float64 {
	local, requests := max(sums.local-sums.added, 0), sums.requests-sums.added
	if requests <= 0 || local > requests {
		return 1 / float64(max(pool.Routers, 1))
	}
	return float64(local) / float64(requests)
}

// sum adds up the usable upstreams whose slots are known.
func (pool *Pool) sum(estimates estimates) sums {
	var sums sums
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.Usable {
			continue
		}
		if upstream.Slots <= 0 {
			sums.unknown++
			continue
		}
		sums.usable++
		sums.requests += upstream.Requests
		sums.local += upstream.Local
		sums.added += upstream.added
		sums.slots += upstream.Slots
		sums.capacity += upstream.limit(estimates)
		sums.used += min(upstream.usage(estimates), 1)
	}
	return sums
}

// clone returns a copy of the pool with upstreams of its own.
func (pool *Pool) clone() *Pool {
	cloned := *pool
	cloned.Upstreams = slices.Clone(pool.Upstreams)
	return &cloned
}

// addUnheard adds to each upstream its part of what routers that were not heard from
// lately are assumed to have in flight: as much as those that were.
func (pool *Pool) addUnheard() {
	if pool.Heard >= pool.Routers || pool.Heard <= 0 {
		return
	}
	factor := float64(pool.Routers) / float64(pool.Heard)
	if pool.Heard > 1 {
		factor = min(factor, maxUnheardFactor)
	}
	requests, pending, count := 0, ident.Tokens(0), 0
	for i := range pool.Upstreams {
		if !pool.Upstreams[i].Usable {
			continue
		}
		known := pool.Upstreams[i].Requests
		if pool.Heard == 1 {
			known = pool.Upstreams[i].Local
		}
		requests += known
		pending += pool.Upstreams[i].Pending
		count++
	}
	if count == 0 {
		return
	}
	extraRequests := int((factor - 1) * float64(requests) / float64(count))
	extraPending := ident.Tokens((factor - 1) * float64(pending) / float64(count))
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if pool.Heard == 1 {
			// The upstream's own report may have counted the requests of the others.
			upstream.Requests = max(upstream.Requests, upstream.Local+extraRequests)
		} else {
			upstream.Requests += extraRequests
		}
		upstream.Pending += extraPending
	}
}

// busyPrefilling reports whether many upstreams have so much prefill pending that the
// request would miss its target there.
func (pool *Pool) busyPrefilling(request *Request, estimates estimates) bool {
	if request.Prefill == 0 {
		return false
	}
	usable, busy := 0, 0
	for i := range pool.Upstreams {
		upstream := &pool.Upstreams[i]
		if !upstream.Usable || upstream.Memory == 0 {
			continue
		}
		usable++
		if float64(upstream.Pending) > targetShare*float64(request.target())*estimates.prefillRate(upstream.ID) {
			busy++
		}
	}
	return usable > 0 && float64(busy) > busyShare*float64(usable)
}
