package claim

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// phase is how far an attempt has come.
type phase int

const (
	// claiming: the attempt may still be forwarded.
	claiming phase = iota
	// forwarded: the upstream may be running the request.
	forwarded
	// recording: the upstream answered; the answer is being recorded.
	recording
	// releasing: the attempt was not forwarded and never will be; its claim is
	// being taken back.
	releasing
	// settled: nothing is left to do.
	settled
)

// Machine is one attempt to run a request that is not idempotent, at one
// sidecar. Its exported fields are set before Start and not changed after. It
// reads no clock and does no I/O: each method takes one event in and returns
// what to do next. It is not safe for concurrent use.
type Machine struct {
	Key Key
	// Record is the claim to write; its state is ignored.
	Record Record
	// Deadline is when an attempt that was not forwarded is abandoned.
	Deadline time.Time

	phase phase
	state peer.AttemptState
	// pending is the action under way.
	pending Action
	// writing is the state that the transaction under way writes.
	writing State
	// base is the revision of the row that the next write checks, and held
	// whether the row at base is this attempt's claim.
	base ident.Revision
	held bool
	// open says that a write of the claim was sent whose result is not known:
	// it may take effect at any time until the row leaves revision base.
	open bool
	// foreign says that another attempt's claim was seen that may have run.
	foreign bool
	// asked is the row whose holder was asked, and gone whether that holder
	// was not there any more.
	asked    platform.Row
	gone     bool
	failures int
	reply    Reply
	told     bool
}

// State returns what a peer is told of the attempt.
func (machine *Machine) State() peer.AttemptState {
	if machine.state == "" {
		return peer.AttemptWaiting
	}
	return machine.state
}

// Reply returns the upstream's answer of an attempt that is Done.
func (machine *Machine) Reply() Reply { return machine.reply }

// Waiting reports whether the last step asked to wait and nothing came since.
func (machine *Machine) Waiting() bool { return machine.pending == Wait }

// Settled reports whether nothing is left to do for the attempt.
func (machine *Machine) Settled() bool { return machine.phase == settled }

// Start begins the attempt.
func (machine *Machine) Start(now time.Time) Step {
	return machine.claim(now)
}

// Committed tells that the transaction was applied at revision.
func (machine *Machine) Committed(now time.Time, revision ident.Revision) Step {
	machine.pending = Nothing
	machine.failures = 0
	if machine.writing != Claimed {
		return machine.settle()
	}
	machine.own(revision)
	if machine.phase == releasing {
		return machine.release()
	}
	return machine.forward(now)
}

// Conflicted tells that the transaction was not applied, because of the row as
// it is now; nil means that it is absent.
func (machine *Machine) Conflicted(now time.Time, row *platform.Row) Step {
	return machine.RowRead(now, row)
}

// Unavailable tells that the action was refused or did not reach the platform:
// nothing was done.
func (machine *Machine) Unavailable(now time.Time) Step {
	machine.pending = Nothing
	return machine.again(now)
}

// Lost tells that the transaction was sent and its answer did not arrive.
func (machine *Machine) Lost(now time.Time) Step {
	machine.pending = Nothing
	if machine.writing == Claimed {
		machine.open = true
	}
	return machine.again(now)
}

// RowRead tells what the claim's row is now; nil means that it is absent.
func (machine *Machine) RowRead(now time.Time, row *platform.Row) Step {
	machine.pending = Nothing
	machine.failures = 0
	seen := machine.see(row)
	switch machine.phase {
	case claiming:
		return machine.decide(now, seen)
	case releasing:
		return machine.decideRelease(seen)
	case recording:
		return machine.decideRecord(seen)
	}
	return Step{}
}

// Waited tells that the time Step.Until has come.
func (machine *Machine) Waited(now time.Time) Step {
	if machine.pending != Wait {
		return Step{}
	}
	machine.pending = Nothing
	if machine.phase == claiming && !machine.open && !machine.foreign {
		return machine.claim(now)
	}
	return machine.read()
}

// HolderAnswered tells what the asked holder knows of its attempt. An error
// means that it could not be asked.
func (machine *Machine) HolderAnswered(now time.Time, reply peer.AttemptReply, err error) Step {
	machine.pending = Nothing
	if machine.phase != claiming {
		return machine.settleOrRelease()
	}
	if err != nil {
		reply = peer.AttemptReply{State: peer.AttemptAbsent}
	}
	switch reply.State {
	case peer.AttemptAbandoned:
		machine.foreign = false
		machine.base = machine.asked.Revision
		return machine.claim(now)
	case peer.AttemptWaiting, peer.AttemptForwarded:
		return machine.refuse(now, result.KeyInProgress, "an earlier request with the key is at another sidecar")
	case peer.AttemptDone:
		return machine.holderDone(now, reply.Answer)
	case peer.AttemptUnknown:
		return machine.refuse(now, result.OutcomeUnknown, "the upstream was lost while it ran an earlier request with the key")
	}
	return machine.holderGone(now)
}

// UpstreamAnswered tells that the request ran and what the upstream answered.
func (machine *Machine) UpstreamAnswered(_ time.Time, reply Reply) Step {
	machine.pending = Nothing
	machine.phase = recording
	machine.state = peer.AttemptDone
	machine.reply = reply
	return machine.tell(machine.record(), Result{Reply: reply})
}

// UpstreamLost tells that the upstream gave no answer. A code whose outcome is
// NotRun means that no byte reached it; any other that it may have run.
func (machine *Machine) UpstreamLost(_ time.Time, err *result.Error) Step {
	machine.pending = Nothing
	if err.Code.Outcome() == result.NotRun {
		machine.phase = releasing
		machine.state = peer.AttemptAbandoned
		return machine.tell(machine.release(), Result{Err: err})
	}
	machine.state = peer.AttemptUnknown
	return machine.tell(machine.settle(), Result{Err: err})
}

// Expire tells that the deadline has passed or that the caller has gone. An
// attempt that was not forwarded is abandoned for good; a forwarded one goes on.
func (machine *Machine) Expire(now time.Time) Step {
	switch machine.phase {
	case claiming:
		return machine.abandon(now)
	case forwarded:
		return machine.tell(Step{}, Result{Err: result.Errorf(result.DeadlineExpired, "the upstream has not answered")})
	}
	return Step{}
}

func (machine *Machine) late(now time.Time) bool { return !now.Before(machine.Deadline) }
