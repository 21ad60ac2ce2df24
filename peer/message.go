package peer

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// The net/rpc methods that a daemon registers.
const (
	MethodSample  = "Load.Sample"
	MethodAttempt = "Attempts.Status"
	MethodStrike  = "Strikes.Add"
	MethodLeave   = "Leaving.Told"
	MethodPush    = "Settings.Push"
	MethodPull    = "Settings.Pull"
	MethodCompare = "Settings.Compare"
	MethodOrder   = "Orders.Take"
)

// SampleArgs asks a sidecar for its load.
type SampleArgs struct {
	// Upstream is the one that asks, with its own load, so that one exchange
	// informs both.
	Upstream ident.UpstreamID
	Load     int
	Leaving  bool
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

// LeaveArgs tells a VM that the platform's list says it is leaving.
type LeaveArgs struct {
	VM ident.VMID
}

// OrderArgs asks a sidecar to have its engine hold a model.
type OrderArgs struct {
	Model ident.ModelName
	Fence ident.FencingNumber
}

// OrderReply says what became of an order.
type OrderReply struct {
	Code result.Code
}

// Nothing is an empty reply.
type Nothing struct{}

// PushArgs announces revisions to a neighbour, which pulls those that it lacks
// from the sender. A body so reaches each daemon about once, though each hears
// of it from every neighbour.
type PushArgs struct {
	// From is the peer address of the sender.
	From      string
	Revisions map[ident.TeamID]ident.Revision
}

// PullArgs asks for the settings of the named teams where they are newer than
// the caller's revisions.
type PullArgs struct {
	Revisions map[ident.TeamID]ident.Revision
}

// PullReply carries newer settings of the teams asked for: the step from the
// caller's revision where the callee still has that one, else the whole. It is
// cut at a size; the caller asks again for what it still lacks.
type PullReply struct {
	Deltas   []settings.Delta
	Subtrees []settings.Subtree
}

// CompareArgs carries the digest of the caller's view.
type CompareArgs struct {
	Digest uint64
}

// CompareReply names the callee's revisions, unless the digests are the same.
type CompareReply struct {
	// Ready says that the callee serves these revisions itself.
	Ready     bool
	Same      bool
	Revisions map[ident.TeamID]ident.Revision
}
