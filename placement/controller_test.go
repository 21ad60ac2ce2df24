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
	// listLag is the delay until the list of VMs shows the new model of an engine.
	listLag = 30 * time.Second
)

// fixture is a set of engines with the guards of their sidecars, and the table
// and settings of the routers that order them. It runs in a synctest bubble,
// without sockets.
type fixture struct {
	t       *testing.T
	table   *standin.Platform
	view    *settings.View
	engines []*engine
}

// engine accepts every order, whatever its fencing number.
type engine struct {
	guard placement.Guard

	mu          sync.Mutex
	model       ident.ModelName
	formerModel ident.ModelName
	loadedAt    time.Time
	orders      []upstream.Order
	orderedAt   []time.Time
}

func (engine *engine) order(_ context.Context, order upstream.Order) error {
	engine.mu.Lock()
	engine.orders = append(engine.orders, order)
	engine.orderedAt = append(engine.orderedAt, time.Now())
	engine.mu.Unlock()
	time.Sleep(loadTime)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.formerModel, engine.model, engine.loadedAt = engine.model, order.Model, time.Now()
	return nil
}

// listedModel returns the model that the list of VMs shows.
func (engine *engine) listedModel() ident.ModelName {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if time.Since(engine.loadedAt) < listLag {
		return engine.formerModel
	}
	return engine.model
}

func newFixture(t *testing.T, engines int, demands map[ident.ModelName]int) *fixture {
	t.Helper()
	fixture := &fixture{t: t, table: &standin.Platform{}}
	subtree := &settings.Subtree{Team: "beaudoin", Revision: 1, Placements: make(map[string]settings.Placement)}
	for model, replicas := range demands {
		subtree.Placements[string(model)] = settings.Placement{Model: model, Replicas: replicas}
	}
	fixture.view, _ = fixture.view.Adopt(subtree)
	for range engines {
		added := &engine{model: rota}
		added.guard = placement.Guard{Current: placement.CurrentFence(fixture.client()), Order: added.order}
		fixture.engines = append(fixture.engines, added)
	}
	return fixture
}

func (fixture *fixture) client() *platform.Client {
	return &platform.Client{
		Commit: func(ctx context.Context, transaction platform.Transaction) (ident.Revision, error) {
			if ctx.Err() != nil || fixture.table.Switches().Outage {
				return 0, platform.ErrUnavailable
			}
			revision, conflict, applied := fixture.table.Commit(transaction)
			if !applied {
				return 0, &platform.ConflictError{Conflict: conflict}
			}
			return revision, nil
		},
		Read: func(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
			if ctx.Err() != nil || fixture.table.Switches().Outage {
				return nil, platform.ErrUnavailable
			}
			return fixture.table.Rows(keys...), nil
		},
	}
}

func (fixture *fixture) list() []placement.Engine {
	var list []placement.Engine
	for i, engine := range fixture.engines {
		list = append(list, placement.Engine{Upstream: ident.UpstreamID(fmt.Sprint(i)), Zone: ident.Zone(fmt.Sprint(i % 3)), Model: engine.listedModel()})
	}
	return list
}

func (fixture *fixture) sendOrder(_ context.Context, to ident.UpstreamID, args peer.OrderArgs) (peer.OrderReply, error) {
	var reply peer.OrderReply
	for i, engine := range fixture.engines {
		if ident.UpstreamID(fmt.Sprint(i)) == to {
			return reply, engine.guard.Take(args, &reply)
		}
	}
	return reply, peer.ErrUnreachable
}

// router is one daemon that competes for the lease.
type router struct {
	leaseRunner *placement.LeaseRunner
	controller  *placement.Controller
}

func (fixture *fixture) router(name ident.VMID) *router {
	runner := &placement.LeaseRunner{VM: name, Client: fixture.client()}
	record := &placement.RecordTable{Client: fixture.client()}
	return &router{leaseRunner: runner, controller: &placement.Controller{
		ReadRecord:  record.Read,
		WriteRecord: record.Write,
		Held:        runner.Held,
		View:        func() *settings.View { return fixture.view },
		Engines:     fixture.list,
		Order:       fixture.sendOrder,
	}}
}

func (router *router) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	var leaseDone sync.WaitGroup
	leaseDone.Go(func() { router.leaseRunner.Run(ctx) })
	router.controller.Run(ctx)
	leaseDone.Wait()
}

