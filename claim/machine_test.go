package claim_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

func newSimulation() *simulation {
	return &simulation{
		now:      time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC),
		runs:     make(map[ident.IdempotencyKey]int),
		doubtful: make(map[ident.IdempotencyKey]bool),
	}
}

// TestAtMostOnce guards against requests that run twice and against results
// that contradict the runs. Messages are lost or delayed, and sidecars freeze
// or crash, in any order. A key must run at most once; an attempt whose result
// is "not run" must not have run, and an answer must come from exactly one run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation()
		sidecar := rapid.IntRange(0, sidecars-1)
		pick := func(t *rapid.T) *simulatedAttempt {
			if len(simulation.attempts) == 0 {
				t.Skip("no attempt")
			}
			return simulation.attempts[rapid.IntRange(0, len(simulation.attempts)-1).Draw(t, "attempt")]
		}
		act := func(t *rapid.T) { simulation.act(t, pick(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { simulation.check(t) },
			"send": func(t *rapid.T) {
				key := rapid.SampledFrom([]ident.IdempotencyKey{"k1", "k1", "k1", "k2"}).Draw(t, "key")
				body := rapid.SampledFrom([]ident.Fingerprint{1, 1, 1, 2}).Draw(t, "body")
				simulation.send(t, key, body, sidecar.Draw(t, "sidecar"))
			},
			"act":   act,
			"act 2": act,
			"act 3": act,
			"act 4": act,
			"take effect": func(t *rapid.T) {
				if len(simulation.delayed) == 0 {
					t.Skip("nothing is delayed")
				}
				simulation.applyDelayed(rapid.IntRange(0, len(simulation.delayed)-1).Draw(t, "delayed"))
			},
			"forget": func(t *rapid.T) {
				attempt := pick(t)
				attempt.forgotten = attempt.machine.Settled()
			},
			"expire": func(t *rapid.T) {
				attempt := pick(t)
				if !simulation.canAct(attempt) {
					t.Skip("not acting")
				}
				simulation.expire(t, attempt)
			},
			"tick": func(t *rapid.T) {
				simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "spared") > 0 {
					t.Skip("spared")
				}
				simulation.crash(t, sidecar.Draw(t, "sidecar"))
			},
			"freeze": func(t *rapid.T) {
				frozen := sidecar.Draw(t, "sidecar")
				simulation.frozen[frozen] = !simulation.frozen[frozen]
			},
		})
		simulation.heal(t)
	})
}

// expire ends the deadline of an attempt or lets its caller leave.
func (simulation *simulation) expire(t *rapid.T, attempt *simulatedAttempt) {
	step := attempt.machine.Expire(simulation.now)
	if step.Action == claim.NoAction && !attempt.machine.Settled() {
		// The action under way continues; only the caller receives a result.
		pending, committed := attempt.step, attempt.committed
		simulation.follow(t, attempt, step)
		attempt.step, attempt.committed = pending, committed
		return
	}
	simulation.follow(t, attempt, step)
}

// heal ends all faults and checks that every attempt settles. A key must accept
// a new request unless it is unknown whether it ran.
func (simulation *simulation) heal(t *rapid.T) {
	simulation.frozen = [sidecars]bool{}
	simulation.settle(t)
	for len(simulation.delayed) > 0 {
		simulation.applyDelayed(0)
	}
	for _, attempt := range simulation.attempts {
		attempt.forgotten = true
	}
	simulation.check(t)
	for key := range simulation.keys() {
		last := simulation.send(t, key, simulation.body(key), 0)
		simulation.settle(t)
		simulation.check(t)
		if last.result.Err == nil || simulation.doubtful[key] {
			continue
		}
		t.Fatalf("got %v for key %s after all faults ended, want an answer", last.result.Err, key)
	}
}

// applyDelayed lets a delayed transaction reach the table.
func (simulation *simulation) applyDelayed(index int) {
	_, _ = simulation.table.commit(simulation.delayed[index])
	simulation.delayed = append(simulation.delayed[:index], simulation.delayed[index+1:]...)
}

func (simulation *simulation) keys() map[ident.IdempotencyKey]bool {
	keys := make(map[ident.IdempotencyKey]bool)
	for _, attempt := range simulation.attempts {
		keys[attempt.machine.Key.Key] = true
	}
	return keys
}

