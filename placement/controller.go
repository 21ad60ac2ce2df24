package placement

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// stepEvery is the time between two looks at the plan.
	stepEvery = time.Second
	// defaultLoadEvery is the time between two loads from the weight store.
	defaultLoadEvery = 10 * time.Second
	// defaultLoads is the most loads at one time.
	defaultLoads = 2
	// shownWithin is how long an order that was carried out counts although the
	// list of VMs does not show it; the list lags.
	shownWithin = 2 * time.Minute
	// failedPause is how long an engine is left alone after a refused order.
	failedPause = time.Minute
)

// Events that the controller counts.
const (
	eventOrdered      = "placement.ordered"
	eventCarriedOut   = "placement.done"
	eventOrderFailed  = "placement.failed"
	eventRecordFailed = "placement.record.failed"
)

// Controller gives the orders that lead to the placements in force, while its
// daemon holds the lease.
type Controller struct {
	// Held returns the fencing number and whether the lease is held now, as
	// LeaseRunner.Held does.
	Held func() (ident.FencingNumber, bool)
	View func() *settings.View
	// Engines returns the engines that take orders, as the list of VMs has them.
	Engines func() []Engine
	// Order gives an order to the sidecar of an upstream.
	Order func(ctx context.Context, upstream ident.UpstreamID, args peer.OrderArgs) (peer.OrderReply, error)
	// ReadRecord and WriteRecord keep the orders given lately in the table, as
	// RecordTable does.
	ReadRecord  func(ctx context.Context) (Record, error)
	WriteRecord func(ctx context.Context, record Record) error
	// LoadEvery is the least time between two loads from the weight store; zero
	// means 10 s.
	LoadEvery time.Duration
	// Loads is the most loads at one time; zero means 2.
	Loads   int
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu sync.Mutex
	// tenure is the fencing number under which orders was collected.
	tenure ident.FencingNumber
	orders map[ident.UpstreamID]*order
	loadAt time.Time
	tasks  sync.WaitGroup
}

// order is one order of this tenure.
type order struct {
	controller *Controller
	move       Move
	fence      ident.FencingNumber
	// running says that the reply has not come yet.
	running bool
	failed  bool
	// forgetAt is when the order counts no longer, once its reply has come.
	forgetAt time.Time
}

// Run gives orders until ctx ends and those on their way have ended.
func (controller *Controller) Run(ctx context.Context) {
	defer controller.tasks.Wait()
	for ctx.Err() == nil {
		controller.Step(ctx, time.Now())
		wait.Sleep(ctx, stepEvery)
	}
}

// Step gives at most one order at the time now.
func (controller *Controller) Step(ctx context.Context, now time.Time) {
	fence, held := controller.Held()
	if !held {
		return
	}
	if err := controller.begin(ctx, fence, now); err != nil {
		controller.recordFailed(err)
		return
	}
	next := controller.choose(fence, now)
	if next == nil {
		return
	}
	if err := controller.record(ctx); err != nil {
		controller.recordFailed(err)
		controller.withdraw(next)
		return
	}
	controller.Metrics.CountEvent(eventOrdered)
	controller.logger().Info("Ordered a move.", "upstream", next.move.Upstream, "from", next.move.From, "to", next.move.To, "fence", fence)
	controller.tasks.Add(1)
	go next.run(ctx)
}

func (controller *Controller) recordFailed(err error) {
	controller.Metrics.CountEvent(eventRecordFailed)
	controller.logger().Warn("Orders not recorded.", "error", err)
}

