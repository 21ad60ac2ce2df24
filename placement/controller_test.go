package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/placement"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/upstream"
)

const (
	rota      ident.ModelName = "rota-4b@1"
	planogram ident.ModelName = "planogram-7b@3"
	loadTime                  = 5 * time.Second
	// listLag is how late the list of VMs shows what an engine holds.
	listLag = 30 * time.Second
)

// yard is a few engines with their sidecars' guards, and the routers that want
// to give orders. It runs in a synctest bubble, without sockets.
type yard struct {
	t       *testing.T
	table   *standin.Platform
	view    *settings.View
	engines []*engine
}

// engine takes every order, whatever its fencing number.
type engine struct {
	guard placement.Guard

	mu     sync.Mutex
	model  ident.ModelName
	former ident.ModelName
	since  time.Time
	orders []upstream.Order
	at     []time.Time
}

func (engine *engine) order(_ context.Context, order upstream.Order) error {
	engine.mu.Lock()
	engine.orders = append(engine.orders, order)
	engine.at = append(engine.at, time.Now())
	engine.mu.Unlock()
	time.Sleep(loadTime)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.former, engine.model, engine.since = engine.model, order.Model, time.Now()
	return nil
}

// shown returns the model that the list of VMs shows.
func (engine *engine) shown() ident.ModelName {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if time.Since(engine.since) < listLag {
		return engine.former
	}
	return engine.model
}

func newYard(t *testing.T, engines int, demands map[ident.ModelName]int) *yard {
	t.Helper()
	made := &yard{t: t, table: &standin.Platform{}}
	subtree := &settings.Subtree{Team: "beaudoin", Revision: 1, Placements: make(map[string]settings.Placement)}
	for model, replicas := range demands {
		subtree.Placements[string(model)] = settings.Placement{Model: model, Replicas: replicas}
	}
	made.view, _ = made.view.Adopt(subtree)
	for range engines {
		added := &engine{model: rota}
		added.guard = placement.Guard{Current: placement.CurrentFence(made.client()), Order: added.order}
		made.engines = append(made.engines, added)
	}
	return made
}

func (yard *yard) client() *platform.Client {
	return &platform.Client{
		Commit: func(ctx context.Context, transaction platform.Transaction) (ident.Revision, error) {
			if ctx.Err() != nil || yard.table.Switches().Outage {
				return 0, platform.ErrUnavailable
			}
			revision, conflict, applied := yard.table.Commit(transaction)
			if !applied {
				return 0, &platform.ConflictError{Conflict: conflict}
			}
			return revision, nil
		},
		Read: func(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
			if ctx.Err() != nil || yard.table.Switches().Outage {
				return nil, platform.ErrUnavailable
			}
			return yard.table.Rows(keys...), nil
		},
	}
}

func (yard *yard) list() []placement.Engine {
	var list []placement.Engine
	for i, engine := range yard.engines {
		list = append(list, placement.Engine{Upstream: ident.UpstreamID(fmt.Sprint(i)), Zone: ident.Zone(fmt.Sprint(i % 3)), Model: engine.shown()})
	}
	return list
}

func (yard *yard) give(_ context.Context, to ident.UpstreamID, args peer.OrderArgs) (peer.OrderReply, error) {
	var reply peer.OrderReply
	for i, engine := range yard.engines {
		if ident.UpstreamID(fmt.Sprint(i)) == to {
			return reply, engine.guard.Take(args, &reply)
		}
	}
	return reply, peer.ErrUnreachable
}

// router is one daemon that wants the lease.
type router struct {
	leaseRunner *placement.LeaseRunner
	controller  *placement.Controller
}

func (yard *yard) router(name ident.VMID) *router {
	runner := &placement.LeaseRunner{VM: name, Client: yard.client()}
	record := &placement.RecordTable{Client: yard.client()}
	return &router{leaseRunner: runner, controller: &placement.Controller{
		ReadRecord:  record.Read,
		WriteRecord: record.Write,
		Held:        runner.Held,
		View:        func() *settings.View { return yard.view },
		Engines:     yard.list,
		Order:       yard.give,
	}}
}

func (router *router) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	var both sync.WaitGroup
	both.Add(1)
	go router.runTenure(ctx, &both)
	router.controller.Run(ctx)
	both.Wait()
}

func (router *router) runTenure(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	router.leaseRunner.Run(ctx)
}

