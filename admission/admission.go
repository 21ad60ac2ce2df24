package admission

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Policy holds the limits of one upstream, from the settings in force.
type Policy struct {
	// LoadMultiple bounds the load to max(1, ceil(LoadMultiple * mean)).
	// Zero means that there is no bound by the mean.
	LoadMultiple float64
	// EngineLimit is the most requests in flight that the engine takes.
	// Zero means that there is no limit.
	EngineLimit int
	// QueueLimit is the most requests that wait.
	QueueLimit int
	// Marks gives for each priority the share of EngineLimit and QueueLimit,
	// above 0 and at most 1, above which it is held back. A priority without
	// a mark has 1. A higher mark leaves the queue first.
	Marks map[ident.Priority]float64
}

// Sample is the load of one upstream of the pool as seen at a time.
type Sample struct {
	Upstream ident.UpstreamID
	Load     int
	SeenAt   time.Time
	// Leaving says that the upstream takes no more work, so that it no longer
	// counts for the mean.
	Leaving bool
}

// Offer is a request that asks to be admitted.
type Offer struct {
	Attempt   ident.AttemptID
	Workspace ident.WorkspaceID
	// Weight is the workspace's weight; zero counts as one.
	Weight   float64
	Priority ident.Priority
	// Deadline is when the request is of no more use; zero means never.
	Deadline time.Time
	// Evidence holds the loads that the router of a refused request was told
	// of lately, by the sidecars that refused it and by others.
	Evidence []Sample
	// Alone asks for the whole upstream: nothing else runs beside it.
	Alone bool
	// Cold says that the engine holds no prefix of the request's chat. Cold
	// work that may still go elsewhere is held to a lower bound, so that the
	// room between the two is left to chats whose prefix is here.
	Cold bool
	// Wait says that there is no further upstream to try, so that the request
	// may wait here. An Alone offer always may.
	Wait bool
}

// Verdict says what became of an offer.
type Verdict int

// The verdicts on an offer.
const (
	Refused Verdict = iota
	Admitted
	Queued
)

// Decision is the answer to an offer. Load, Mean and Bound hold at the time of
// the decision: Load counts the offer if it was admitted, and Bound is the
// bound that it was held against. A Bound of zero means that there was none.
// Code and RetryAt are set for a refusal.
type Decision struct {
	Verdict Verdict
	Code    result.Code
	RetryAt time.Time
	Load    int
	Mean    float64
	Bound   int
	// LessLoaded names, with a refusal, an upstream of the pool that was last seen
	// below the mean; it is empty if none is known.
	LessLoaded ident.UpstreamID
}

// Start tells that a queued attempt left the queue: it runs if Code is OK and
// was refused otherwise.
type Start struct {
	Attempt ident.AttemptID
	Code    result.Code
	RetryAt time.Time
}

// SamplePeriod is how often a sidecar exchanges loads with its Partners.
const SamplePeriod = 500 * time.Millisecond

// SampleLifetime is how long a sample counts for the mean.
const SampleLifetime = 3 * time.Second

// EvidenceLifetime is how long a load that a router names supports a higher
// mean than that of the samples.
const EvidenceLifetime = time.Second

// minEvidence is the least number of upstreams named that may raise the mean. A
// few say more about themselves than about the pool.
const minEvidence = 3

// coldPart is the part of the way from the mean to the bound up to which cold
// work is admitted. A lower one keeps more room for chats whose prefix is here
// and refuses more first tries.
const coldPart = 0.6

// activeFor is how long a workspace keeps a claim to room after it asked.
const activeFor = 10 * time.Second

// reservedPart is the part of the engine's limit, as one in so many, that is
// kept free of workspaces that hold their share while another one is active.
const reservedPart = 6

// leastShare is what every workspace may run, and leastQueueShare how many of
// its requests may wait, whatever its weight: a share of less than a few requests
// would refuse a small workspace for a coincidence of two of its own.
const (
	leastShare      = 2
	leastQueueShare = 8
)
