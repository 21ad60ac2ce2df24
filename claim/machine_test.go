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

func newWorld() *world {
	return &world{
		now:      time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC),
		runs:     make(map[ident.IdempotencyKey]int),
		doubtful: make(map[ident.IdempotencyKey]bool),
	}
}

// Whatever is lost, late, frozen or crashed, in whatever order: at most one run
// for a key, no run where "not run" was told, one run where done was told.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld()
		sidecar := rapid.IntRange(0, sidecars-1)
		pick := func(t *rapid.T) *actor {
			if len(world.attempts) == 0 {
				t.Skip("no attempt")
			}
			return world.attempts[rapid.IntRange(0, len(world.attempts)-1).Draw(t, "attempt")]
		}
		act := func(t *rapid.T) { world.act(t, pick(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { world.check(t) },
			"send": func(t *rapid.T) {
				key := rapid.SampledFrom([]ident.IdempotencyKey{"k1", "k1", "k1", "k2"}).Draw(t, "key")
				body := rapid.SampledFrom([]ident.Fingerprint{1, 1, 1, 2}).Draw(t, "body")
				world.send(t, key, body, sidecar.Draw(t, "sidecar"))
			},
			"act":   act,
			"act 2": act,
			"act 3": act,
			"act 4": act,
			"take effect": func(t *rapid.T) {
				if len(world.delayed) == 0 {
					t.Skip("nothing is delayed")
				}
				world.takeEffect(rapid.IntRange(0, len(world.delayed)-1).Draw(t, "delayed"))
			},
			"forget": func(t *rapid.T) {
				actor := pick(t)
				actor.forgotten = actor.machine.Settled()
			},
			"expire": func(t *rapid.T) {
				actor := pick(t)
				if !world.acting(actor) {
					t.Skip("not acting")
				}
				world.expire(t, actor)
			},
			"tick": func(t *rapid.T) {
				world.now = world.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "spared") > 0 {
					t.Skip("spared")
				}
				world.crash(t, sidecar.Draw(t, "sidecar"))
			},
			"freeze": func(t *rapid.T) {
				frozen := sidecar.Draw(t, "sidecar")
				world.frozen[frozen] = !world.frozen[frozen]
			},
		})
		world.heal(t)
	})
}

// expire passes the deadline of an attempt, or its caller goes away.
func (world *world) expire(t *rapid.T, actor *actor) {
	step := actor.machine.Expire(world.now)
	if step.Action == claim.Nothing && !actor.machine.Settled() {
		// The action under way goes on; only the caller is told something.
		pending, reached := actor.step, actor.reached
		world.follow(t, actor, step)
		actor.step, actor.reached = pending, reached
		return
	}
	world.follow(t, actor, step)
}

// heal ends all faults and checks that every attempt comes to its end, and that
// no key is blocked for good unless nobody can tell whether it ran.
func (world *world) heal(t *rapid.T) {
	world.frozen = [sidecars]bool{}
	world.settle(t)
	for len(world.delayed) > 0 {
		world.takeEffect(0)
	}
	for _, actor := range world.attempts {
		actor.forgotten = true
	}
	world.check(t)
	for key := range world.keys() {
		last := world.send(t, key, world.body(key), 0)
		world.settle(t)
		world.check(t)
		if last.result.Err == nil || world.doubtful[key] {
			continue
		}
		t.Fatalf("got %v for key %s after the faults, want its answer", last.result.Err, key)
	}
}

// takeEffect lets a delayed transaction reach the table.
func (world *world) takeEffect(index int) {
	_, _ = world.table.commit(world.delayed[index])
	world.delayed = append(world.delayed[:index], world.delayed[index+1:]...)
}

func (world *world) keys() map[ident.IdempotencyKey]bool {
	keys := make(map[ident.IdempotencyKey]bool)
	for _, actor := range world.attempts {
		keys[actor.machine.Key.Key] = true
	}
	return keys
}

// body returns the body under which the key's row was first written, or that of
// its first attempt.
func (world *world) body(key ident.IdempotencyKey) ident.Fingerprint {
	row := world.table.read(claim.Key{Service: "print", Workspace: "w", Key: key}.Row())
	for _, actor := range world.attempts {
		if row != nil && bytes.Contains(row.Value, fmt.Appendf(nil, "%q", actor.machine.Record.Attempt)) {
			return actor.machine.Record.Body
		}
	}
	return 1
}

