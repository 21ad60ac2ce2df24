package claim_test

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

const sidecars = 3

// simulation holds several sidecars with their attempts, the table and the
// messages between them. Every message may be delayed, and every answer may be
// lost.
type simulation struct {
	now      time.Time
	table    table
	attempts []*simulatedAttempt
	frozen   [sidecars]bool
	// delayed holds transactions whose sender no longer waits for an answer but
	// that may still be applied.
	delayed []platform.Transaction
	runs    map[ident.IdempotencyKey]int
	// doubtful contains the keys of requests that may have run without an
	// answer, because the upstream was lost or a sidecar crashed.
	doubtful map[ident.IdempotencyKey]bool
}

// simulatedAttempt is one attempt at one sidecar.
type simulatedAttempt struct {
	machine claim.Machine
	sidecar int
	step    claim.Step
	crashed bool
	// forgotten reports whether the sidecar no longer holds the settled attempt
	// in memory.
	forgotten bool
	runs      int
	result    *claim.Result
	// committed reports whether the pending transaction has reached the table.
	// revision and err are its result.
	committed bool
	revision  ident.Revision
	err       error
}

func (simulation *simulation) attemptID(index int) ident.AttemptID {
	return ident.AttemptID(fmt.Sprint("attempt-", index))
}

// send starts an attempt at a sidecar.
func (simulation *simulation) send(t *rapid.T, key ident.IdempotencyKey, body ident.Fingerprint, sidecar int) *simulatedAttempt {
	attempt := &simulatedAttempt{sidecar: sidecar}
	attempt.machine = claim.Machine{
		Key:      claim.Key{Service: "print", Workspace: "w", Key: key},
		Deadline: simulation.now.Add(10 * time.Second),
		Record: claim.Record{
			Attempt: simulation.attemptID(len(simulation.attempts)),
			Sidecar: fmt.Sprint(sidecar),
			Body:    body,
		},
	}
	simulation.attempts = append(simulation.attempts, attempt)
	simulation.follow(t, attempt, attempt.machine.Start(simulation.now))
	return attempt
}

// follow records the step that a machine returned.
func (simulation *simulation) follow(t *rapid.T, attempt *simulatedAttempt, step claim.Step) {
	if step.Result != nil {
		if attempt.result != nil {
			t.Fatalf("got result %+v after %+v, want only one result", *step.Result, *attempt.result)
		}
		attempt.result = step.Result
	}
	if step.Action == claim.Forward && !simulation.now.Before(attempt.machine.Deadline) {
		t.Fatal("got a request forwarded after its deadline")
	}
	attempt.step = step
	attempt.committed = false
}

func (simulation *simulation) canAct(attempt *simulatedAttempt) bool {
	return !attempt.crashed && !simulation.frozen[attempt.sidecar] && !attempt.machine.Settled()
}

// act carries out the pending action of an attempt, or a part of it.
func (simulation *simulation) act(t *rapid.T, attempt *simulatedAttempt) {
	if !simulation.canAct(attempt) {
		return
	}
	switch attempt.step.Action {
	case claim.Commit:
		simulation.commit(t, attempt)
	case claim.Read:
		simulation.read(t, attempt)
	case claim.QueryHolder:
		simulation.ask(t, attempt)
	case claim.Forward:
		simulation.forward(t, attempt)
	case claim.Wait:
		if !simulation.now.Before(attempt.step.Until) {
			simulation.follow(t, attempt, attempt.machine.Waited(simulation.now))
		}
	}
}

// commit delivers the transaction to the table first and its answer to the
// sidecar on a later call. Either may be lost, and the transaction may be
// delayed.
func (simulation *simulation) commit(t *rapid.T, attempt *simulatedAttempt) {
	if attempt.committed {
		simulation.deliverOrLoseAnswer(t, attempt)
		return
	}
	switch rapid.SampledFrom([]string{"reach", "reach", "reach", "lose", "delay", "refuse"}).Draw(t, "commit") {
	case "reach":
		attempt.revision, attempt.err = simulation.table.commit(attempt.step.Transaction)
		attempt.committed = true
	case "lose":
		simulation.follow(t, attempt, attempt.machine.Lost(simulation.now))
	case "delay":
		simulation.delayed = append(simulation.delayed, attempt.step.Transaction)
		simulation.follow(t, attempt, attempt.machine.Lost(simulation.now))
	case "refuse":
		simulation.follow(t, attempt, attempt.machine.Unavailable(simulation.now))
	}
}

func (simulation *simulation) deliverOrLoseAnswer(t *rapid.T, attempt *simulatedAttempt) {
	if rapid.IntRange(0, 3).Draw(t, "lose answer") == 0 {
		simulation.follow(t, attempt, attempt.machine.Lost(simulation.now))
		return
	}
	simulation.deliverCommitResult(t, attempt)
}

// deliverCommitResult passes the result of the commit to the machine.
func (simulation *simulation) deliverCommitResult(t *rapid.T, attempt *simulatedAttempt) {
	var conflict *platform.ConflictError
	switch {
	case attempt.err == nil:
		simulation.follow(t, attempt, attempt.machine.Committed(simulation.now, attempt.revision))
	case errors.As(attempt.err, &conflict) && len(conflict.Conflict.Rows) > 0:
		simulation.follow(t, attempt, attempt.machine.Conflicted(simulation.now, &conflict.Conflict.Rows[0]))
	default:
		simulation.follow(t, attempt, attempt.machine.Conflicted(simulation.now, nil))
	}
}

