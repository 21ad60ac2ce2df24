package claim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// maxConsecutiveFailures is the number of consecutive failures of the table
	// after which an attempt is abandoned before its deadline.
	maxConsecutiveFailures = 4
	// initialBackoff and maxBackoff limit the wait after a failure of the
	// table.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// minRetryAfter is the shortest retry-after time of a refused caller.
	minRetryAfter = time.Second
)

// observedRow is a row read from the table, with its decoded record.
type observedRow struct {
	present bool
	row     platform.Row
	record  Record
	// own reports whether the record names this attempt.
	own bool
	// valid reports whether the row's value could be decoded.
	valid bool
}

// observe decodes a row; nil means that the row is absent.
func (machine *Machine) observe(row *platform.Row) observedRow {
	if row == nil {
		return observedRow{}
	}
	observed := observedRow{present: true, row: *row}
	observed.valid = json.Unmarshal(row.Value, &observed.record) == nil
	observed.own = observed.valid && observed.record.Attempt == machine.Record.Attempt
	return observed
}

// decide returns the next step of an attempt that may still be forwarded.
func (machine *Machine) decide(now time.Time, observed observedRow) Step {
	if observed.own && observed.record.State == Claimed {
		machine.markHeld(observed.row.Revision)
		return machine.forward(now)
	}
	if observed.row.Revision == machine.baseRevision {
		return machine.claim(now)
	}
	// The row is no longer at the revision that this attempt's writes checked,
	// so none of them can take effect any more.
	machine.claimInDoubt = false
	machine.foreignClaim = false
	switch {
	case !observed.present:
		machine.baseRevision = 0
		return machine.claim(now)
	case !observed.valid:
		return machine.refuse(now, result.OutcomeUnknown, "the claim's record cannot be read")
	case observed.record.Body != machine.Record.Body:
		return machine.refuse(now, result.KeyReused, "the key was first used with another body")
	case observed.record.State == Done:
		return machine.withResult(machine.startRelease(), Result{Reply: observed.record.Reply(), Replayed: true})
	case observed.record.State == Released:
		machine.baseRevision = observed.row.Revision
		return machine.claim(now)
	}
	return machine.decideForeign(now, observed)
}

// decideForeign asks the holder of the claim about its attempt. If the holder
// was already found absent and the row has not changed since, the outcome is
// unknown.
func (machine *Machine) decideForeign(now time.Time, observed observedRow) Step {
	machine.foreignClaim = true
	if machine.holderAbsent && observed.row.Revision == machine.queriedRow.Revision {
		return machine.refuse(now, result.OutcomeUnknown, "the sidecar that holds the claim cannot be asked")
	}
	if machine.pastDeadline(now) {
		return machine.abandon(now)
	}
	machine.queriedRow = observed.row
	machine.holderAbsent = false
	holder := Holder{Address: observed.record.Sidecar, Attempt: observed.record.Attempt}
	return machine.issue(Step{Action: QueryHolder, Holder: holder})
}

// handleHolderAbsent reads the row again, because the holder may have recorded
// the answer and stopped between the read and the query.
func (machine *Machine) handleHolderAbsent(now time.Time) Step {
	if machine.pastDeadline(now) {
		return machine.abandon(now)
	}
	machine.holderAbsent = true
	return machine.read()
}

