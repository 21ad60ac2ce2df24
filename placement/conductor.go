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

// Events that the conductor counts.
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
	// Tenure.Held does.
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
	conductor *Controller
	move      Move
	fence     ident.FencingNumber
	// running says that the reply has not come yet.
	running bool
	failed  bool
	// forgetAt is when the order counts no longer, once its reply has come.
	forgetAt time.Time
}

// Run gives orders until ctx ends and those on their way have ended.
func (conductor *Controller) Run(ctx context.Context) {
	defer conductor.tasks.Wait()
	for ctx.Err() == nil {
		conductor.Step(ctx, time.Now())
		wait.Sleep(ctx, stepEvery)
	}
}

// Step gives at most one order at the time now.
func (conductor *Controller) Step(ctx context.Context, now time.Time) {
	fence, held := conductor.Held()
	if !held {
		return
	}
	if err := conductor.begin(ctx, fence, now); err != nil {
		conductor.recordFailed(err)
		return
	}
	next := conductor.choose(fence, now)
	if next == nil {
		return
	}
	if err := conductor.record(ctx); err != nil {
		conductor.recordFailed(err)
		conductor.withdraw(next)
		return
	}
	conductor.Metrics.CountEvent(eventOrdered)
	conductor.logger().Info("Ordered a move.", "upstream", next.move.Upstream, "from", next.move.From, "to", next.move.To, "fence", fence)
	conductor.tasks.Add(1)
	go next.run(ctx)
}

func (conductor *Controller) recordFailed(err error) {
	conductor.Metrics.CountEvent(eventRecordFailed)
	conductor.logger().Warn("Orders not recorded.", "error", err)
}

// begin takes over the orders of the holder before at the start of a tenure.
func (conductor *Controller) begin(ctx context.Context, fence ident.FencingNumber, now time.Time) error {
	conductor.mu.Lock()
	begun := conductor.tenure == fence && conductor.orders != nil
	conductor.mu.Unlock()
	if begun {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	record, err := conductor.ReadRecord(ctx)
	if err != nil {
		return err
	}
	conductor.mu.Lock()
	defer conductor.mu.Unlock()
	conductor.tenure = fence
	// The holder before may have begun a load just now.
	conductor.loadAt = now.Add(conductor.loadEvery())
	conductor.orders = make(map[ident.UpstreamID]*order)
	for upstream, model := range record.Models {
		conductor.orders[upstream] = &order{conductor: conductor, move: Move{Upstream: upstream, To: model}, fence: fence, forgetAt: now.Add(shownWithin)}
	}
	return nil
}

// choose returns the next order, or nil where none is due.
func (conductor *Controller) choose(fence ident.FencingNumber, now time.Time) *order {
	conductor.mu.Lock()
	defer conductor.mu.Unlock()
	engines := conductor.engines(now)
	if now.Before(conductor.loadAt) || conductor.running() >= conductor.loads() {
		return nil
	}
	for _, move := range New(Demands(conductor.View()), engines).Moves {
		if conductor.orders[move.Upstream] != nil {
			continue
		}
		next := &order{conductor: conductor, move: move, fence: fence, running: true}
		conductor.orders[move.Upstream] = next
		conductor.loadAt = now.Add(conductor.loadEvery())
		return next
	}
	return nil
}

// record writes the orders of this tenure to the table, before the latest of
// them is given.
func (conductor *Controller) record(ctx context.Context) error {
	conductor.mu.Lock()
	record := Record{Fence: conductor.tenure, Models: make(map[ident.UpstreamID]ident.ModelName)}
	for upstream, present := range conductor.orders {
		if !present.failed {
			record.Models[upstream] = present.move.To
		}
	}
	conductor.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return conductor.WriteRecord(ctx, record)
}

// withdraw forgets an order that was not given.
func (conductor *Controller) withdraw(order *order) {
	conductor.mu.Lock()
	defer conductor.mu.Unlock()
	delete(conductor.orders, order.move.Upstream)
}

// engines returns the engines with the orders of this tenure taken into account.
// An engine whose order was refused keeps its model and is left alone for a
// while.
func (conductor *Controller) engines(now time.Time) []Engine {
	engines := conductor.Engines()
	for i := range engines {
		present := conductor.orders[engines[i].Upstream]
		if present == nil {
			continue
		}
		shown := !present.failed && engines[i].Model == present.move.To
		if !present.running && (shown || !now.Before(present.forgetAt)) {
			delete(conductor.orders, engines[i].Upstream)
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

func (conductor *Controller) running() int {
	count := 0
	for _, present := range conductor.orders {
		if present.running {
			count++
		}
	}
	return count
}

// run gives the order, unless the lease has lapsed in the meantime.
func (order *order) run(ctx context.Context) {
	conductor := order.conductor
	defer conductor.tasks.Done()
	if fence, held := conductor.Held(); !held || fence != order.fence {
		order.ended(result.LeaseLapsed, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := conductor.Order(ctx, order.move.Upstream, peer.OrderArgs{Model: order.move.To, Fence: order.fence})
	if err != nil {
		reply.Code = result.From(err, result.OutcomeUnknown).Code
	}
	order.ended(reply.Code, time.Now())
}

func (order *order) ended(code result.Code, now time.Time) {
	conductor := order.conductor
	conductor.mu.Lock()
	order.running = false
	// An order whose outcome is unknown counts as carried out until the list of
	// VMs should show it, so that no other engine is moved in its place.
	order.failed = code.Outcome() == result.NotRun
	order.forgetAt = now.Add(shownWithin)
	if order.failed {
		order.forgetAt = now.Add(failedPause)
	}
	conductor.mu.Unlock()
	if code == result.OK {
		conductor.Metrics.CountEvent(eventCarriedOut)
		return
	}
	conductor.Metrics.CountEvent(eventOrderFailed)
	conductor.logger().Warn("Order failed.", "upstream", order.move.Upstream, "to", order.move.To, "code", code.String())
}

func (conductor *Controller) loadEvery() time.Duration {
	if conductor.LoadEvery > 0 {
		return conductor.LoadEvery
	}
	return defaultLoadEvery
}

func (conductor *Controller) loads() int {
	if conductor.Loads > 0 {
		return conductor.Loads
	}
	return defaultLoads
}

func (conductor *Controller) logger() *slog.Logger {
	return logging.Component(conductor.Logger, "placement")
}