func (simulation *simulation) read(t *rapid.T, attempt *simulatedAttempt) {
	if rapid.IntRange(0, 3).Draw(t, "lose read") == 0 {
		simulation.follow(t, attempt, attempt.machine.Unavailable(simulation.now))
		return
	}
	simulation.follow(t, attempt, attempt.machine.RowRead(simulation.now, simulation.table.read(attempt.machine.Key.Row())))
}

func (simulation *simulation) ask(t *rapid.T, attempt *simulatedAttempt) {
	reply, err := simulation.status(attempt.step.Holder)
	if rapid.IntRange(0, 4).Draw(t, "lose question") == 0 {
		err = errors.New("partitioned")
	}
	simulation.follow(t, attempt, attempt.machine.HolderAnswered(simulation.now, reply, err))
}

// status answers a query about an attempt. A restarted sidecar does not know
// the attempts of the previous process.
func (simulation *simulation) status(holder claim.Holder) (peer.AttemptReply, error) {
	for _, asked := range simulation.attempts {
		if asked.machine.Record.Attempt != holder.Attempt || asked.crashed || asked.forgotten {
			continue
		}
		if simulation.frozen[asked.sidecar] {
			return peer.AttemptReply{}, errors.New("timeout")
		}
		reply := peer.AttemptReply{State: asked.machine.State()}
		if reply.State == peer.AttemptDone {
			answer := asked.machine.Reply()
			reply.Answer = &peer.AttemptAnswer{Status: answer.Status, Body: answer.Body}
		}
		return reply, nil
	}
	return peer.AttemptReply{State: peer.AttemptAbsent}, nil
}

// run counts a run of the attempt's request at the upstream.
func (simulation *simulation) run(attempt *simulatedAttempt) {
	attempt.runs++
	simulation.runs[attempt.machine.Key.Key]++
}

func (simulation *simulation) forward(t *rapid.T, attempt *simulatedAttempt) {
	key := attempt.machine.Key.Key
	switch rapid.SampledFrom([]string{"answer", "answer", "ran and lost", "lost", "unreachable"}).Draw(t, "forward") {
	case "answer":
		simulation.run(attempt)
		reply := claim.Reply{Status: 201, Body: []byte(attempt.machine.Record.Attempt)}
		simulation.follow(t, attempt, attempt.machine.UpstreamAnswered(simulation.now, reply))
	case "ran and lost":
		simulation.run(attempt)
		simulation.doubtful[key] = true
		simulation.follow(t, attempt, attempt.machine.UpstreamLost(simulation.now, result.Errorf(result.OutcomeUnknown, "cut")))
	case "lost":
		simulation.doubtful[key] = true
		simulation.follow(t, attempt, attempt.machine.UpstreamLost(simulation.now, result.Errorf(result.OutcomeUnknown, "cut")))
	case "unreachable":
		simulation.follow(t, attempt, attempt.machine.UpstreamLost(simulation.now, result.Errorf(result.UpstreamUnreachable, "refused")))
	}
}

// crash ends the process of a sidecar. The upstream may have run a request that
// was being forwarded.
func (simulation *simulation) crash(t *rapid.T, sidecar int) {
	simulation.frozen[sidecar] = false
	for _, attempt := range simulation.attempts {
		if attempt.sidecar != sidecar || attempt.crashed {
			continue
		}
		if attempt.machine.Settled() {
			continue
		}
		attempt.crashed = true
		simulation.doubtful[attempt.machine.Key.Key] = true
		if attempt.step.Action == claim.Forward && rapid.Bool().Draw(t, "ran before the crash") {
			simulation.run(attempt)
		}
	}
}

// check compares the results that callers received with the runs at the
// upstream.
func (simulation *simulation) check(t *rapid.T) {
	for key, runs := range simulation.runs {
		if runs > 1 {
			t.Fatalf("got %d runs of key %s, want at most 1", runs, key)
		}
	}
	for i, attempt := range simulation.attempts {
		if attempt.result == nil {
			continue
		}
		if attempt.result.Err != nil {
			if attempt.result.Err.Code.Outcome() == result.NotRun && attempt.runs > 0 {
				t.Fatalf("got %v from attempt %d, but it ran", attempt.result.Err, i)
			}
			continue
		}
		if got, want := simulation.runs[attempt.machine.Key.Key], 1; got != want {
			t.Fatalf("got %d runs of a request with an answer, want %d", got, want)
		}
		simulation.checkReply(t, attempt)
	}
}

// checkReply checks that the caller received the answer of the attempt that
// ran, and that both attempts have the same body.
func (simulation *simulation) checkReply(t *rapid.T, answered *simulatedAttempt) {
	for _, attempt := range simulation.attempts {
		if attempt.runs == 0 || attempt.machine.Key != answered.machine.Key {
			continue
		}
		if got, want := string(answered.result.Reply.Body), string(attempt.machine.Record.Attempt); got != want {
			t.Fatalf("got the answer of %s, want that of %s", got, want)
		}
		if got, want := answered.machine.Record.Body, attempt.machine.Record.Body; got != want {
			t.Fatalf("got an answer to body %d, want one to body %d", want, got)
		}
	}
}
