package peer

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
)

// The net/rpc methods that a daemon registers.
const (
	MethodSample  = "Load.Sample"
	MethodAttempt = "Attempts.Status"
	MethodStrike  = "Strikes.Add"
	MethodPush    = "Settings.Push"
	MethodPull    = "Settings.Pull"
)

// SampleArgs asks a sidecar for its load.
type SampleArgs struct {
	// Upstream is the one that asks, with its own load, so that one exchange
	// informs both.
	Upstream ident.UpstreamID
	Load     int
}

// SampleReply is a sidecar's load now.
type SampleReply struct {
	Upstream ident.UpstreamID
	Load     int
	Leaving  bool
}

// AttemptArgs asks the sidecar that holds a claim what became of the attempt.
type AttemptArgs struct {
	Attempt ident.AttemptID
}

// AttemptState is what a sidecar knows of an attempt.
type AttemptState string

// The states of an attempt at its sidecar.
const (
	// AttemptAbsent means that this sidecar process never had it.
	AttemptAbsent AttemptState = "Absent"
	// AttemptWaiting means that it was not forwarded yet but may be.
	AttemptWaiting AttemptState = "Waiting"
	// AttemptAbandoned means that it was not forwarded and never will be.
	AttemptAbandoned AttemptState = "Abandoned"
	// AttemptForwarded means that the upstream may be running it.
	AttemptForwarded AttemptState = "Forwarded"
	// AttemptDone means that the upstream answered it.
	AttemptDone AttemptState = "Done"
	// AttemptUnknown means that it was forwarded and the upstream was lost, so
	// that nobody can tell whether it ran.
	AttemptUnknown AttemptState = "Unknown"
)

// AttemptReply answers AttemptArgs.
type AttemptReply struct {
	State AttemptState
	// Answer is the upstream's answer of an attempt that is Done, while the
	// sidecar still holds it.
	Answer *AttemptAnswer
}

// AttemptAnswer is an upstream's whole answer.
type AttemptAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// StrikeArgs passes on strikes, and the fingerprints whose strikes a success
// cleared.
type StrikeArgs struct {
	Strikes []StrikeItem
	Cleared []ident.Fingerprint
}

// StrikeItem is one strike with its age, since VM clocks differ.
type StrikeItem struct {
	Fingerprint ident.Fingerprint
	Upstream    ident.UpstreamID
	AgeMs       int64
}

// Nothing is an empty reply.
type Nothing struct{}

// PushArgs carries subtrees that are newer than what the receiver may have.
type PushArgs struct {
	Subtrees []settings.Subtree
}

// PullArgs names the revisions that the caller has.
type PullArgs struct {
	Revisions map[ident.TeamID]ident.Revision
}

// PullReply carries the subtrees that are newer than the caller's.
type PullReply struct {
	Subtrees []settings.Subtree
}
