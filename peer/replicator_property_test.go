package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
)

const modelDaemons = 5

// model is a set of replicators whose exchanges happen one at a time. Whether a
// call is lost is drawn at random.
type model struct {
	t           *rapid.T
	replicators [modelDaemons]*Replicator
	store       map[ident.TeamID]*settings.Subtree
	accepted    map[revisionKey]*settings.Subtree
	storeDown   bool
	newest      [modelDaemons]map[ident.TeamID]ident.Revision
	// losses holds the outcomes of the next calls: 0 succeeds, 1 is lost before
	// it takes effect, 2 is lost after it took effect.
	losses []int
	// delayed holds replies that may be delivered later, also more than once.
	delayed []delayedReply
}

type revisionKey struct {
	team     ident.TeamID
	revision ident.Revision
}

// delayedReply is the reply to a pull by a daemon.
type delayedReply struct {
	daemon int
	teams  []ident.TeamID
	reply  PullReply
}

func newModel(t *rapid.T) *model {
	model := &model{t: t, store: make(map[ident.TeamID]*settings.Subtree), accepted: make(map[revisionKey]*settings.Subtree)}
	for i := range model.replicators {
		model.restart(i)
	}
	return model
}

func (model *model) address(i int) string { return fmt.Sprintf("10.0.0.%d:7100", i+1) }

func (model *model) restart(i int) {
	vm := platform.VM{ID: ident.VMID(fmt.Sprintf("vm-%d", i)), PeerAddress: model.address(i)}
	replicator := &Replicator{Self: vm, Call: model.call, Heads: model.heads, Load: model.load}
	replicator.neighbours = make(map[string]*neighbour)
	for other := range model.replicators {
		if other != i {
			address := model.address(other)
			replicator.neighbours[address] = &neighbour{replicator: replicator, address: address, wakeup: make(chan struct{}, 1)}
		}
	}
	model.replicators[i] = replicator
	model.newest[i] = make(map[ident.TeamID]ident.Revision)
}

var errLost = errors.New("call lost")

func (model *model) call(_ context.Context, address, method string, args, reply any) error {
	loss := 0
	if len(model.losses) > 0 {
		loss = model.losses[0]
		model.losses = model.losses[1:]
	}
	if loss == 1 {
		return errLost
	}
	if err := model.serve(address, method, args, reply); err != nil {
		return err
	}
	if loss == 2 {
		return errLost
	}
	return nil
}

func (model *model) serve(address, method string, args, reply any) error {
	for i, replicator := range model.replicators {
		if model.address(i) != address {
			continue
		}
		receiver := replicator.Receiver()
		switch method {
		case MethodPush:
			return receiver.Push(args.(PushArgs), reply.(*Nothing))
		case MethodPull:
			return receiver.Pull(args.(PullArgs), reply.(*PullReply))
		case MethodCompare:
			return receiver.Compare(args.(CompareArgs), reply.(*CompareReply))
		}
	}
	return errLost
}

func (model *model) heads(context.Context) (map[ident.TeamID]ident.Revision, error) {
	if model.storeDown {
		return nil, errLost
	}
	heads := make(map[ident.TeamID]ident.Revision)
	for team, subtree := range model.store {
		heads[team] = subtree.Revision
	}
	return heads, nil
}

func (model *model) load(_ context.Context, teams ...ident.TeamID) ([]*settings.Subtree, error) {
	var found []*settings.Subtree
	for _, team := range teams {
		found = append(found, model.store[team])
	}
	return found, nil
}

func (model *model) accept(i int) {
	const team ident.TeamID = "beaudoin"
	present := model.store[team]
	change := settings.Change{ID: "c", Team: team, Values: make(map[settings.Path]json.RawMessage)}
	if present != nil {
		change.Base = present.Revision
	}
	name := rapid.IntRange(0, 2).Draw(model.t, "name")
	path := settings.Path(fmt.Sprintf("/Teams/%s/Workspaces/w%d", team, name))
	change.Values[path] = json.RawMessage(fmt.Sprintf(`{"Weight":%d}`, rapid.IntRange(1, 2).Draw(model.t, "weight")))
	next, err := settings.Apply(present, change)
	if err != nil {
		model.t.Fatal(err)
	}
	model.store[team] = next
	model.accepted[revisionKey{team, next.Revision}] = next
	// The accepting daemon may crash before it announces the change.
	if rapid.IntRange(0, 4).Draw(model.t, "dies") == 0 {
		model.restart(i)
		return
	}
	model.replicators[i].AdoptCommitted(next)
}