func (yard *yard) moves() (moves int, at []time.Time) {
	for _, engine := range yard.engines {
		engine.mu.Lock()
		moves += len(engine.orders)
		at = append(at, engine.at...)
		engine.mu.Unlock()
	}
	slices.SortFunc(at, time.Time.Compare)
	return moves, at
}

func TestOneRouterGivesTheFewestOrdersAtTheRateOfTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		yard := newYard(t, 9, map[ident.ModelName]int{rota: 4, planogram: 5})
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Add(3)
		for i := range 3 {
			go yard.router(ident.VMID(fmt.Sprint("router-", i))).run(ctx, &done)
		}
		time.Sleep(5 * time.Minute)
		cancel()
		done.Wait()
		moves, at := yard.moves()
		if want := 5; moves != want {
			t.Errorf("got %d orders, want %d", moves, want)
		}
		for i := 1; i < len(at); i++ {
			if got, want := at[i].Sub(at[i-1]), 10*time.Second; got < want {
				t.Errorf("got two loads %v apart, want at least %v", got, want)
			}
		}
		if got, want := held(yard.list())[planogram], 5; got != want {
			t.Errorf("got %d engines with the model, want %d", got, want)
		}
	})
}

// The holder dies in the middle: another takes over after the lease has lapsed
// and gives only the orders that are left.
func TestAnotherRouterTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		yard := newYard(t, 9, map[ident.ModelName]int{rota: 4, planogram: 5})
		first, second := yard.router("router-1"), yard.router("router-2")
		var done sync.WaitGroup
		done.Add(2)
		firstCtx, kill := context.WithCancel(context.Background())
		go first.run(firstCtx, &done)
		time.Sleep(25 * time.Second)
		// A killed process gives nothing back.
		yard.table.Switch(standin.PlatformSwitches{Outage: true})
		kill()
		time.Sleep(2 * time.Second)
		yard.table.Switch(standin.PlatformSwitches{})
		ctx, cancel := context.WithCancel(context.Background())
		go second.run(ctx, &done)
		time.Sleep(5 * time.Minute)
		cancel()
		done.Wait()
		moves, _ := yard.moves()
		if want := 5; moves != want {
			t.Errorf("got %d orders, want %d", moves, want)
		}
		fences := make(map[ident.FencingNumber]bool)
		for _, engine := range yard.engines {
			for _, order := range engine.orders {
				fences[order.Fence] = true
			}
		}
		if got, want := len(fences), 2; got != want {
			t.Errorf("got orders under %d fencing numbers, want %d", got, want)
		}
	})
}

func putFence(table *standin.Platform, fence ident.FencingNumber) {
	raw, _ := json.Marshal(map[string]any{"Holder": "router", "Fence": fence})
	table.Commit(platform.Transaction{Writes: []platform.Write{{Key: placement.LeaseName.Row(), Value: raw}}})
}

// An engine that ignores fencing numbers obeys no older holder: not one that was
// paused and still believes that it holds the lease, and not after a restart of
// the sidecar.
func TestGuardObeysNoOlderHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		yard := newYard(t, 1, nil)
		guarded := yard.engines[0]
		tests := []struct {
			name    string
			current ident.FencingNumber
			outage  bool
			restart bool
			order   ident.FencingNumber
			want    result.Code
		}{
			{"the holder", 3, false, false, 3, result.OK},
			{"an older one", 3, false, false, 2, result.StaleFence},
			{"paused while another took the lease, which has not ordered yet", 4, false, false, 3, result.StaleFence},
			{"an older one after a restart", 4, false, true, 3, result.StaleFence},
			{"the holder, with the table out", 4, true, true, 4, result.FenceUnknown},
			{"the holder again", 4, false, false, 4, result.OK},
		}
		for _, test := range tests {
			putFence(yard.table, test.current)
			yard.table.Switch(standin.PlatformSwitches{Outage: test.outage})
			if test.restart {
				guarded.guard = placement.Guard{Current: placement.CurrentFence(yard.client()), Order: guarded.order}
			}
			before := len(guarded.orders)
			reply, err := yard.give(context.Background(), "0", peer.OrderArgs{Model: planogram, Fence: test.order})
			if err != nil || reply.Code != test.want {
				t.Errorf("%s: got %s and %v, want %s", test.name, reply.Code.Name(), err, test.want.Name())
			}
			if got, want := len(guarded.orders) > before, test.want == result.OK; got != want {
				t.Errorf("%s: got obeyed %t, want %t", test.name, got, want)
			}
		}
	})
}
