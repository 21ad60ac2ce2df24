package overload

import (
	"math"
	"time"
)

const (
	// memoryShare is the share of an engine's memory that running requests may take. The
	// rest keeps the shared prompt parts cached, which would have to be prefilled again.
	memoryShare = 0.65
	// targetShare is the share of its target within which the prefill of a request, and
	// of those before it, has to end.
	targetShare = 0.6
)

// limit returns how many requests of mean size the upstream holds.
func (upstream *Upstream) limit(estimates estimates) float64 {
	limit := float64(upstream.Slots)
	if upstream.Memory > 0 && estimates.memory > 0 {
		limit = min(limit, memoryShare*float64(upstream.Memory)/estimates.memory)
	}
	return limit
}

// usage returns which share of its room the upstream uses.
func (upstream *Upstream) usage(estimates estimates) float64 {
	return float64(upstream.Requests) / upstream.limit(estimates)
}

// wait returns the time until the upstream would begin its answer to the request.
func (upstream *Upstream) wait(request *Request, estimates estimates) time.Duration {
	queued := max(upstream.Requests+1-upstream.Slots, 0)
	wait := time.Duration(float64(queued) / float64(max(upstream.Slots, 1)) * float64(estimates.serviceTime))
	if upstream.Memory == 0 {
		if queued == 0 {
			// With a free slot the request runs at once, however long that takes.
			return 0
		}
		return wait + estimates.serviceTime
	}
	prefill := float64(upstream.Pending + upstream.prefill(request))
	return wait + time.Duration(prefill/estimates.prefillRate(upstream.ID)*float64(time.Millisecond))
}

// room returns how many requests such as this one the upstream has room for, of which
// this one may use the given share.
func (upstream *Upstream) room(request *Request, estimates estimates, share float64) float64 {
	used := float64(upstream.Requests)
	if upstream.Memory == 0 {
		return upstream.plainRoom(request)
	}
	room := share*float64(upstream.Slots) - used
	memory := share*memoryShare*float64(upstream.Memory) - used*estimates.memory
	room = min(room, memory/math.Max(float64(request.Memory), 1))
	if upstream.Pending > 0 {
		budget := share * targetShare * float64(request.target()) * estimates.prefillRate(upstream.ID)
		room = min(room, (budget-float64(upstream.Pending))/math.Max(float64(upstream.prefill(request)), 1))
	}
	if upstream.Requests == 0 && request.Memory <= upstream.Memory {
		// An idle engine takes any request that it can hold.
		return max(room, 1)
	}
	return room
}
