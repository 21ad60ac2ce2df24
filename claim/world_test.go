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

// world holds several sidecars with their attempts, the table and the messages
// between them. Every message may be delayed, and every answer may be lost.
type world struct {
	now      time.Time
	table    table
	attempts []*actor
	frozen   [sidecars]bool
	// delayed holds transactions that were given up on but may take effect.
	delayed []platform.Transaction
	runs    map[ident.IdempotencyKey]int
	// doubtful says that for a key the upstream was lost or a sidecar crashed.
	doubtful map[ident.IdempotencyKey]bool
}

// actor is one attempt at one sidecar.
type actor struct {
	machine claim.Machine
	sidecar int
	step    claim.Step
	dead    bool
	// forgotten says that the settled attempt has left its sidecar's memory.
	forgotten bool
	ran       int
	result    *claim.Result
	// reached says that the pending commit was carried out, with this result.
	reached  bool
	revision ident.Revision
	err      error
}

func (world *world) name(index int) ident.AttemptID {
	return ident.AttemptID(fmt.Sprint("attempt-", index))
}

// send starts an attempt at a sidecar.
func (world *world) send(t *rapid.T, key ident.IdempotencyKey, body ident.Fingerprint, sidecar int) *actor {
	actor := &actor{sidecar: sidecar}
	actor.machine = claim.Machine{
		Key:      claim.Key{Service: "print", Workspace: "w", Key: key},
		Deadline: world.now.Add(10 * time.Second),
		Record: claim.Record{
			Attempt: world.name(len(world.attempts)),
			Sidecar: fmt.Sprint(sidecar),
			Body:    body,
		},
	}
	world.attempts = append(world.attempts, actor)
	world.follow(t, actor, actor.machine.Start(world.now))
	return actor
}

// follow takes in what a machine asked for.
func (world *world) follow(t *rapid.T, actor *actor, step claim.Step) {
	if step.Result != nil {
		if actor.result != nil {
			t.Fatalf("got %+v told after %+v, want one of them", *step.Result, *actor.result)
		}
		actor.result = step.Result
	}
	if step.Action == claim.Forward && !world.now.Before(actor.machine.Deadline) {
		t.Fatal("got a request forwarded after its deadline")
	}
	actor.step = step
	actor.reached = false
}

func (world *world) acting(actor *actor) bool {
	return !actor.dead && !world.frozen[actor.sidecar] && !actor.machine.Settled()
}

// act carries out the pending action of an attempt, or a part of it.
func (world *world) act(t *rapid.T, actor *actor) {
	if !world.acting(actor) {
		return
	}
	switch actor.step.Action {
	case claim.Commit:
		world.commit(t, actor)
	case claim.Read:
		world.read(t, actor)
	case claim.Ask:
		world.ask(t, actor)
	case claim.Forward:
		world.forward(t, actor)
	case claim.Wait:
		if !world.now.Before(actor.step.Until) {
			world.follow(t, actor, actor.machine.Waited(world.now))
		}
	}
}

// commit lets the transaction reach the table first and its answer the sidecar
// later, with every loss and delay in between.
func (world *world) commit(t *rapid.T, actor *actor) {
	if actor.reached {
		world.deliver(t, actor)
		return
	}
	switch rapid.SampledFrom([]string{"reach", "reach", "reach", "lose", "delay", "refuse"}).Draw(t, "commit") {
	case "reach":
		actor.revision, actor.err = world.table.commit(actor.step.Transaction)
		actor.reached = true
	case "lose":
		world.follow(t, actor, actor.machine.Lost(world.now))
	case "delay":
		world.delayed = append(world.delayed, actor.step.Transaction)
		world.follow(t, actor, actor.machine.Lost(world.now))
	case "refuse":
		world.follow(t, actor, actor.machine.Unavailable(world.now))
	}
}

func (world *world) deliver(t *rapid.T, actor *actor) {
	if rapid.IntRange(0, 3).Draw(t, "lose answer") == 0 {
		world.follow(t, actor, actor.machine.Lost(world.now))
		return
	}
	world.conclude(t, actor)
}

// conclude gives the machine the result of its commit.
func (world *world) conclude(t *rapid.T, actor *actor) {
	var conflict *platform.ConflictError
	switch {
	case actor.err == nil:
		world.follow(t, actor, actor.machine.Committed(world.now, actor.revision))
	case errors.As(actor.err, &conflict) && len(conflict.Conflict.Rows) > 0:
		world.follow(t, actor, actor.machine.Conflicted(world.now, &conflict.Conflict.Rows[0]))
	default:
		world.follow(t, actor, actor.machine.Conflicted(world.now, nil))
	}
}

