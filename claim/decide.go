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
	// maxFailures is the most failures of the table in a row before an attempt
	// is abandoned ahead of its deadline.
	maxFailures = 4
	// firstBackoff and maxBackoff bound the wait after a failure of the table.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// comeBack is the least time after which a refused caller may come back.
	comeBack = time.Second
)

// seenRow is a row of the table with its record.
type seenRow struct {
	present bool
	row     platform.Row
	record  Record
	// mine says that the record names this attempt.
	mine bool
	// valid says that the value could be decoded.
	valid bool
}

func (machine *Machine) see(row *platform.Row) seenRow {
	if row == nil {
		return seenRow{}
	}
	seen := seenRow{present: true, row: *row}
	seen.valid = json.Unmarshal(row.Value, &seen.record) == nil
	seen.mine = seen.valid && seen.record.Attempt == machine.Record.Attempt
	return seen
}

// decide says what follows from the row for an attempt that may still be
// forwarded.
func (machine *Machine) decide(now time.Time, seen seenRow) Step {
	if seen.mine && seen.record.State == Claimed {
		machine.own(seen.row.Revision)
		return machine.forward(now)
	}
	if seen.row.Revision == machine.base {
		return machine.claim(now)
	}
	// The row has left the revision that this attempt's writes checked, so
	// none of them can take effect any more.
	machine.open = false
	machine.foreign = false
	switch {
	case !seen.present:
		machine.base = 0
		return machine.claim(now)
	case !seen.valid:
		return machine.refuse(now, result.OutcomeUnknown, "the claim's record cannot be read")
	case seen.record.Body != machine.Record.Body:
		return machine.refuse(now, result.KeyReused, "the key was first used with another body")
	case seen.record.State == Done:
		return machine.tell(machine.giveUp(), Result{Reply: seen.record.Reply(), Replayed: true})
	case seen.record.State == Released:
		machine.base = seen.row.Revision
		return machine.claim(now)
	}
	return machine.decideForeign(now, seen)
}

// decideForeign asks the attempt that holds the claim, unless that holder was
// found gone before and the row has stayed the same.
func (machine *Machine) decideForeign(now time.Time, seen seenRow) Step {
	machine.foreign = true
	if machine.gone && seen.row.Revision == machine.asked.Revision {
		return machine.refuse(now, result.OutcomeUnknown, "the sidecar that holds the claim cannot be asked")
	}
	if machine.late(now) {
		return machine.abandon(now)
	}
	machine.asked = seen.row
	machine.gone = false
	holder := Holder{Address: seen.record.Sidecar, Attempt: seen.record.Attempt}
	return machine.do(Step{Action: Ask, Holder: holder})
}

// holderGone reads the row once more: the holder may have recorded the answer
// and left between the read and the question.
func (machine *Machine) holderGone(now time.Time) Step {
	if machine.late(now) {
		return machine.abandon(now)
	}
	machine.gone = true
	return machine.read()
}