// body returns the body of the attempt that the key's row names, or 1 if there
// is none.
func (simulation *simulation) body(key ident.IdempotencyKey) ident.Fingerprint {
	row := simulation.table.read(claim.Key{Service: "print", Workspace: "w", Key: key}.Row())
	for _, attempt := range simulation.attempts {
		if row != nil && bytes.Contains(row.Value, fmt.Appendf(nil, "%q", attempt.machine.Record.Attempt)) {
			return attempt.machine.Record.Body
		}
	}
	return 1
}

// settle carries out all actions without faults until no attempt has work left.
func (simulation *simulation) settle(t *rapid.T) {
	for range 1000 {
		simulation.now = simulation.now.Add(time.Second)
		left := false
		for _, attempt := range simulation.attempts {
			if simulation.canAct(attempt) {
				left = true
				simulation.actWithoutFault(t, attempt)
			}
		}
		if !left {
			return
		}
	}
	t.Fatal("got attempts that did not settle within 1000 rounds, want all settled")
}

// actWithoutFault carries out the pending action of an attempt without a fault.
func (simulation *simulation) actWithoutFault(t *rapid.T, attempt *simulatedAttempt) {
	switch attempt.step.Action {
	case claim.Commit:
		if !attempt.committed {
			attempt.revision, attempt.err = simulation.table.commit(attempt.step.Transaction)
		}
		simulation.deliverCommitResult(t, attempt)
	case claim.Read:
		simulation.follow(t, attempt, attempt.machine.RowRead(simulation.now, simulation.table.read(attempt.machine.Key.Row())))
	case claim.QueryHolder:
		reply, err := simulation.status(attempt.step.Holder)
		simulation.follow(t, attempt, attempt.machine.HolderAnswered(simulation.now, reply, err))
	case claim.Forward:
		simulation.run(attempt)
		reply := claim.Reply{Status: 201, Body: []byte(attempt.machine.Record.Attempt)}
		simulation.follow(t, attempt, attempt.machine.UpstreamAnswered(simulation.now, reply))
	case claim.Wait:
		simulation.now = simulation.now.Add(max(0, attempt.step.Until.Sub(simulation.now)))
		simulation.follow(t, attempt, attempt.machine.Waited(simulation.now))
	}
}

// TestSecondRequest checks the result code of a second request with the same
// key for each state in which the first can be.
func TestSecondRequest(t *testing.T) {
	lost := func(code result.Code) func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
		return func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
			simulation.actWithoutFault(t, first)
			simulation.follow(t, first, first.machine.UpstreamLost(simulation.now, result.Errorf(code, "cut")))
		}
	}
	tests := []struct {
		name  string
		first func(t *rapid.T, simulation *simulation, first *simulatedAttempt)
		body  ident.Fingerprint
		want  result.Code
	}{
		{"done", func(t *rapid.T, simulation *simulation, _ *simulatedAttempt) { simulation.settle(t) }, 1, result.OK},
		{"done with another body", func(t *rapid.T, simulation *simulation, _ *simulatedAttempt) { simulation.settle(t) }, 2, result.KeyReused},
		{"running", func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
			simulation.actWithoutFault(t, first)
		}, 1, result.KeyInProgress},
		{"claimed without an answer", func(_ *rapid.T, simulation *simulation, first *simulatedAttempt) {
			_, _ = simulation.table.commit(first.step.Transaction)
		}, 1, result.KeyInProgress},
		{"answered but not recorded", func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
			simulation.actWithoutFault(t, first)
			simulation.actWithoutFault(t, first)
		}, 1, result.OK},
		{"claimed but abandoned", func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
			_, _ = simulation.table.commit(first.step.Transaction)
			simulation.expire(t, first)
		}, 1, result.OK},
		{"upstream lost", lost(result.OutcomeUnknown), 1, result.OutcomeUnknown},
		{"upstream unreachable", lost(result.UpstreamUnreachable), 1, result.OK},
		{"sidecar crashed", func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
			simulation.actWithoutFault(t, first)
			simulation.crash(t, first.sidecar)
		}, 1, result.OutcomeUnknown},
		{"sidecar frozen", func(t *rapid.T, simulation *simulation, first *simulatedAttempt) {
			simulation.actWithoutFault(t, first)
			simulation.frozen[first.sidecar] = true
		}, 1, result.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				simulation := newSimulation()
				test.first(t, simulation, simulation.send(t, "k", 1, 0))
				second := simulation.send(t, "k", test.body, 1)
				for second.result == nil {
					simulation.actWithoutFault(t, second)
				}
				got := result.OK
				if second.result.Err != nil {
					got = second.result.Err.Code
				}
				if got != test.want {
					t.Fatalf("got %s, want %s", got.Name(), test.want.Name())
				}
				simulation.check(t)
			})
		})
	}
}
