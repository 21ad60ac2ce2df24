package sidecar

import (
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
)

// The HTTP headers between router and sidecar. Each holds one JSON value.
const (
	// HeaderCall holds the Call of POST /v1/run.
	HeaderCall = "Hickoryhead-Call"
	// HeaderState holds the State of the sidecar, sent with its responses.
	HeaderState = "Hickoryhead-State"
)

// ContentTypeFrames is the media type of a stream of frames, one JSON value per
// line.
const ContentTypeFrames = "application/x-ndjson"

// Call describes the request of POST /v1/run. The HTTP body is the caller's
// body. If an answer is continued, the text generated so far follows it.
type Call struct {
	Request   ident.RequestID
	Attempt   ident.AttemptID
	Team      ident.TeamID
	Route     ident.RouteName
	Workspace ident.WorkspaceID
	Chat      ident.ChatID         `json:",omitempty"`
	Priority  ident.Priority       `json:",omitempty"`
	Key       ident.IdempotencyKey `json:",omitempty"`
	// Prior is the upstream that served the previous request of the chat.
	Prior ident.UpstreamID `json:",omitempty"`
	// BudgetMs is the time left until the request's deadline. It is relative
	// because the clocks of VMs differ.
	BudgetMs int64
	// BodyBytes is the length of the caller's body within the HTTP body.
	BodyBytes int
	// ResumeFrames is the number of frames that the caller has received.
	ResumeFrames answer.Seq `json:",omitempty"`
	// Wait is set if the router has no further upstream to try. The request may
	// then wait in the queue.
	Wait bool `json:",omitempty"`
	// Evidence holds the loads that upstreams recently reported to the router.
	// It is sent once another upstream refused the request.
	Evidence []LoadSeen `json:",omitempty"`
	// CrashedOn holds the upstreams that crashed while they ran the request.
	CrashedOn []ident.UpstreamID `json:",omitempty"`
}

// LoadSeen is the load of an upstream, reported AgeMs milliseconds ago.
type LoadSeen struct {
	Upstream ident.UpstreamID
	Load     int
	AgeMs    int64
}

// State is the sidecar's own view of its upstream, sent with its responses.
type State struct {
	Upstream ident.UpstreamID
	// Incarnation is a random ID that changes at each start of the process.
	Incarnation string
	// Load is the number of admitted requests, Mean the mean load of the pool
	// and Bound the bound on the load; a Bound of zero means none.
	Load    int
	Mean    float64
	Bound   int
	Leaving bool `json:",omitempty"`
	// Lost is set while the upstream does not respond to probes. Its load is
	// then left out of the mean of the pool.
	Lost bool `json:",omitempty"`
	// Lighter is set with a refusal: a less loaded upstream, whose last known
	// load is below the mean.
	Lighter ident.UpstreamID `json:",omitempty"`
	// Designated is set with a refusal with CrashingRequestAlone: the only
	// upstream that may run the request.
	Designated ident.UpstreamID `json:",omitempty"`
}

// Abandoned is the response to POST /v1/attempts/{attempt}/abandon. State is
// AttemptAbandoned if the attempt was not forwarded to the upstream; the sidecar
// then never forwards it.
type Abandoned struct {
	State peer.AttemptState
}

// Status is the response to GET /v1/status and POST /v1/drain.
type Status struct {
	State State
	// Running is the number of admitted requests.
	Running int
	// Held is the number of requests that the sidecar knows: queued, running,
	// and finished ones whose answers are still kept.
	Held int
	// Claims reports whether requests that are not idempotent can be claimed.
	Claims bool
}

// samples converts the evidence of call to load samples, with the ages counted
// back from now.
func (call *Call) samples(now time.Time) []admission.Sample {
	samples := make([]admission.Sample, 0, len(call.Evidence))
	for _, seen := range call.Evidence {
		age := time.Duration(max(0, seen.AgeMs)) * time.Millisecond
		samples = append(samples, admission.Sample{Upstream: seen.Upstream, Load: seen.Load, SeenAt: now.Add(-age)})
	}
	return samples
}
