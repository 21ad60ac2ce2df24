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

// TestMain fixes the seed of the property tests, so that every run draws the
// same inputs. Flags on the command line take precedence.
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

// simulation has three daemons that compete for one lease, the row of the lease,
// and the fence of an engine's sidecar.
type simulation struct {
	now      time.Time
	row      *platform.Row
	revision ident.Revision
	// era counts how often the store was restored from copy, an older state of it.
	era     ident.Era
	copy    savedRow
	daemons []*daemon
	// delayed holds the commits that were sent but not applied yet.
	delayed []platform.Transaction
	fence   lease.Fence
	// admitted is the fencing number of the last admitted order.
	admitted ident.FencingNumber
}

// daemon is one competitor for the lease, with the step that it has to take next.
// savedRow is the row at some moment, and the version of the store at it.
type savedRow struct {
	row      *platform.Row
	revision ident.Revision
}

type daemon struct {
	holder lease.Holder
	step   lease.Step
	// applied is the revision at which the pending write was applied, or zero.
	applied ident.Revision
	sent    bool
	// order is the fencing number of an order that the daemon decided on while it
	// held the lease, and may give later.
	order ident.FencingNumber
	// term is the fencing number of the daemon's latest term.
	term ident.FencingNumber
	// era is the latest era of the store that a response to the daemon had, and
	// sentIn the one in which its write was sent.
	era    ident.Era
	sentIn ident.Era
}

// newSimulation returns three daemons, whose leases have the same lifetime if the store
// may be restored from an older copy.
func newSimulation(t *rapid.T, sameLifetime bool) *simulation {
	simulation := &simulation{now: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}
	writes := 0
	for i := range 3 {
		lifetime := 10 * time.Second
		if !sameLifetime {
			lifetime = time.Duration(rapid.IntRange(5, 15).Draw(t, "lifetime")) * time.Second
		}
		newWrite := func() string { writes++; return fmt.Sprint("write-", writes) }
		daemon := new(daemon)
		daemon.holder = lease.Holder{
			Name: "orders", VM: ident.VMID(fmt.Sprint("vm-", i)), Lifetime: lifetime, NewWrite: newWrite,
			Era: func() ident.Era { return daemon.era },
		}
		daemon.step = daemon.holder.Next(simulation.now)
		simulation.daemons = append(simulation.daemons, daemon)
	}
	return simulation
}

// commit applies a transaction and returns its revision, or zero for a conflict. The
// store itself knows versions only.
func (simulation *simulation) commit(transaction platform.Transaction) ident.Revision {
	var present ident.Revision
	if simulation.row != nil {
		present = simulation.row.Revision
	}
	if transaction.Checks[0].Revision.Version() != present.Version() {
		return 0
	}
	simulation.revision++
	simulation.row = &platform.Row{Key: transaction.Writes[0].Key, Value: transaction.Writes[0].Value, Revision: simulation.era.Revision(simulation.revision)}
	return simulation.row.Revision
}

