package overload

import (
	"math"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// levelReserve is the share of the room that requests leave free for those that are one
	// level more urgent, up to maxLevels.
	levelReserve = 0.04
	maxLevels    = 3
	// levelFactor is the part of the room that a router gives to a request, of what it gives
	// to one that is one level more urgent, where it refuses half of all or more.
	levelFactor = 0.5
	// excessLevels is by how many levels less urgent a request counts that its workspace
	// sends beyond its usual.
	excessLevels = 3
	// newcomerLevel is by how many levels less urgent a newcomer counts than a caller that was
	// refused before.
	newcomerLevel = 0.5
	// returnedShare is the part of the usual time of its route below which the time that a
	// caller has left shows that it was refused before.
	returnedShare = 0.9
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
	Route     ident.RouteName
	// Wait is how long the caller said that it waits, or zero if it did not say.
	Wait ident.Milliseconds
}

// target returns the target of the request, or the default if there is none.
func (request *Request) target() ident.Milliseconds {
	if request.Target <= 0 {
		return defaultTarget
	}
	return request.Target
}

// level returns how many levels less urgent than the most urgent ones a request is.
func (request *Request) level(returned, excess bool) float64 {
	level := float64(min(max(request.Priority, 0), maxLevels))
	if !returned {
		level += newcomerLevel
	}
	if excess {
		level += excessLevels
	}
	return level
}

// reserved returns the share of the room that a request of the level may use.
func reserved(level float64) float64 { return 1 - levelReserve*level }

// part returns the part of the room that a request of the level gets of what a newcomer of the
// most urgent priority gets, at a router that refuses the given share of all.
func part(level, refused float64) float64 {
	return math.Pow(levelFactor, (level-newcomerLevel)*min(2*refused, 1))
}

// usualWaits holds how long the callers of each route say that they wait while none is refused.
type usualWaits map[ident.RouteName]float64

// learn takes the wait of a caller into account that was not refused before.
func (waits usualWaits) learn(arrival Arrival) {
	if arrival.Wait <= 0 {
		return
	}
	usual, known := waits[arrival.Route]
	if !known {
		if len(waits) >= maxRoutes {
			clear(waits)
		}
		usual = float64(arrival.Wait)
	}
	waits[arrival.Route] = usual + smoothing*(float64(arrival.Wait)-usual)
}

// maxRoutes limits the routes whose usual wait is known.
const maxRoutes = 4096

// returned reports whether the caller has so little time left that it was refused before.
func (waits usualWaits) returned(arrival Arrival) bool {
	return arrival.Wait > 0 && float64(arrival.Wait) < returnedShare*waits[arrival.Route]
}
