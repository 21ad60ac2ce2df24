package claim

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// phase is the progress of an attempt.
type phase int

const (
	// claiming: the attempt has not been forwarded, but may still be.
	claiming phase = iota
	// forwarded: the upstream may be running the request.
	forwarded
	// recording: the upstream has answered; the answer is being recorded.
	recording
	// releasing: the request did not reach the upstream and never will; the
	// claim is being released.
	releasing
	// settled: no work remains.
	settled
)

// Machine is the state machine of one attempt, at one sidecar, to run a request
// that is not idempotent. Its exported fields must be set before Start and must
// not change afterwards. It reads no clock and does no I/O: each method handles
// one event and returns the next step. It is not safe for concurrent use.
type Machine struct {
	Key Key
	// Record is the claim to write; its State is ignored.
	Record Record
	// Deadline is the time at which an attempt that was not forwarded is
	// abandoned.
	Deadline time.Time

	phase phase
	state peer.AttemptState
	// pending is the action under way.
	pending Action
	// writingState is the state that the transaction under way writes.
	writingState State
	// baseRevision is the revision of the row that the next write checks. held
	// reports whether the row at that revision is this attempt's claim.
	baseRevision ident.Revision
	held         bool
	// claimInDoubt reports whether a write of the claim was sent whose result
	// is unknown. The write may take effect at any time until the row leaves
	// baseRevision.
	claimInDoubt bool
	// foreignClaim reports whether the row was found to be a claim of another
	// attempt that may have run.
	foreignClaim bool
	// queriedRow is the row whose holder was asked. holderAbsent reports
	// whether that holder did not know the attempt or could not be asked.
	queriedRow   platform.Row
	holderAbsent bool
	// failures counts the consecutive failures of the table.
	failures int
	reply    Reply
	// reported is set once a step has carried the caller's result.
	reported bool
}

// State returns the state of the attempt that is reported to peers.
func (machine *Machine) State() peer.AttemptState {
	if machine.state == "" {
		return peer.AttemptWaiting
	}
	return machine.state
}

// Reply returns the upstream's answer. It is set only if State is
// peer.AttemptDone.
func (machine *Machine) Reply() Reply { return machine.reply }

// Waiting reports whether the action under way is Wait.
func (machine *Machine) Waiting() bool { return machine.pending == Wait }

// Settled reports whether the attempt has no work left.
func (machine *Machine) Settled() bool { return machine.phase == settled }

// Start begins the attempt with the write of its claim.
func (machine *Machine) Start(now time.Time) Step {
	return machine.claim(now)
}

// Committed handles a transaction that was applied at revision.
func (machine *Machine) Committed(now time.Time, revision ident.Revision) Step {
	machine.pending = NoAction
	machine.failures = 0
	if machine.writingState != Claimed {
		return machine.settle()
	}
	machine.markHeld(revision)
	if machine.phase == releasing {
		return machine.release()
	}
	return machine.forward(now)
}

// Conflicted handles a transaction that was not applied because its check
// failed. row is the current row, or nil if it is absent.
func (machine *Machine) Conflicted(now time.Time, row *platform.Row) Step {
	return machine.RowRead(now, row)
}

// Unavailable handles an action that the platform refused or did not receive.
// It had no effect.
func (machine *Machine) Unavailable(now time.Time) Step {
	machine.pending = NoAction
	return machine.retry(now)
}

// Lost handles a transaction that was sent and whose answer did not arrive. It
// may have been applied or may still be.
func (machine *Machine) Lost(now time.Time) Step {
	machine.pending = NoAction
	if machine.writingState == Claimed {
		machine.claimInDoubt = true
	}
	return machine.retry(now)
}

// RowRead handles a read of the claim's row. row is nil if it is absent.
func (machine *Machine) RowRead(now time.Time, row *platform.Row) Step {
	machine.pending = NoAction
	machine.failures = 0
	observed := machine.observe(row)
	switch machine.phase {
	case claiming:
		return machine.decide(now, observed)
	case releasing:
		return machine.decideRelease(observed)
	case recording:
		return machine.decideRecord(observed)
	}
	return Step{}
}

// Waited handles the end of a wait. It has no effect if no wait is under way.
func (machine *Machine) Waited(now time.Time) Step {
	if machine.pending != Wait {
		return Step{}
	}
	machine.pending = NoAction
	if machine.phase == claiming && !machine.claimInDoubt && !machine.foreignClaim {
		return machine.claim(now)
	}
	return machine.read()
}

// HolderAnswered handles the answer of the holder that was asked about its
// attempt. An error means that the holder could not be asked.
func (machine *Machine) HolderAnswered(now time.Time, reply peer.AttemptReply, err error) Step {
	machine.pending = NoAction
	if machine.phase != claiming {
		return machine.releaseOrSettle()
	}
	if err != nil {
		reply = peer.AttemptReply{State: peer.AttemptAbsent}
	}
	switch reply.State {
	case peer.AttemptAbandoned:
		machine.foreignClaim = false
		machine.baseRevision = machine.queriedRow.Revision
		return machine.claim(now)
	case peer.AttemptWaiting, peer.AttemptForwarded:
		return machine.refuse(now, result.KeyInProgress, "an earlier request with the key is still in progress")
	case peer.AttemptDone:
		return machine.handleHolderDone(now, reply.Answer)
	case peer.AttemptUnknown:
		return machine.refuse(now, result.OutcomeUnknown, "the upstream was lost while it ran an earlier request with the key")
	}
	return machine.handleHolderAbsent(now)
}

// UpstreamAnswered handles the upstream's answer to the forwarded request.
func (machine *Machine) UpstreamAnswered(_ time.Time, reply Reply) Step {
	machine.pending = NoAction
	machine.phase = recording
	machine.state = peer.AttemptDone
	machine.reply = reply
	return machine.withResult(machine.record(), Result{Reply: reply})
}

// UpstreamLost handles a forwarded request without an answer. A code whose
// outcome is NotRun means that no byte of it reached the upstream; with any
// other code it may have run.
func (machine *Machine) UpstreamLost(_ time.Time, err *result.Error) Step {
	machine.pending = NoAction
	if err.Code.Outcome() == result.NotRun {
		machine.phase = releasing
		machine.state = peer.AttemptAbandoned
		return machine.withResult(machine.release(), Result{Err: err})
	}
	machine.state = peer.AttemptUnknown
	return machine.withResult(machine.settle(), Result{Err: err})
}

// Expire handles the end of the deadline or the departure of the caller. An
// attempt that was not forwarded is permanently abandoned; a forwarded one
// continues in the background.
func (machine *Machine) Expire(now time.Time) Step {
	switch machine.phase {
	case claiming:
		return machine.abandon(now)
	case forwarded:
		return machine.withResult(Step{}, Result{Err: result.Errorf(result.DeadlineExpired, "the upstream has not answered yet")})
	}
	return Step{}
}

func (machine *Machine) pastDeadline(now time.Time) bool { return !now.Before(machine.Deadline) }