func (simulation *simulation) tick(t *rapid.T) {
	simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

func (simulation *simulation) runDelayed(t *rapid.T) {
	if len(simulation.delayed) == 0 {
		t.Skip("no write is delayed")
	}
	simulation.commit(simulation.delayed[0])
	simulation.delayed = simulation.delayed[1:]
}

// restore brings the store back from its older copy, in a new era.
func (simulation *simulation) restore() {
	simulation.era++
	simulation.row, simulation.revision = nil, simulation.copy.revision
	if saved := simulation.copy.row; saved != nil {
		simulation.row = &platform.Row{Key: saved.Key, Value: saved.Value, Revision: simulation.era.Revision(saved.Revision.Version())}
	}
}

// conflicts reports whether the client of the daemon knows that its write has to
// conflict, since the revision that it expects is of another era.
func (daemon *daemon) conflicts() bool {
	expected := daemon.step.Transaction.Checks[0].Revision
	return expected != 0 && expected.Era() != daemon.era
}

// act takes the daemon's next step. A commit takes two calls, one that sends the
// request, which may be delayed, and one for the response, which may be lost.
func (simulation *simulation) act(t *rapid.T, daemon *daemon) {
	holder := &daemon.holder
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	switch {
	case daemon.step.Action == lease.Sleep:
		if !simulation.now.Before(daemon.step.Until) {
			daemon.step = holder.Next(simulation.now)
		}
	case daemon.step.Action == lease.Read && lost:
		daemon.step = holder.Failed(simulation.now)
	case daemon.step.Action == lease.Read:
		daemon.era = simulation.era
		daemon.step = holder.RowRead(simulation.now, simulation.row)
	case !daemon.sent:
		daemon.sent, daemon.sentIn = true, simulation.era
		daemon.applied = 0
		if daemon.conflicts() {
			return
		}
		if lost {
			simulation.delayed = append(simulation.delayed, daemon.step.Transaction)
			return
		}
		daemon.applied = simulation.commit(daemon.step.Transaction)
	default:
		daemon.sent = false
		simulation.answer(daemon, lost)
	}
}

func (simulation *simulation) answer(daemon *daemon, lost bool) {
	if !lost {
		daemon.era = max(daemon.era, daemon.sentIn)
	}
	expected := daemon.step.Transaction.Checks[0].Revision
	switch {
	case lost, daemon.applied != 0 && expected != 0 && expected.Era() != daemon.sentIn:
		daemon.step = daemon.holder.Failed(simulation.now)
	case daemon.applied != 0:
		daemon.step = daemon.holder.Committed(simulation.now, daemon.applied)
	default:
		daemon.era = simulation.era
		daemon.step = daemon.holder.RowRead(simulation.now, simulation.row)
	}
}

func (simulation *simulation) check(t *rapid.T) {
	holders := 0
	for i, daemon := range simulation.daemons {
		fence, held := daemon.holder.Held(simulation.now)
		if !held {
			continue
		}
		holders++
		for j, other := range simulation.daemons {
			if i != j && other.term >= fence {
				t.Fatalf("got fencing number %d, want it above %d of an earlier term", fence, other.term)
			}
		}
		daemon.term = fence
	}
	if holders > 1 {
		t.Fatalf("got %d holders at one time, want at most 1", holders)
	}
}

// currentFence returns the fencing number in the row, or zero without a row.
func (simulation *simulation) currentFence(t *rapid.T) ident.FencingNumber {
	var record lease.Record
	if simulation.row == nil {
		return 0
	}
	if err := json.Unmarshal(simulation.row.Value, &record); err != nil {
		t.Fatal(err)
	}
	return record.Fence
}

// Requests and responses are lost, writes are delayed, daemons pause and the
// sidecar restarts. There is still at most one holder at a time, fencing numbers
// rise with each term, and no order is admitted after one of a later term.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, false)
		pick := func(t *rapid.T) *daemon {
			return simulation.daemons[rapid.IntRange(0, len(simulation.daemons)-1).Draw(t, "daemon")]
		}
		act := func(t *rapid.T) { simulation.act(t, pick(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"":                  func(t *rapid.T) { simulation.check(t) },
			"act":               act,
			"act 2":             act,
			"act 3":             act,
			"tick":              simulation.tick,
			"run delayed write": simulation.runDelayed,
			"decide to order": func(t *rapid.T) {
				daemon := pick(t)
				if fence, held := daemon.holder.Held(simulation.now); held {
					daemon.order = fence
				}
			},
			"order": func(t *rapid.T) {
				daemon := pick(t)
				if daemon.order == 0 || simulation.fence.Admit(daemon.order) != result.OK {
					t.Skip("no order, or not admitted")
				}
				if daemon.order < simulation.admitted {
					t.Fatalf("got order with fencing number %d admitted after %d, want it rejected", daemon.order, simulation.admitted)
				}
				simulation.admitted = daemon.order
			},
			"restart sidecar": func(_ *rapid.T) { simulation.fence = lease.Fence{} },
			"observe fence":   func(t *rapid.T) { simulation.fence.Observe(simulation.currentFence(t)) },
			"give back": func(t *rapid.T) {
				daemon := pick(t)
				if _, held := daemon.holder.Held(simulation.now); held && daemon.step.Action == lease.Sleep {
					daemon.step = daemon.holder.Release(simulation.now)
				}
			},
		})
		simulation.settle(t)
	})
}