// orders returns the number of orders that the engines received, and their times
// in ascending order.
func (fixture *fixture) orders() (count int, at []time.Time) {
	for _, engine := range fixture.engines {
		engine.mu.Lock()
		count += len(engine.orders)
		at = append(at, engine.orderedAt...)
		engine.mu.Unlock()
	}
	slices.SortFunc(at, time.Time.Compare)
	return count, at
}

func TestOneRouterGivesTheFewestOrdersAtTheRateOfTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 9, map[ident.ModelName]int{rota: 4, planogram: 5})
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Add(3)
		for i := range 3 {
			go fixture.router(ident.VMID(fmt.Sprint("router-", i))).run(ctx, &done)
		}
		time.Sleep(5 * time.Minute)
		cancel()
		done.Wait()
		orders, at := fixture.orders()
		if want := 5; orders != want {
			t.Errorf("got %d orders, want %d", orders, want)
		}
		for i := 1; i < len(at); i++ {
			if got, want := at[i].Sub(at[i-1]), 10*time.Second; got < want {
				t.Errorf("got two loads %v apart, want at least %v", got, want)
			}
		}
		if got, want := countByModel(fixture.list())[planogram], 5; got != want {
			t.Errorf("got %d engines that serve the model, want %d", got, want)
		}
	})
}

// The lease holder is killed after some of its orders. Another router acquires the
// lease after it has expired, and gives only the remaining orders.
func TestAnotherRouterTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 9, map[ident.ModelName]int{rota: 4, planogram: 5})
		first, second := fixture.router("router-1"), fixture.router("router-2")
		var done sync.WaitGroup
		done.Add(2)
		firstCtx, kill := context.WithCancel(context.Background())
		go first.run(firstCtx, &done)
		time.Sleep(25 * time.Second)
		// A killed process doesn't release its lease.
		fixture.table.Switch(standin.PlatformSwitches{Outage: true})
		kill()
		time.Sleep(2 * time.Second)
		fixture.table.Switch(standin.PlatformSwitches{})
		ctx, cancel := context.WithCancel(context.Background())
		go second.run(ctx, &done)
		time.Sleep(5 * time.Minute)
		cancel()
		done.Wait()
		orders, _ := fixture.orders()
		if want := 5; orders != want {
			t.Errorf("got %d orders, want %d", orders, want)
		}
		fences := make(map[ident.FencingNumber]bool)
		for _, engine := range fixture.engines {
			for _, order := range engine.orders {
				fences[order.Fence] = true
			}
		}
		if got, want := len(fences), 2; got != want {
			t.Errorf("got orders under %d fencing numbers, want %d", got, want)
		}
	})
}

// writeFence writes the lease's row with the given fencing number.
func writeFence(table *standin.Platform, fence ident.FencingNumber) {
	raw, _ := json.Marshal(map[string]any{"Holder": "router", "Fence": fence})
	table.Commit(platform.Transaction{Writes: []platform.Write{{Key: placement.LeaseName.Row(), Value: raw}}})
}

// The guard rejects the orders of a former holder on behalf of an engine that
// ignores fencing numbers. The former holder may have been paused and may not know
// that its lease has expired, and the sidecar may have restarted since.
func TestGuardObeysNoOlderHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 1, nil)
		engine := fixture.engines[0]
		tests := []struct {
			name    string
			current ident.FencingNumber
			outage  bool
			restart bool
			order   ident.FencingNumber
			want    result.Code
		}{
			{"current holder", 3, false, false, 3, result.OK},
			{"former holder", 3, false, false, 2, result.StaleFence},
			{"former holder before the first order of the current one", 4, false, false, 3, result.StaleFence},
			{"former holder after a restart", 4, false, true, 3, result.StaleFence},
			{"current holder during an outage of the table", 4, true, true, 4, result.FenceUnknown},
			{"current holder after the outage", 4, false, false, 4, result.OK},
		}
		for _, test := range tests {
			writeFence(fixture.table, test.current)
			fixture.table.Switch(standin.PlatformSwitches{Outage: test.outage})
			if test.restart {
				engine.guard = placement.Guard{Current: placement.CurrentFence(fixture.client()), Order: engine.order}
			}
			before := len(engine.orders)
			reply, err := fixture.sendOrder(context.Background(), "0", peer.OrderArgs{Model: planogram, Fence: test.order})
			if err != nil || reply.Code != test.want {
				t.Errorf("%s: got %s and %v, want %s", test.name, reply.Code.Name(), err, test.want.Name())
			}
			if got, want := len(engine.orders) > before, test.want == result.OK; got != want {
				t.Errorf("%s: got order carried out %t, want %t", test.name, got, want)
			}
		}
	})
}
