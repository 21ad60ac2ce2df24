package vmlist_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/vmlist"
)

// TestMain fixes the seed of the property tests, so that every run draws the same
// inputs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

// drawStates draws the successive states of the platform's list.
func drawStates(t *rapid.T) [][]platform.VM {
	vm := rapid.Custom(func(t *rapid.T) platform.VM {
		drawn := platform.VM{
			ID:      ident.VMID(fmt.Sprint("vm-", rapid.IntRange(0, 9).Draw(t, "id"))),
			Address: fmt.Sprint("10.0.0.1:", rapid.IntRange(1, 2).Draw(t, "port")),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		}
		if rapid.Bool().Draw(t, "has upstream") {
			drawn.Upstream = &platform.VMUpstream{ID: "engine-1", Weight: float64(rapid.IntRange(0, 1).Draw(t, "weight"))}
		}
		return drawn
	})
	distinct := rapid.SliceOfNDistinct(vm, 0, 10, func(vm platform.VM) ident.VMID { return vm.ID })
	return rapid.SliceOfN(distinct, 2, 8).Draw(t, "states")
}

// etag returns the ETag of the state with this index.
func etag(state int) string { return fmt.Sprint("state-", state) }

// A daemon that requests changes from another ends with the other's list. It keeps
// its own list if the other doesn't have the changes or has no later state.
func TestLearnGivesTheOthersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := drawStates(t)
		var reader, asker vmlist.List
		for i, vms := range states {
			reader.Replace(start.Add(time.Duration(i)*time.Second), etag(i), vms)
		}
		held := rapid.IntRange(0, len(states)-1).Draw(t, "held")
		asker.Replace(start.Add(time.Duration(held)*time.Second), etag(held), states[held])
		before := asker.VMs()
		asked := start.Add(time.Minute)
		news := reader.Since(asked, asker.ETag())
		changed := asker.Apply(asked, asker.ETag(), news)
		want := before
		if changed {
			want = reader.VMs()
		}
		if got := asker.VMs(); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if last := len(states) - 1; changed != (held != last && news.Known) {
			t.Fatalf("got changed %t after a response to state %d of %d: %+v", changed, held, last, news)
		}
		if changed && asker.ETag() != reader.ETag() {
			t.Fatalf("got state %s, want %s", asker.ETag(), reader.ETag())
		}
	})
}

// Daemons read the platform's list and request changes from each other in any
// order. None returns to a state that the platform confirmed earlier, and the VMs
// of each list are those of its ETag.
func TestListsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := drawStates(t)
		daemons := make([]vmlist.List, 4)
		now, state := start, 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			daemon := &daemons[rapid.IntRange(0, 3).Draw(t, "daemon")]
			before := daemon.ConfirmedAt()
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				state = min(state+1, len(states)-1)
			case 1:
				daemon.Replace(now, etag(state), states[state])
			default:
				other := &daemons[rapid.IntRange(0, 3).Draw(t, "other")]
				daemon.Apply(now, daemon.ETag(), other.Since(now, daemon.ETag()))
			}
			if daemon.ConfirmedAt().Before(before) {
				t.Fatalf("got a state confirmed at %s after one confirmed at %s", daemon.ConfirmedAt(), before)
			}
			checkState(t, daemon, states)
		}
	})
}

// checkState checks that a list has the VMs of the state that its ETag identifies.
func checkState(t *rapid.T, list *vmlist.List, states [][]platform.VM) {
	for i, vms := range states {
		if list.ETag() != etag(i) {
			continue
		}
		var want vmlist.List
		want.Replace(start, etag(i), vms)
		if got, want := list.VMs(), want.VMs(); !reflect.DeepEqual(got, want) {
			t.Fatalf("state %s: got %v, want %v", etag(i), got, want)
		}
	}
}

func TestNewsThatMustNotBeTaken(t *testing.T) {
	former := []platform.VM{{ID: "vm-1"}}
	current := []platform.VM{{ID: "vm-1"}, {ID: "vm-2"}}
	later := start.Add(time.Second)
	step := vmlist.Change{Put: current[1:]}
	tests := map[string]struct {
		etag string
		news vmlist.News
		want bool
	}{
		"newer":                       {"a", vmlist.News{ETag: "b", Known: true, Change: step}, true},
		"older":                       {"a", vmlist.News{ETag: "b", AgeMs: 5000, Known: true, Change: step}, false},
		"no change known":             {"a", vmlist.News{ETag: "b"}, false},
		"since another state":         {"z", vmlist.News{ETag: "b", Known: true, Change: step}, false},
		"without an ETag":             {"a", vmlist.News{Known: true, Change: step}, false},
		"same state, confirmed later": {"a", vmlist.News{ETag: "a", Known: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var list vmlist.List
			list.Replace(start, "a", former)
			if got := list.Apply(later, test.etag, test.news); got != test.want {
				t.Errorf("got changed %t, want %t", got, test.want)
			}
			if got, want := len(list.VMs()) == 2, test.want; got != want {
				t.Errorf("got list %v, want it changed %t", list.VMs(), want)
			}
		})
	}
}

// If the platform sends no ETags, each read replaces the list and no changes can
// be sent to other daemons.
func TestNamelessStates(t *testing.T) {
	var list vmlist.List
	list.Replace(start, "", []platform.VM{{ID: "vm-1"}})
	list.Replace(start.Add(time.Second), "", []platform.VM{{ID: "vm-2"}})
	if news := list.Since(start, ""); news.Known {
		t.Errorf("got %+v, want no known change", news)
	}
	if got := list.VMs(); len(got) != 1 || got[0].ID != "vm-2" {
		t.Errorf("got %v, want only vm-2", got)
	}
}
