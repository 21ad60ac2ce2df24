package admission

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Policy holds the limits of one upstream, from the settings in force.
type Policy struct {
	// LoadMultiple bounds the load to Bound(LoadMultiple, mean).
	// Zero means that the mean sets no bound.
	LoadMultiple float64
	// EngineLimit is the maximum number of requests in flight on the engine.
	// Zero means no limit.
	EngineLimit int
	// QueueLimit is the maximum number of queued requests. Zero disables the
	// queue.
	QueueLimit int
	// Marks gives the fraction of EngineLimit and QueueLimit, above 0 and at
	// most 1, that each priority may fill. A priority without a mark has 1.
	// Requests with a higher mark leave the queue first.
	Marks map[ident.Priority]float64
}

// Sample is the load of one upstream of the pool at the time SeenAt.
type Sample struct {
	Upstream ident.UpstreamID
	Load     int
	SeenAt   time.Time
	// Leaving says that the upstream accepts no new work. Such a sample does
	// not count for the mean.
	Leaving bool
}

// Offer is a request that asks to be admitted.
type Offer struct {
	Attempt   ident.AttemptID
	Workspace ident.WorkspaceID
	// Weight is the workspace's weight; zero counts as one.
	Weight   float64
	Priority ident.Priority
	// Deadline is the time after which the caller has no use for a result. A
	// request that is not expected to start before it is not queued; zero means
	// no deadline.
	Deadline time.Time
	// Evidence holds the loads that the router of a previously refused request
	// received lately, from the sidecars that refused it and from others.
	Evidence []Sample
	// Exclusive asks for exclusive use of the upstream: nothing else runs at the
	// same time.
	Exclusive bool
	// Cold says that the engine has no prefix of the request's chat cached.
	// Cold work that may still go to another upstream has a lower bound, which
	// keeps room for chats whose prefix is cached here.
	Cold bool
	// MayQueue says that the router has no further upstream to try, so that the
	// request may be queued here. An exclusive offer may always be queued.
	MayQueue bool
}

// Verdict is the outcome of an offer.
type Verdict int

// The verdicts on an offer.
const (
	Refused Verdict = iota
	Admitted
	Queued
)

// Decision is the result of Controller.Offer. Load, Mean and Bound hold at the
// time of the decision: Load includes the offer if it was admitted, and Bound
// is the bound on the load without the lower limit for cold work; zero means
// that there is none. Code and RetryAt are set for a refusal.
type Decision struct {
	Verdict Verdict
	Code    result.Code
	RetryAt time.Time
	Load    int
	Mean    float64
	Bound   int
	// LessLoaded names, in a refusal, an upstream of the pool that was last
	// seen below the mean. It is empty if none is known.
	LessLoaded ident.UpstreamID
}

// Dequeued reports that a queued attempt left the queue. It runs if Code is OK;
// otherwise it was refused with Code and may be retried at RetryAt.
type Dequeued struct {
	Attempt ident.AttemptID
	Code    result.Code
	RetryAt time.Time
}

// SamplePeriod is the interval at which a sidecar exchanges loads with its
// Partners.
const SamplePeriod = 500 * time.Millisecond

// SampleLifetime is how long a sample counts for the mean.
const SampleLifetime = 3 * time.Second

// EvidenceLifetime is how long a load in Offer.Evidence may raise the mean
// above that of the samples.
const EvidenceLifetime = time.Second

// minEvidenceUpstreams is the least number of upstreams whose evidence may
// raise the mean. Fewer are not representative of the pool.
const minEvidenceUpstreams = 3

// coldFraction places the bound for cold work between the mean (0) and the
// bound for other work (1). A lower value keeps more room for chats whose
// prefix is cached here and refuses more requests at the first upstream.
const coldFraction = 0.6

// workspaceActiveTime is how long a workspace stays active after its latest
// offer, so that room is kept for it.
const workspaceActiveTime = 10 * time.Second

// reserveDivisor sets the reserve: EngineLimit/reserveDivisor requests are kept
// free of workspaces that use up their share while another one is active.
const reserveDivisor = 6

// minRunningShare and minQueueShare are the numbers of requests that each
// workspace may run and queue, whatever its weight. A smaller share would
// refuse a small workspace whenever two of its own requests coincide.
const (
	minRunningShare = 2
	minQueueShare   = 8
)