func (world *world) read(t *rapid.T, actor *actor) {
	if rapid.IntRange(0, 3).Draw(t, "lose read") == 0 {
		world.follow(t, actor, actor.machine.Unavailable(world.now))
		return
	}
	world.follow(t, actor, actor.machine.RowRead(world.now, world.table.read(actor.machine.Key.Row())))
}

func (world *world) ask(t *rapid.T, actor *actor) {
	reply, err := world.status(actor.step.Holder)
	if rapid.IntRange(0, 4).Draw(t, "lose question") == 0 {
		err = errors.New("partitioned")
	}
	world.follow(t, actor, actor.machine.HolderAnswered(world.now, reply, err))
}

// status answers for the sidecar at an address: a restarted one does not know
// the attempts of the process before it.
func (world *world) status(holder claim.Holder) (peer.AttemptReply, error) {
	for _, asked := range world.attempts {
		if asked.machine.Record.Attempt != holder.Attempt || asked.dead || asked.forgotten {
			continue
		}
		if world.frozen[asked.sidecar] {
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

// run lets the upstream run the request, as the counter of the service sees it.
func (world *world) run(actor *actor) {
	actor.ran++
	world.runs[actor.machine.Key.Key]++
}

func (world *world) forward(t *rapid.T, actor *actor) {
	key := actor.machine.Key.Key
	switch rapid.SampledFrom([]string{"answer", "answer", "ran and lost", "lost", "unreachable"}).Draw(t, "forward") {
	case "answer":
		world.run(actor)
		reply := claim.Reply{Status: 201, Body: []byte(actor.machine.Record.Attempt)}
		world.follow(t, actor, actor.machine.UpstreamAnswered(world.now, reply))
	case "ran and lost":
		world.run(actor)
		world.doubtful[key] = true
		world.follow(t, actor, actor.machine.UpstreamLost(world.now, result.Errorf(result.OutcomeUnknown, "cut")))
	case "lost":
		world.doubtful[key] = true
		world.follow(t, actor, actor.machine.UpstreamLost(world.now, result.Errorf(result.OutcomeUnknown, "cut")))
	case "unreachable":
		world.follow(t, actor, actor.machine.UpstreamLost(world.now, result.Errorf(result.UpstreamUnreachable, "refused")))
	}
}

// crash kills a sidecar. The upstream may have run what was forwarded to it.
func (world *world) crash(t *rapid.T, sidecar int) {
	world.frozen[sidecar] = false
	for _, actor := range world.attempts {
		if actor.sidecar != sidecar || actor.dead {
			continue
		}
		if actor.machine.Settled() {
			continue
		}
		actor.dead = true
		world.doubtful[actor.machine.Key.Key] = true
		if actor.step.Action == claim.Forward && rapid.Bool().Draw(t, "ran before the crash") {
			world.run(actor)
		}
	}
}

// check compares what was told with what ran.
func (world *world) check(t *rapid.T) {
	for key, runs := range world.runs {
		if runs > 1 {
			t.Fatalf("got %d runs of key %s, want at most 1", runs, key)
		}
	}
	for i, actor := range world.attempts {
		if actor.result == nil {
			continue
		}
		if actor.result.Err != nil {
			if actor.result.Err.Code.Outcome() == result.NotRun && actor.ran > 0 {
				t.Fatalf("got %v told of attempt %d, but it ran", actor.result.Err, i)
			}
			continue
		}
		if got, want := world.runs[actor.machine.Key.Key], 1; got != want {
			t.Fatalf("got %d runs of a request told to be done, want %d", got, want)
		}
		world.checkReply(t, actor)
	}
}

// checkReply compares the answer with that of the attempt that ran, which must
// have had the same body.
func (world *world) checkReply(t *rapid.T, told *actor) {
	for _, actor := range world.attempts {
		if actor.ran == 0 || actor.machine.Key != told.machine.Key {
			continue
		}
		if got, want := string(told.result.Reply.Body), string(actor.machine.Record.Attempt); got != want {
			t.Fatalf("got the answer of %s, want that of %s", got, want)
		}
		if got, want := told.machine.Record.Body, actor.machine.Record.Body; got != want {
			t.Fatalf("got an answer to body %d, want one to body %d", want, got)
		}
	}
}
