package peer

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// The net/rpc methods that daemons register.
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

// SampleArgs requests a sidecar's load.
type SampleArgs struct {
	// Upstream is the caller's upstream. The request carries its load, so that
	// one exchange informs both sides.
	Upstream ident.UpstreamID
	Load     int
	Leaving  bool
}

// SampleReply is a sidecar's current load.
type SampleReply struct {
	Upstream ident.UpstreamID
	Load     int
	Leaving  bool
}

// AttemptArgs asks the sidecar that owns a claim for the state of the attempt.
type AttemptArgs struct {
	Attempt ident.AttemptID
}

// AttemptState is the state of an attempt at its sidecar.
type AttemptState string

// The values of AttemptState.
const (
	// AttemptAbsent means that this sidecar process has never had the attempt.
	AttemptAbsent AttemptState = "Absent"
	// AttemptWaiting means that it has not been forwarded yet but still may be.
	AttemptWaiting AttemptState = "Waiting"
	// AttemptAbandoned means that it has not been forwarded and never will be.
	AttemptAbandoned AttemptState = "Abandoned"
	// AttemptForwarded means that it was forwarded: the upstream may be running
	// it.
	AttemptForwarded AttemptState = "Forwarded"
	// AttemptDone means that the upstream has answered it.
	AttemptDone AttemptState = "Done"
	// AttemptUnknown means that it was forwarded and the upstream was lost, so
	// that it cannot be determined whether it ran.
	AttemptUnknown AttemptState = "Unknown"
)

// AttemptReply is the reply to AttemptArgs.
type AttemptReply struct {
	State AttemptState
	// Answer is the upstream's answer if State is AttemptDone and the sidecar
	// still has it, else nil.
	Answer *AttemptAnswer
}

// AttemptAnswer is an upstream's complete answer.
type AttemptAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// StrikeArgs carries new strikes, and the fingerprints whose strikes were
// cleared by a successful request.
type StrikeArgs struct {
	Strikes []StrikeItem
	Cleared []ident.Fingerprint
}

// StrikeItem is one strike. It carries an age in milliseconds instead of a time,
// since VM clocks differ.
type StrikeItem struct {
	Fingerprint ident.Fingerprint
	Upstream    ident.UpstreamID
	AgeMs       int64
}

// LeaveArgs notifies a VM that the platform's list marks it as leaving.
type LeaveArgs struct {
	VM ident.VMID
}

// OrderArgs orders a sidecar to load a model into its engine. Orders with an
// outdated fencing number are refused.
type OrderArgs struct {
	Model ident.ModelName
	Fence ident.FencingNumber
}

// OrderReply is the result of an order.
type OrderReply struct {
	Code result.Code
}

// Nothing is an empty reply.
type Nothing struct{}

// PushArgs announces revisions to a neighbour, which pulls from the sender those
// that it does not have. So the settings are sent to each daemon about once,
// although every neighbour announces them to it.
type PushArgs struct {
	// From is the peer address of the sender.
	From      string
	Revisions map[ident.TeamID]ident.Revision
}

// PullArgs requests the settings of the named teams that are newer than the
// caller's revisions. Revision zero requests the complete subtree.
type PullArgs struct {
	Revisions map[ident.TeamID]ident.Revision
}

// PullReply carries the newer settings of the requested teams: for each, the
// delta from the caller's revision if the callee still has that revision, else
// the complete subtree. A reply of limited size may leave out teams, which the
// caller requests again.
type PullReply struct {
	Deltas   []settings.Delta
	Subtrees []settings.Subtree
}

// CompareArgs carries the digest of the caller's view.
type CompareArgs struct {
	Digest uint64
}

// CompareReply is the result of a comparison. Revisions holds the callee's
// revisions, unless both digests are the same.
type CompareReply struct {
	// Ready reports whether the callee is ready and serves these revisions.
	Ready     bool
	Same      bool
	Revisions map[ident.TeamID]ident.Revision
}
