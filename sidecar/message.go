package sidecar

import (
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
)

// The headers of the hop between router and sidecar. Each holds one JSON value.
const (
	// HeaderCall holds the Call of POST /v1/run.
	HeaderCall = "Hickoryhead-Call"
	// HeaderState holds the State that every answer of a sidecar carries.
	HeaderState = "Hickoryhead-State"
)

// ContentTypeFrames is the media type of a stream of frames, one JSON value a
// line.
const ContentTypeFrames = "application/x-ndjson"

// Call describes the request of POST /v1/run. The HTTP body is the caller's
// body, followed by the text already generated where an answer is continued.
type Call struct {
	Request   ident.RequestID
	Attempt   ident.AttemptID
	Team      ident.TeamID
	Route     ident.RouteName
	Workspace ident.WorkspaceID
	Chat      ident.ChatID         `json:",omitempty"`
	Priority  ident.Priority       `json:",omitempty"`
	Key       ident.IdempotencyKey `json:",omitempty"`
	// Prior is the upstream that served the chat last.
	Prior ident.UpstreamID `json:",omitempty"`
	// BudgetMs is the time left until the request's deadline, since the
	// clocks of VMs differ.
	BudgetMs int64
	// BodyBytes is the length of the caller's body within the HTTP body.
	BodyBytes int
	// ResumeFrames counts the frames that the caller already has.
	ResumeFrames answer.Seq `json:",omitempty"`
	// Wait says that there is no further upstream to try, so that the request
	// may wait in the queue.
	Wait bool `json:",omitempty"`
	// Evidence holds the loads that the router of a refused request was told
	// of lately.
	Evidence []LoadSeen `json:",omitempty"`
	// CrashedOn holds the upstreams that were lost while they ran the request.
	CrashedOn []ident.UpstreamID `json:",omitempty"`
}

// LoadSeen is the load of an upstream as seen AgeMs ago.
type LoadSeen struct {
	Upstream ident.UpstreamID
	Load     int
	AgeMs    int64
}

// State is what a sidecar says of itself on every answer.
type State struct {
	Upstream ident.UpstreamID
	// Incarnation is drawn anew at each start of the process.
	Incarnation string
	Load        int
	Mean        float64
	Bound       int
	Leaving     bool `json:",omitempty"`
	// Lost says that the upstream does not answer, so that its load does not
	// count into the mean of the pool.
	Lost bool `json:",omitempty"`
	// Lighter is, with a refusal, an upstream that was last seen below the mean.
	Lighter ident.UpstreamID `json:",omitempty"`
	// Designated is the only upstream that may run the request that was
	// refused with CrashingRequestAlone.
	Designated ident.UpstreamID `json:",omitempty"`
}

// Abandoned is the answer to POST /v1/attempts/{attempt}/abandon. State is
// AttemptAbandoned where the attempt was not forwarded and, from now on, never
// will be.
type Abandoned struct {
	State peer.AttemptState
}

// Status is the answer to GET /v1/status.
type Status struct {
	State   State
	Running int
	Held    int
	Claims  bool
}

// samples turns the evidence of call into samples at the time now.
func (call *Call) samples(now time.Time) []admission.Sample {
	samples := make([]admission.Sample, 0, len(call.Evidence))
	for _, seen := range call.Evidence {
		age := time.Duration(max(0, seen.AgeMs)) * time.Millisecond
		samples = append(samples, admission.Sample{Upstream: seen.Upstream, Load: seen.Load, SeenAt: now.Add(-age)})
	}
	return samples
}
