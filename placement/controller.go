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
	// stepInterval is the time between two evaluations of the plan.
	stepInterval = time.Second
	// defaultLoadInterval is the default of Controller.LoadInterval.
	defaultLoadInterval = 10 * time.Second
	// defaultMaxLoads is the default of Controller.MaxLoads.
	defaultMaxLoads = 2
	// maxListLag is how long an order that was carried out stays in effect for the
	// plan if the list of VMs, which lags, doesn't show the new model.
	maxListLag = 2 * time.Minute
	// rejectedOrderPause is how long an engine that rejected an order gets no
	// further ones.
	rejectedOrderPause = time.Minute
)

// Names of the events that the controller counts.
const (
	eventOrdered      = "placement.ordered"
	eventOrderDone    = "placement.done"
	eventOrderFailed  = "placement.failed"
	eventRecordFailed = "placement.record.failed"
)

// Controller orders engines to load models until they match the placements in
// the settings. It gives orders only while its daemon holds the lease. Metrics
// and Logger may be nil.
type Controller struct {
	// Held returns the fencing number and whether the lease is held now, as
	// LeaseRunner.Held does.
	Held func() (ident.FencingNumber, bool)
	// View returns the current settings.
	View func() *settings.View
	// Engines returns the engines that accept orders, with the models that the
	// list of VMs shows. The controller modifies the slice.
	Engines func() []Engine
	// Order sends an order to the sidecar of an upstream and returns after the
	// engine has loaded the model.
	Order func(ctx context.Context, upstream ident.UpstreamID, args peer.OrderArgs) (peer.OrderReply, error)
	// ReadRecord and WriteRecord store the recent orders in the table, as
	// RecordTable does.
	ReadRecord  func(ctx context.Context) (Record, error)
	WriteRecord func(ctx context.Context, record Record) error
	// LoadInterval is the minimum time between the starts of two loads from the
	// weight store; zero means 10 s.
	LoadInterval time.Duration
	// MaxLoads is the maximum number of concurrent loads; zero means 2.
	MaxLoads int
	Metrics  *metrics.Set
	Logger   *slog.Logger

	mu sync.Mutex
	// term is the fencing number of the term that orders belongs to.
	term   ident.FencingNumber
	orders map[ident.UpstreamID]*order
	// nextLoadAt is the earliest time of the next order.
	nextLoadAt time.Time
	tasks      sync.WaitGroup
}

// order is one order of the current term, or one that was read from the record
// of the former holder. The controller's mutex guards the fields after fence.
type order struct {
	controller *Controller
	move       Move
	fence      ident.FencingNumber
	// running says that the reply is still outstanding.
	running bool
	// rejected says that the order was certainly not carried out.
	rejected bool
	// expiresAt is when an order that is no longer running is dropped.
	expiresAt time.Time
}

// Run calls Step every second until ctx is done, and then waits for the orders
// that are still running.
func (controller *Controller) Run(ctx context.Context) {
	defer controller.tasks.Wait()
	for ctx.Err() == nil {
		controller.Step(ctx, time.Now())
		wait.Sleep(ctx, stepInterval)
	}
}

// Step starts at most one order at the time now, and none without the lease. The
// order runs in the background.
func (controller *Controller) Step(ctx context.Context, now time.Time) {
	fence, held := controller.Held()
	if !held {
		return
	}
	if err := controller.beginTerm(ctx, fence, now); err != nil {
		controller.reportRecordError(err)
		return
	}
	next := controller.nextOrder(fence, now)
	if next == nil {
		return
	}
	if err := controller.writeRecord(ctx); err != nil {
		controller.reportRecordError(err)
		controller.remove(next)
		return
	}
	controller.Metrics.CountEvent(eventOrdered)
	controller.logger().Info("Ordered an engine to load another model.", "upstream", next.move.Upstream, "from", next.move.From, "to", next.move.To, "fence", fence)
	controller.tasks.Add(1)
	go next.run(ctx)
}

func (controller *Controller) reportRecordError(err error) {
	controller.Metrics.CountEvent(eventRecordFailed)
	controller.logger().Warn("Record of placement orders could not be read or written.", "error", err)
}