func (model *model) step() {
	i := rapid.IntRange(0, modelDaemons-1).Draw(model.t, "daemon")
	other := (i + rapid.IntRange(1, modelDaemons-1).Draw(model.t, "other")) % modelDaemons
	model.losses = rapid.SliceOfN(rapid.IntRange(0, 2), 0, 3).Draw(model.t, "losses")
	model.storeDown = rapid.Bool().Draw(model.t, "store down")
	replicator := model.replicators[i]
	neighbour := replicator.neighbourAt(model.address(other))
	switch rapid.IntRange(0, 6).Draw(model.t, "action") {
	case 0:
		model.accept(i)
	case 1:
		_ = neighbour.push(context.Background())
	case 2:
		_, _ = replicator.compare(context.Background(), neighbour)
	case 3:
		_ = replicator.poll(context.Background())
	case 4:
		model.restart(i)
	case 5:
		model.pullDelayed(i, other)
	case 6:
		model.deliverDelayed()
	}
	model.losses = nil
}

// pullDelayed makes daemon i pull from another one and keeps the reply for
// later.
func (model *model) pullDelayed(i, other int) {
	delayed := delayedReply{daemon: i}
	args := PullArgs{Revisions: make(map[ident.TeamID]ident.Revision)}
	for team := range model.store {
		delayed.teams = append(delayed.teams, team)
		args.Revisions[team] = model.replicators[i].View().Revision(team)
	}
	if err := model.replicators[other].Receiver().Pull(args, &delayed.reply); err != nil {
		model.t.Fatal(err)
	}
	model.delayed = append(model.delayed, delayed)
}

func (model *model) deliverDelayed() {
	if len(model.delayed) == 0 {
		return
	}
	delayed := rapid.SampledFrom(model.delayed).Draw(model.t, "late")
	model.replicators[delayed.daemon].applyReply(delayed.reply, delayed.teams)
}

// check fails the test if a daemon has an older revision in force than before, or
// settings that were never accepted.
func (model *model) check() {
	for i, replicator := range model.replicators {
		for team, want := range model.newest[i] {
			if got := replicator.View().Revision(team); got < want {
				model.t.Fatalf("got revision %d of %s at daemon %d, want at least %d", got, team, i, want)
			}
		}
		model.newest[i] = replicator.View().Revisions()
		for team, got := range model.newest[i] {
			if want := model.store[team].Revision; got > want {
				model.t.Fatalf("got revision %d of %s at daemon %d, want at most the accepted %d", got, team, i, want)
			}
			accepted := model.accepted[revisionKey{team, got}]
			if left := settings.Diff(replicator.View().Team(team), accepted); left != nil {
				model.t.Fatalf("got differences %v from the accepted revision %d of %s at daemon %d, want none", left, got, team, i)
			}
		}
	}
}

// Guards against daemons that return to an older revision or do not converge.
// Calls are lost, replies are delayed and repeated, and daemons restart. Once the
// store and all calls work again, one poll and one comparison by each other daemon
// must bring all daemons to the newest revision.
func TestReplicatorsNeverGoBackAndEndTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			model.step()
			model.check()
		}
		model.storeDown = false
		if err := model.replicators[0].poll(context.Background()); err != nil {
			t.Fatalf("got %v from a poll, want nil", err)
		}
		for i := 1; i < modelDaemons; i++ {
			from := model.replicators[i].neighbourAt(model.address(0))
			if _, err := model.replicators[i].compare(context.Background(), from); err != nil {
				t.Fatalf("got %v from a comparison, want nil", err)
			}
		}
		model.check()
		for i, replicator := range model.replicators {
			for team, want := range model.store {
				got := replicator.View().Team(team)
				if got == nil || got.Revision != want.Revision || settings.Diff(got, want) != nil {
					t.Fatalf("got %+v at daemon %d, want %+v", got, i, want)
				}
			}
		}
	})
}
