package overload

import (
	"math"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// memoryShare is the share of an engine's memory that running requests may take. The
	// rest keeps the shared prompt parts cached, which would have to be prefilled again.
	memoryShare = 0.65
	// targetShare is the share of its target within which the prefill of a request, and
	// of those before it, has to end: engines generate in the meantime, too.
	targetShare = 0.4
	// defaultTarget applies to routes that have no target.
	defaultTarget ident.Milliseconds = 1000
)

// limit returns how many requests of mean size the upstream holds.
func (upstream *Upstream) limit(learned learned) float64 {
	limit := float64(upstream.Slots)
	switch {
	case upstream.Memory > 0 && learned.memory > 0:
		limit = min(limit, memoryShare*float64(upstream.Memory)/learned.memory)
	case upstream.Memory == 0 && learned.queueKnown:
		limit += learned.queue
	}
	return limit
}

// usage returns which share of its room the upstream uses.
func (upstream *Upstream) usage(learned learned) float64 {
	return float64(upstream.Requests) / upstream.limit(learned)
}

// prefill returns how many tokens of the request the upstream would prefill.
func (upstream *Upstream) prefill(request *Request) ident.Tokens {
	if upstream.Cached {
		return request.CachedPrefill
	}
	return request.Prefill
}

// wait returns the time until the upstream would begin its answer to the request.
func (upstream *Upstream) wait(request *Request, learned learned) time.Duration {
	queued := max(upstream.Requests+1-upstream.Slots, 0)
	wait := time.Duration(float64(queued) / float64(upstream.Slots) * float64(learned.serviceTime))
	if upstream.Memory == 0 {
		return wait + learned.serviceTime
	}
	prefill := float64(upstream.Pending + upstream.prefill(request))
	return wait + time.Duration(prefill/learned.prefillRate(upstream.ID)*float64(time.Millisecond))
}

// room returns how many requests such as this one the upstream has room for, of which
// this one may use the given share.
func (upstream *Upstream) room(request *Request, learned learned, share float64) float64 {
	if upstream.Memory == 0 {
		return upstream.plainRoom(request, learned, share)
	}
	if upstream.Requests == 0 && request.Memory <= upstream.Memory {
		// An idle engine takes any request that it can hold.
		return 1
	}
	used := float64(upstream.Requests)
	slots := share*float64(upstream.Slots) - used
	memory := (share*memoryShare*float64(upstream.Memory) - used*learned.memory) / math.Max(float64(request.Memory), 1)
	if upstream.Pending == 0 {
		return min(slots, memory)
	}
	budget := share * targetShare * float64(request.target()) * learned.prefillRate(upstream.ID)
	prefill := (budget - float64(upstream.Pending)) / math.Max(float64(upstream.prefill(request)), 1)
	return min(slots, memory, prefill)
}

// plainRoom is room for an instance of a plain service: its slots, and its queue while the
// wait there is shorter than the target. A request that another instance turned away gets
// a free slot only.
func (upstream *Upstream) plainRoom(request *Request, learned learned, share float64) float64 {
	used := float64(upstream.Requests)
	places := math.Inf(1)
	if learned.queueKnown {
		places = max(share*upstream.limit(learned), 1)
	}
	if request.Target > 0 && learned.serviceTime > 0 {
		rounds := float64(request.Target.Duration()) / float64(learned.serviceTime)
		places = min(places, float64(upstream.Slots)*max(rounds, 1))
	}
	if request.Offered {
		places = float64(upstream.Slots)
	}
	return places - used
}