// beginTerm reads the orders of the former holder from the record, if this is
// the first step of a term.
func (controller *Controller) beginTerm(ctx context.Context, fence ident.FencingNumber, now time.Time) error {
	controller.mu.Lock()
	begun := controller.term == fence && controller.orders != nil
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
	controller.term = fence
	// The former holder may have started a load just before.
	controller.nextLoadAt = now.Add(controller.loadInterval())
	controller.orders = make(map[ident.UpstreamID]*order)
	for upstream, model := range record.Models {
		controller.orders[upstream] = &order{controller: controller, move: Move{Upstream: upstream, To: model}, fence: fence, expiresAt: now.Add(maxListLag)}
	}
	return nil
}

// nextOrder returns the next order, or nil if none is due.
func (controller *Controller) nextOrder(fence ident.FencingNumber, now time.Time) *order {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	engines := controller.plannedEngines(now)
	if now.Before(controller.nextLoadAt) || controller.runningOrders() >= controller.maxLoads() {
		return nil
	}
	for _, move := range New(Demands(controller.View()), engines).Moves {
		if controller.orders[move.Upstream] != nil {
			continue
		}
		next := &order{controller: controller, move: move, fence: fence, running: true}
		controller.orders[move.Upstream] = next
		controller.nextLoadAt = now.Add(controller.loadInterval())
		return next
	}
	return nil
}

// writeRecord writes the orders of this term to the table. It is called before
// an order is sent, so that the next holder knows of every order.
func (controller *Controller) writeRecord(ctx context.Context) error {
	controller.mu.Lock()
	record := Record{Fence: controller.term, Models: make(map[ident.UpstreamID]ident.ModelName)}
	for upstream, order := range controller.orders {
		if !order.rejected {
			record.Models[upstream] = order.move.To
		}
	}
	controller.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return controller.WriteRecord(ctx, record)
}

// remove drops an order that was not sent.
func (controller *Controller) remove(order *order) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	delete(controller.orders, order.move.Upstream)
}

// plannedEngines returns the engines with the models that the orders of this
// term lead to. An engine that rejected its order keeps its model and is fixed
// for rejectedOrderPause. The caller holds the mutex.
func (controller *Controller) plannedEngines(now time.Time) []Engine {
	engines := controller.Engines()
	for i := range engines {
		order := controller.orders[engines[i].Upstream]
		if order == nil {
			continue
		}
		listed := !order.rejected && engines[i].Model == order.move.To
		if !order.running && (listed || !now.Before(order.expiresAt)) {
			delete(controller.orders, engines[i].Upstream)
			continue
		}
		if order.rejected {
			engines[i].Fixed = true
			continue
		}
		engines[i].Model = order.move.To
	}
	return engines
}

func (controller *Controller) runningOrders() int {
	count := 0
	for _, order := range controller.orders {
		if order.running {
			count++
		}
	}
	return count
}

// run sends the order, unless the lease has expired in the meantime.
func (order *order) run(ctx context.Context) {
	controller := order.controller
	defer controller.tasks.Done()
	if fence, held := controller.Held(); !held || fence != order.fence {
		order.finish(result.LeaseLapsed, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := controller.Order(ctx, order.move.Upstream, peer.OrderArgs{Model: order.move.To, Fence: order.fence})
	if err != nil {
		reply.Code = result.From(err, result.OutcomeUnknown).Code
	}
	order.finish(reply.Code, time.Now())
}

// finish records and reports the result of the order.
func (order *order) finish(code result.Code, now time.Time) {
	controller := order.controller
	controller.mu.Lock()
	order.running = false
	// An order whose outcome is unknown is treated as carried out until the list
	// of VMs must show it, so that no other engine is moved instead.
	order.rejected = code.Outcome() == result.NotRun
	order.expiresAt = now.Add(maxListLag)
	if order.rejected {
		order.expiresAt = now.Add(rejectedOrderPause)
	}
	controller.mu.Unlock()
	if code == result.OK {
		controller.Metrics.CountEvent(eventOrderDone)
		return
	}
	controller.Metrics.CountEvent(eventOrderFailed)
	controller.logger().Warn("Placement order failed.", "upstream", order.move.Upstream, "to", order.move.To, "code", code.String())
}

func (controller *Controller) loadInterval() time.Duration {
	if controller.LoadInterval > 0 {
		return controller.LoadInterval
	}
	return defaultLoadInterval
}

func (controller *Controller) maxLoads() int {
	if controller.MaxLoads > 0 {
		return controller.MaxLoads
	}
	return defaultMaxLoads
}

func (controller *Controller) logger() *slog.Logger {
	return logging.Component(controller.Logger, "placement")
}
