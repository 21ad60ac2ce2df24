package overload

import (
	"math"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// defaultTarget applies to routes that have no target.
	defaultTarget ident.Milliseconds = 1000
	// urgencyReserve is the share of the room that requests leave free for those that are
	// one priority more urgent, up to maxUrgencyLevels priorities. It is small, as it stays
	// unused while there are no such requests.
	urgencyReserve   = 0.04
	maxUrgencyLevels = 3
	// urgencyFactor is the part that a request gets of what one that is one priority more
	// urgent gets, until the other routers know what was sent.
	urgencyFactor = 0.5
	// excessLevels is by how many priorities less urgent what a workspace sends beyond its usual
	// counts.
	excessLevels = 2
	// pressureFactor times the share of requests that are refused is how far urgencyFactor
	// applies, in full from one on: where half are refused.
	pressureFactor = 2
	// excessReserve is the share that a workspace leaves free for the others with what it sends
	// beyond its usual: more than what excessLevels priorities leave.
	excessReserve = 0.1
)

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

// prefill returns how many tokens of the request the upstream would prefill.
func (upstream *Upstream) prefill(request *Request) ident.Tokens {
	if upstream.Cached {
		return request.CachedPrefill
	}
	return request.Prefill
}

// plainRoom is room for an instance of a plain service: its queue is used as long as the deadline
// allows. A request that another instance turned away gets a free slot only.
func (upstream *Upstream) plainRoom(request *Request) float64 {
	if request.Offered {
		return float64(upstream.Slots - upstream.Requests)
	}
	return math.Inf(1)
}