// handleHolderDone returns the answer that the holder has in memory. A holder
// that no longer has the answer has recorded it, so the row is read again.
func (machine *Machine) handleHolderDone(now time.Time, answer *peer.AttemptAnswer) Step {
	if answer == nil {
		return machine.retry(now)
	}
	reply := Reply{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	return machine.withResult(machine.startRelease(), Result{Reply: reply, Replayed: true})
}

// decideRelease returns the next step of an abandoned attempt whose claim may
// have to be released.
func (machine *Machine) decideRelease(observed observedRow) Step {
	if observed.own {
		if observed.record.State != Claimed {
			return machine.settle()
		}
		machine.markHeld(observed.row.Revision)
		return machine.release()
	}
	if observed.row.Revision != machine.baseRevision {
		return machine.settle()
	}
	return machine.releaseOrSettle()
}

// decideRecord returns the next step of an attempt whose answer may not have
// been recorded yet.
func (machine *Machine) decideRecord(observed observedRow) Step {
	if !observed.own || observed.record.State == Done {
		return machine.settle()
	}
	machine.markHeld(observed.row.Revision)
	return machine.record()
}

// markHeld records that the row at revision is this attempt's claim.
func (machine *Machine) markHeld(revision ident.Revision) {
	machine.baseRevision = revision
	machine.held = true
}

// claim writes the claim over the row at baseRevision, or abandons the attempt
// if its deadline has passed.
func (machine *Machine) claim(now time.Time) Step {
	if machine.pastDeadline(now) {
		return machine.abandon(now)
	}
	return machine.write(machine.Record.withState(Claimed))
}

// forward sends the request to the upstream, or abandons the attempt if its
// deadline has passed.
func (machine *Machine) forward(now time.Time) Step {
	if machine.pastDeadline(now) {
		return machine.abandon(now)
	}
	machine.phase = forwarded
	machine.state = peer.AttemptForwarded
	return machine.issue(Step{Action: Forward})
}

func (machine *Machine) record() Step {
	return machine.write(machine.Record.withReply(machine.reply))
}

// release writes a record over the row at baseRevision which says that the
// attempt never runs. If that row is not this attempt's claim, the write
// changes its revision, so that a delayed write of the claim can no longer take
// effect.
func (machine *Machine) release() Step {
	return machine.write(machine.Record.withState(Released))
}

func (machine *Machine) write(record Record) Step {
	machine.writingState = record.State
	return machine.issue(Step{Action: Commit, Transaction: record.transaction(machine.Key.Row(), machine.baseRevision)})
}

func (machine *Machine) read() Step { return machine.issue(Step{Action: Read}) }

// retry waits before the table is tried again. An attempt that was not
// forwarded is abandoned after maxConsecutiveFailures or at its deadline. An
// abandoned attempt with no claim to release is settled.
func (machine *Machine) retry(now time.Time) Step {
	machine.failures++
	if machine.phase == claiming && (machine.failures >= maxConsecutiveFailures || machine.pastDeadline(now)) {
		return machine.abandon(now)
	}
	if machine.phase == releasing && !machine.claimInDoubt && !machine.held {
		return machine.settle()
	}
	backoff := min(initialBackoff<<min(machine.failures-1, 20), maxBackoff)
	return machine.issue(Step{Action: Wait, Until: now.Add(backoff + machine.jitter(backoff))})
}

// abandon permanently ends an attempt that was not forwarded.
func (machine *Machine) abandon(now time.Time) Step {
	if machine.foreignClaim {
		return machine.refuse(now, result.OutcomeUnknown, "the holder of the claim did not answer before the deadline")
	}
	return machine.refuse(now, result.ClaimUnavailable, "the claim was not confirmed in time")
}

// refuse returns an error with code to the caller and permanently ends the
// attempt.
func (machine *Machine) refuse(now time.Time, code result.Code, detail string) Step {
	err := result.Errorf(code, "%s", detail)
	if code != result.KeyReused {
		err.RetryAt = now.Add(minRetryAfter + machine.jitter(minRetryAfter))
	}
	return machine.withResult(machine.startRelease(), Result{Err: err})
}

// startRelease ensures that the attempt is never forwarded, and releases its
// claim if it holds one or a write of it is in doubt. If an action other than
// Wait is under way, the release follows its result.
func (machine *Machine) startRelease() Step {
	machine.phase = releasing
	machine.state = peer.AttemptAbandoned
	if machine.pending == Wait {
		machine.pending = NoAction
	}
	if machine.pending != NoAction {
		return Step{}
	}
	return machine.releaseOrSettle()
}

// releaseOrSettle releases the claim of an abandoned attempt, or settles the
// attempt if it has no claim to release.
func (machine *Machine) releaseOrSettle() Step {
	if machine.held || machine.claimInDoubt {
		return machine.release()
	}
	return machine.settle()
}

func (machine *Machine) settle() Step {
	machine.phase = settled
	return Step{}
}

// issue records that the action of step is under way.
func (machine *Machine) issue(step Step) Step {
	machine.pending = step.Action
	return step
}

// withResult adds the caller's result to step, unless the caller already has
// one.
func (machine *Machine) withResult(step Step, outcome Result) Step {
	if machine.reported {
		return step
	}
	machine.reported = true
	step.Result = &outcome
	return step
}

// jitter returns a duration below limit, to spread attempts over time. It is
// the same on each call for one attempt.
func (machine *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(machine.Record.Attempt)) % uint64(limit))
}