// settle carries out everything without faults.
func (world *world) settle(t *rapid.T) {
	for range 1000 {
		world.now = world.now.Add(time.Second)
		left := false
		for _, actor := range world.attempts {
			if world.acting(actor) {
				left = true
				world.actWell(t, actor)
			}
		}
		if !left {
			return
		}
	}
	t.Fatal("got attempts that never settle, want all settled")
}

// actWell carries out the pending action of an attempt without a fault.
func (world *world) actWell(t *rapid.T, actor *actor) {
	switch actor.step.Action {
	case claim.Commit:
		if !actor.reached {
			actor.revision, actor.err = world.table.commit(actor.step.Transaction)
		}
		world.conclude(t, actor)
	case claim.Read:
		world.follow(t, actor, actor.machine.RowRead(world.now, world.table.read(actor.machine.Key.Row())))
	case claim.Ask:
		reply, err := world.status(actor.step.Holder)
		world.follow(t, actor, actor.machine.HolderAnswered(world.now, reply, err))
	case claim.Forward:
		world.run(actor)
		reply := claim.Reply{Status: 201, Body: []byte(actor.machine.Record.Attempt)}
		world.follow(t, actor, actor.machine.UpstreamAnswered(world.now, reply))
	case claim.Wait:
		world.now = world.now.Add(max(0, actor.step.Until.Sub(world.now)))
		world.follow(t, actor, actor.machine.Waited(world.now))
	}
}

// The result codes that a key's second request meets.
func TestSecondRequest(t *testing.T) {
	lost := func(code result.Code) func(t *rapid.T, world *world, first *actor) {
		return func(t *rapid.T, world *world, first *actor) {
			world.actWell(t, first)
			world.follow(t, first, first.machine.UpstreamLost(world.now, result.Errorf(code, "cut")))
		}
	}
	tests := []struct {
		name  string
		first func(t *rapid.T, world *world, first *actor)
		body  ident.Fingerprint
		want  result.Code
	}{
		{"done", func(t *rapid.T, world *world, _ *actor) { world.settle(t) }, 1, result.OK},
		{"done with another body", func(t *rapid.T, world *world, _ *actor) { world.settle(t) }, 2, result.KeyReused},
		{"running", func(t *rapid.T, world *world, first *actor) { world.actWell(t, first) }, 1, result.KeyInProgress},
		{"not yet told of its claim", func(_ *rapid.T, world *world, first *actor) {
			_, _ = world.table.commit(first.step.Transaction)
		}, 1, result.KeyInProgress},
		{"answered and not yet recorded", func(t *rapid.T, world *world, first *actor) {
			world.actWell(t, first)
			world.actWell(t, first)
		}, 1, result.OK},
		{"its claim stands but it was abandoned", func(t *rapid.T, world *world, first *actor) {
			_, _ = world.table.commit(first.step.Transaction)
			world.expire(t, first)
		}, 1, result.OK},
		{"lost its upstream", lost(result.OutcomeUnknown), 1, result.OutcomeUnknown},
		{"did not reach its upstream", lost(result.UpstreamUnreachable), 1, result.OK},
		{"its sidecar crashed", func(t *rapid.T, world *world, first *actor) {
			world.actWell(t, first)
			world.crash(t, first.sidecar)
		}, 1, result.OutcomeUnknown},
		{"its sidecar is frozen", func(t *rapid.T, world *world, first *actor) {
			world.actWell(t, first)
			world.frozen[first.sidecar] = true
		}, 1, result.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				world := newWorld()
				test.first(t, world, world.send(t, "k", 1, 0))
				second := world.send(t, "k", test.body, 1)
				for second.result == nil {
					world.actWell(t, second)
				}
				got := result.OK
				if second.result.Err != nil {
					got = second.result.Err.Code
				}
				if got != test.want {
					t.Fatalf("got %s, want %s", got.Name(), test.want.Name())
				}
				world.check(t)
			})
		})
	}
}