// settle checks that a daemon acquires the lease once there are no more faults.
func (simulation *simulation) settle(t *rapid.T) {
	for range 400 {
		simulation.now = simulation.now.Add(200 * time.Millisecond)
		for _, daemon := range simulation.daemons {
			switch {
			case daemon.step.Action == lease.Read:
				daemon.step = daemon.holder.RowRead(simulation.now, simulation.row)
			case daemon.step.Action == lease.Commit:
				if !daemon.sent {
					daemon.applied = simulation.commit(daemon.step.Transaction)
				}
				daemon.sent = false
				simulation.answer(daemon, false)
			case !simulation.now.Before(daemon.step.Until):
				daemon.step = daemon.holder.Next(simulation.now)
			}
		}
		simulation.check(t)
	}
	for _, daemon := range simulation.daemons {
		if _, held := daemon.holder.Held(simulation.now); held {
			return
		}
	}
	t.Fatal("got no holder 80 s after the last fault, want one")
}

// TestLeaseAcrossOlderCopies guards against two holders at one time, and fencing numbers
// that are given out again, when the store is restored from an older copy.
func TestLeaseAcrossOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, true)
		act := func(t *rapid.T) {
			simulation.act(t, simulation.daemons[rapid.IntRange(0, len(simulation.daemons)-1).Draw(t, "daemon")])
		}
		t.Repeat(map[string]func(*rapid.T){
			"":                  func(t *rapid.T) { simulation.check(t) },
			"act":               act,
			"act 2":             act,
			"act 3":             act,
			"act 4":             act,
			"tick":              simulation.tick,
			"run delayed write": simulation.runDelayed,
			"copy":              func(*rapid.T) { simulation.copy = savedRow{row: simulation.row, revision: simulation.revision} },
			"restore":           func(*rapid.T) { simulation.restore() },
		})
	})
}

// A daemon may be paused between sending a write and acting on the response. Its
// lease counts from before the write was sent, so Held reports that it expired.
func TestPausedHolderFindsItsLeaseLapsed(t *testing.T) {
	now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	holder := lease.Holder{Name: "orders", VM: "vm", Lifetime: 10 * time.Second, NewWrite: func() string { return "write" }}
	holder.RowRead(now, nil)
	holder.Committed(now.Add(4*time.Second), 1)
	if _, held := holder.Held(now.Add(9 * time.Second)); !held {
		t.Error("got the lease expired after 9 s, want it held for its lifetime of 10 s")
	}
	if _, held := holder.Held(now.Add(10 * time.Second)); held {
		t.Error("got the lease held, want it expired 10 s after the write was sent")
	}
}

// TestUnreadableRowBacksOff guards against a daemon that reads a row again and
// again at the same short interval because it can't decode it.
func TestUnreadableRowBacksOff(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	holder := lease.Holder{Name: "placement", VM: "vm-1", Lifetime: 10 * time.Second, NewWrite: func() string { return "w" }}
	last := time.Duration(0)
	for n := range 4 {
		step := holder.RowRead(now, &platform.Row{Key: "lease", Value: json.RawMessage(`"no record"`), Revision: 1})
		pause := step.Until.Sub(now)
		if step.Action != lease.Sleep || pause <= last {
			t.Errorf("got action %d and a pause of %v after failure %d, want a longer one than %v", step.Action, pause, n+1, last)
		}
		last = pause
	}
}
