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
	// of those before it, has to end.
	targetShare = 0.6
	// defaultTarget applies to routes that have no target.
	defaultTarget ident.Milliseconds = 1000
	// urgencyReserve is the share of the room that requests leave free for those that are
	// one priority more urgent, up to maxUrgencyLevels priorities.
	urgencyReserve   = 0.04
	maxUrgencyLevels = 3
	// urgencyFactor is the part that a request gets of what one that is one priority more
	// urgent gets, until the other routers know what was sent.
	urgencyFactor = 0.5
	// excessLevels is by how many priorities less urgent what a workspace sends beyond its usual
	// counts.
	excessLevels = 2
	// pressureFactor is how many times the share of requests that are refused has to fit into
	// one until urgencyFactor applies in full.
	pressureFactor = 2
	// excessReserve is the share that a workspace leaves free for the others with what it sends
	// beyond its usual.
	excessReserve = 0.1
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

	// added is by how much Local has grown since the other routers last heard of it.
	added int
}

// Key identifies a pool: the upstreams of a service, or those of them with one software
// version.
type Key struct {
	Service ident.ServiceName
	// Version is empty for all versions.
	Version ident.SoftwareVersion
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

// Request describes the request to be decided on.
type Request struct {
	// Prefill is how many prompt tokens an upstream prefills that has none of the prompt
	// cached, and CachedPrefill how many if it has the shared prefix cached.
	Prefill       ident.Tokens
	CachedPrefill ident.Tokens
	// Memory is the tokens of memory that the request takes: prompt and expected output.
	Memory ident.Tokens
	// Priority is 0 for the most urgent requests.
	Priority int
	// Target is the time to the first event that the route aims at; zero means none.
	Target ident.Milliseconds
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Arrival  Arrival
	// Offered is set if an upstream has turned the request away.
	Offered bool
}

// Arrival describes who sent a request.
type Arrival struct {
	Workspace ident.WorkspaceID
}

// target returns the target of the request, or the default if there is none.
func (request *Request) target() ident.Milliseconds {
	if request.Target <= 0 {
		return defaultTarget
	}
	return request.Target
}

// urgency returns by how much less of its part of the room a router gives to the request than
// to the most urgent ones, if it refuses the given share of all.
func (request *Request) urgency(refused float64, excess bool) float64 {
	levels := float64(min(max(request.Priority, 0), maxUrgencyLevels))
	if excess {
		levels += excessLevels
	}
	return math.Pow(urgencyFactor, levels*min(pressureFactor*refused, 1))
}

// level is the share of the room that a request may use.
func level(priority int, excess bool) float64 {
	share := 1 - urgencyReserve*float64(min(max(priority, 0), maxUrgencyLevels))
	if excess {
		share -= excessReserve
	}
	return share
}

// estimates are what a router has learned about the requests of a service.
type estimates struct {
	// prefillRate is the prefill rate of each upstream in tokens per millisecond.
	prefillRate func(upstream ident.UpstreamID) float64
	// memory is the mean memory of a request in flight.
	memory float64
	// serviceTime is how long a slot is taken by a request, or zero if that is not known.
	serviceTime time.Duration
}

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

// prefill returns how many tokens of the request the upstream would prefill.
func (upstream *Upstream) prefill(request *Request) ident.Tokens {
	if upstream.Cached {
		return request.CachedPrefill
	}
	return request.Prefill
}

// wait returns the time until the upstream would begin its answer to the request.
func (upstream *Upstream) wait(request *Request, estimates estimates) time.Duration {
	queued := max(upstream.Requests+1-upstream.Slots, 0)
	wait := time.Duration(float64(queued) / float64(max(upstream.Slots, 1)) * float64(estimates.serviceTime))
	if upstream.Memory == 0 {
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
	if upstream.Requests == 0 && request.Memory <= upstream.Memory {
		// An idle engine takes any request that it can hold.
		return 1
	}
	room := share*float64(upstream.Slots) - used
	memory := share*memoryShare*float64(upstream.Memory) - used*estimates.memory
	room = min(room, memory/math.Max(float64(request.Memory), 1))
	if upstream.Pending == 0 {
		return room
	}
	budget := share * targetShare * float64(request.target()) * estimates.prefillRate(upstream.ID)
	return min(room, (budget-float64(upstream.Pending))/math.Max(float64(upstream.prefill(request)), 1))
}

// plainRoom is room for an instance of a plain service: its queue is used as long as the deadline
// allows. A request that another instance turned away gets a free slot only.
func (upstream *Upstream) plainRoom(request *Request) float64 {
	if request.Offered {
		return float64(upstream.Slots - upstream.Requests)
	}
	return math.Inf(1)
}