// begin takes over the orders of the holder before at the start of a tenure.
func (controller *Controller) begin(ctx context.Context, fence ident.FencingNumber, now time.Time) error {
	controller.mu.Lock()
	begun := controller.tenure == fence && controller.orders != nil
	controller.mu.Unlock()
	if begun {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	record, err := controller.ReadRecord(ctx)
	if err != nil {
		return err
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.tenure = fence
	// The holder before may have begun a load just now.
	controller.loadAt = now.Add(controller.loadEvery())
	controller.orders = make(map[ident.UpstreamID]*order)
	for upstream, model := range record.Models {
		controller.orders[upstream] = &order{controller: controller, move: Move{Upstream: upstream, To: model}, fence: fence, forgetAt: now.Add(shownWithin)}
	}
	return nil
}

// choose returns the next order, or nil where none is due.
func (controller *Controller) choose(fence ident.FencingNumber, now time.Time) *order {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	engines := controller.engines(now)
	if now.Before(controller.loadAt) || controller.running() >= controller.loads() {
		return nil
	}
	for _, move := range New(Demands(controller.View()), engines).Moves {
		if controller.orders[move.Upstream] != nil {
			continue
		}
		next := &order{controller: controller, move: move, fence: fence, running: true}
		controller.orders[move.Upstream] = next
		controller.loadAt = now.Add(controller.loadEvery())
		return next
	}
	return nil
}

// record writes the orders of this tenure to the table, before the latest of
// them is given.
func (controller *Controller) record(ctx context.Context) error {
	controller.mu.Lock()
	record := Record{Fence: controller.tenure, Models: make(map[ident.UpstreamID]ident.ModelName)}
	for upstream, present := range controller.orders {
		if !present.failed {
			record.Models[upstream] = present.move.To
		}
	}
	controller.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return controller.WriteRecord(ctx, record)
}

// withdraw forgets an order that was not given.
func (controller *Controller) withdraw(order *order) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	delete(controller.orders, order.move.Upstream)
}

// engines returns the engines with the orders of this tenure taken into account.
// An engine whose order was refused keeps its model and is left alone for a
// while.
func (controller *Controller) engines(now time.Time) []Engine {
	engines := controller.Engines()
	for i := range engines {
		present := controller.orders[engines[i].Upstream]
		if present == nil {
			continue
		}
		shown := !present.failed && engines[i].Model == present.move.To
		if !present.running && (shown || !now.Before(present.forgetAt)) {
			delete(controller.orders, engines[i].Upstream)
			continue
		}
		if present.failed {
			engines[i].Fixed = true
			continue
		}
		engines[i].Model = present.move.To
	}
	return engines
}

func (controller *Controller) running() int {
	count := 0
	for _, present := range controller.orders {
		if present.running {
			count++
		}
	}
	return count
}

// run gives the order, unless the lease has lapsed in the meantime.
func (order *order) run(ctx context.Context) {
	controller := order.controller
	defer controller.tasks.Done()
	if fence, held := controller.Held(); !held || fence != order.fence {
		order.ended(result.LeaseLapsed, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := controller.Order(ctx, order.move.Upstream, peer.OrderArgs{Model: order.move.To, Fence: order.fence})
	if err != nil {
		reply.Code = result.From(err, result.OutcomeUnknown).Code
	}
	order.ended(reply.Code, time.Now())
}

func (order *order) ended(code result.Code, now time.Time) {
	controller := order.controller
	controller.mu.Lock()
	order.running = false
	// An order whose outcome is unknown counts as carried out until the list of
	// VMs should show it, so that no other engine is moved in its place.
	order.failed = code.Outcome() == result.NotRun
	order.forgetAt = now.Add(shownWithin)
	if order.failed {
		order.forgetAt = now.Add(failedPause)
	}
	controller.mu.Unlock()
	if code == result.OK {
		controller.Metrics.CountEvent(eventCarriedOut)
		return
	}
	controller.Metrics.CountEvent(eventOrderFailed)
	controller.logger().Warn("Order failed.", "upstream", order.move.Upstream, "to", order.move.To, "code", code.String())
}

func (controller *Controller) loadEvery() time.Duration {
	if controller.LoadEvery > 0 {
		return controller.LoadEvery
	}
	return defaultLoadEvery
}

func (controller *Controller) loads() int {
	if controller.Loads > 0 {
		return controller.Loads
	}
	return defaultLoads
}

func (controller *Controller) logger() *slog.Logger {
	return logging.Component(controller.Logger, "placement")
}