// holderDone serves the answer from the holder's memory. A holder that does not
// have it any more has recorded it, so the row says.
func (machine *Machine) holderDone(now time.Time, answer *peer.AttemptAnswer) Step {
	if answer == nil {
		return machine.again(now)
	}
	reply := Reply{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	return machine.tell(machine.giveUp(), Result{Reply: reply, Replayed: true})
}

// decideRelease says what is left to do for an attempt that was abandoned.
func (machine *Machine) decideRelease(seen seenRow) Step {
	if seen.mine {
		if seen.record.State != Claimed {
			return machine.settle()
		}
		machine.own(seen.row.Revision)
		return machine.release()
	}
	if seen.row.Revision != machine.base {
		return machine.settle()
	}
	return machine.settleOrRelease()
}

// decideRecord says what is left to do for an attempt whose answer is not known
// to be recorded.
func (machine *Machine) decideRecord(seen seenRow) Step {
	if !seen.mine || seen.record.State == Done {
		return machine.settle()
	}
	machine.own(seen.row.Revision)
	return machine.record()
}

// own notes that the row at revision is this attempt's claim.
func (machine *Machine) own(revision ident.Revision) {
	machine.base = revision
	machine.held = true
}

// claim writes the claim over the row at base, unless it is too late for that.
func (machine *Machine) claim(now time.Time) Step {
	if machine.late(now) {
		return machine.abandon(now)
	}
	return machine.write(machine.Record.in(Claimed))
}

// forward sends the request on, unless it is too late for that.
func (machine *Machine) forward(now time.Time) Step {
	if machine.late(now) {
		return machine.abandon(now)
	}
	machine.phase = forwarded
	machine.state = peer.AttemptForwarded
	return machine.do(Step{Action: Forward})
}

func (machine *Machine) record() Step {
	return machine.write(machine.Record.done(machine.reply))
}

// release writes over the row at base that the attempt will never run. Where
// the row is not this attempt's claim, the write makes sure that a delayed
// write of the claim cannot take effect any more.
func (machine *Machine) release() Step {
	return machine.write(machine.Record.in(Released))
}

func (machine *Machine) write(record Record) Step {
	machine.writing = record.State
	return machine.do(Step{Action: Commit, Transaction: record.write(machine.Key.Row(), machine.base)})
}

func (machine *Machine) read() Step { return machine.do(Step{Action: Read}) }

// again tries the table again after a wait, and abandons an attempt that was
// not forwarded once it has failed too often.
func (machine *Machine) again(now time.Time) Step {
	machine.failures++
	if machine.phase == claiming && (machine.failures >= maxFailures || machine.late(now)) {
		return machine.abandon(now)
	}
	if machine.phase == releasing && !machine.open && !machine.held {
		return machine.settle()
	}
	backoff := min(firstBackoff<<min(machine.failures-1, 20), maxBackoff)
	return machine.do(Step{Action: Wait, Until: now.Add(backoff + machine.jitter(backoff))})
}

// abandon gives up an attempt that was not forwarded, for good.
func (machine *Machine) abandon(now time.Time) Step {
	if machine.foreign {
		return machine.refuse(now, result.OutcomeUnknown, "the holder of the claim did not answer before the deadline")
	}
	return machine.refuse(now, result.ClaimUnavailable, "the claim was not confirmed in time")
}

// refuse tells the caller code and gives the attempt up for good.
func (machine *Machine) refuse(now time.Time, code result.Code, detail string) Step {
	err := result.Errorf(code, "%s", detail)
	if code != result.KeyReused {
		err.RetryAt = now.Add(comeBack + machine.jitter(comeBack))
	}
	return machine.tell(machine.giveUp(), Result{Err: err})
}

// giveUp makes sure that the attempt is never forwarded, and takes its claim
// back if there is or may be one.
func (machine *Machine) giveUp() Step {
	machine.phase = releasing
	machine.state = peer.AttemptAbandoned
	if machine.pending == Wait {
		machine.pending = Nothing
	}
	if machine.pending != Nothing {
		return Step{}
	}
	return machine.settleOrRelease()
}

// settleOrRelease ends an abandoned attempt that has no claim to take back.
func (machine *Machine) settleOrRelease() Step {
	if machine.held || machine.open {
		return machine.release()
	}
	return machine.settle()
}

func (machine *Machine) settle() Step {
	machine.phase = settled
	return Step{}
}

func (machine *Machine) do(step Step) Step {
	machine.pending = step.Action
	return step
}

// tell adds what the caller is told to step, unless it was told before.
func (machine *Machine) tell(step Step, outcome Result) Step {
	if machine.told {
		return step
	}
	machine.told = true
	step.Result = &outcome
	return step
}

// jitter spreads the attempts over a time, the same each time for one attempt.
func (machine *Machine) jitter(over time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(machine.Record.Attempt)) % uint64(over))
}
