package lease_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/lease"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict. The command line may set another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true", "rapid.checks": "1000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func ExampleFence() {
	var fence lease.Fence
	fmt.Println(fence.Admit(7).Name())
	fence.Observe(7)
	fmt.Println(fence.Admit(7).Name(), fence.Admit(6).Name(), fence.Admit(8).Name(), fence.Admit(7).Name())
	// Output:
	// FenceUnknown
	// OK StaleFence OK StaleFence
}

// world is a few daemons that want one lease, the row, and an engine's fence.
type world struct {
	now      time.Time
	row      *platform.Row
	revision ident.Revision
	daemons  []*daemon
	delayed  []platform.Transaction
	fence    lease.Fence
	admitted ident.FencingNumber
}

// daemon is one holder with what it was last asked to do.
type daemon struct {
	holder lease.Holder
	step   lease.Step
	// applied is the revision at which the pending write was applied, or zero.
	applied ident.Revision
	sent    bool
	// order is a fencing number that the daemon found held and has yet to use.
	order ident.FencingNumber
	// tenure is the highest number that the daemon held.
	tenure ident.FencingNumber
}

func newWorld(t *rapid.T) *world {
	world := &world{now: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}
	writes := 0
	for i := range 3 {
		lifetime := time.Duration(rapid.IntRange(5, 15).Draw(t, "lifetime")) * time.Second
		newWrite := func() string { writes++; return fmt.Sprint("write-", writes) }
		holder := lease.Holder{Name: "orders", VM: ident.VMID(fmt.Sprint("vm-", i)), Lifetime: lifetime, NewWrite: newWrite}
		world.daemons = append(world.daemons, &daemon{holder: holder, step: holder.Next(world.now)})
	}
	return world
}

// commit returns the revision of an applied write, and zero for a conflict.
func (world *world) commit(transaction platform.Transaction) ident.Revision {
	var present ident.Revision
	if world.row != nil {
		present = world.row.Revision
	}
	if transaction.Checks[0].Revision != present {
		return 0
	}
	world.revision++
	world.row = &platform.Row{Key: transaction.Writes[0].Key, Value: transaction.Writes[0].Value, Revision: world.revision}
	return world.revision
}

// act does what a daemon was asked to do, or a part of it.
func (world *world) act(t *rapid.T, daemon *daemon) {
	holder := &daemon.holder
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	switch {
	case daemon.step.Action == lease.Sleep:
		if !world.now.Before(daemon.step.Until) {
			daemon.step = holder.Next(world.now)
		}
	case daemon.step.Action == lease.Read && lost:
		daemon.step = holder.Failed(world.now)
	case daemon.step.Action == lease.Read:
		daemon.step = holder.RowRead(world.now, world.row)
	case !daemon.sent:
		daemon.sent = true
		daemon.applied = 0
		if lost {
			world.delayed = append(world.delayed, daemon.step.Transaction)
			return
		}
		daemon.applied = world.commit(daemon.step.Transaction)
	default:
		daemon.sent = false
		world.answer(daemon, lost)
	}
}

func (world *world) answer(daemon *daemon, lost bool) {
	switch {
	case lost:
		daemon.step = daemon.holder.Failed(world.now)
	case daemon.applied != 0:
		daemon.step = daemon.holder.Committed(world.now, daemon.applied)
	default:
		daemon.step = daemon.holder.RowRead(world.now, world.row)
	}
}

func (world *world) check(t *rapid.T) {
	holders := 0
	for i, daemon := range world.daemons {
		fence, held := daemon.holder.Held(world.now)
		if !held {
			continue
		}
		holders++
		for j, other := range world.daemons {
			if i != j && other.tenure >= fence {
				t.Fatalf("got fencing number %d, want it above %d of an earlier tenure", fence, other.tenure)
			}
		}
		daemon.tenure = fence
	}
	if holders > 1 {
		t.Fatalf("got %d holders at one time, want at most 1", holders)
	}
}

// current returns the fencing number in the row.
func (world *world) current(t *rapid.T) ident.FencingNumber {
	var record lease.Record
	if world.row == nil {
		return 0
	}
	if err := json.Unmarshal(world.row.Value, &record); err != nil {
		t.Fatal(err)
	}
	return record.Fence
}

// Whatever answers are lost or late and whoever pauses: one holder at a time,
// rising fencing numbers, and no order admitted after one of a later tenure,
// also across restarts of the sidecar.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		pick := func(t *rapid.T) *daemon {
			return world.daemons[rapid.IntRange(0, len(world.daemons)-1).Draw(t, "daemon")]
		}
		act := func(t *rapid.T) { world.act(t, pick(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"":      func(t *rapid.T) { world.check(t) },
			"act":   act,
			"act 2": act,
			"act 3": act,
			"tick": func(t *rapid.T) {
				world.now = world.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"take effect": func(t *rapid.T) {
				if len(world.delayed) == 0 {
					t.Skip("nothing is delayed")
				}
				world.commit(world.delayed[0])
				world.delayed = world.delayed[1:]
			},
			"decide to order": func(t *rapid.T) {
				daemon := pick(t)
				if fence, held := daemon.holder.Held(world.now); held {
					daemon.order = fence
				}
			},
			"order": func(t *rapid.T) {
				daemon := pick(t)
				if daemon.order == 0 || world.fence.Admit(daemon.order) != result.OK {
					t.Skip("no order")
				}
				if daemon.order < world.admitted {
					t.Fatalf("got order %d admitted after %d, want it refused", daemon.order, world.admitted)
				}
				world.admitted = daemon.order
			},
			"restart sidecar": func(_ *rapid.T) { world.fence = lease.Fence{} },
			"learn":           func(t *rapid.T) { world.fence.Observe(world.current(t)) },
			"give back": func(t *rapid.T) {
				daemon := pick(t)
				if _, held := daemon.holder.Held(world.now); held && daemon.step.Action == lease.Sleep {
					daemon.step = daemon.holder.Release(world.now)
				}
			},
		})
		world.settle(t)
	})
}

// settle checks that, without faults, some daemon comes to hold the lease.
func (world *world) settle(t *rapid.T) {
	for range 400 {
		world.now = world.now.Add(200 * time.Millisecond)
		for _, daemon := range world.daemons {
			switch {
			case daemon.step.Action == lease.Read:
				daemon.step = daemon.holder.RowRead(world.now, world.row)
			case daemon.step.Action == lease.Commit:
				if !daemon.sent {
					daemon.applied = world.commit(daemon.step.Transaction)
				}
				daemon.sent = false
				world.answer(daemon, false)
			case !world.now.Before(daemon.step.Until):
				daemon.step = daemon.holder.Next(world.now)
			}
		}
		world.check(t)
	}
	for _, daemon := range world.daemons {
		if _, held := daemon.holder.Held(world.now); held {
			return
		}
	}
	t.Fatal("got no holder after the faults, want one")
}

// A holder that is paused past its lease finds that out before it acts.
func TestPausedHolderFindsItsLeaseLapsed(t *testing.T) {
	now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	holder := lease.Holder{Name: "orders", VM: "vm", Lifetime: 10 * time.Second, NewWrite: func() string { return "write" }}
	holder.RowRead(now, nil)
	holder.Committed(now.Add(4*time.Second), 1)
	if _, held := holder.Held(now.Add(9 * time.Second)); !held {
		t.Error("got a lapsed lease, want it held within its lifetime")
	}
	if _, held := holder.Held(now.Add(10 * time.Second)); held {
		t.Error("got a held lease, want it lapsed a lifetime after the write was sent")
	}
}
