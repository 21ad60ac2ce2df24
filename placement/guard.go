package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/lease"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// orderTimeout bounds one order, including the time in which the engine loads the
// model.
const orderTimeout = 10 * time.Minute

// Guard rejects the orders of former lease holders at a sidecar, so that the
// engine need not check fencing numbers. It reads the lease's row for each order,
// which is cheap enough because orders are rare. It therefore keeps no state
// across restarts, and rejects a former holder as soon as another one has the
// lease, even before that one's first order. Register it with the peer server as
// "Orders". A Guard is safe for concurrent use.
type Guard struct {
	// Current returns the fencing number in the lease's row; see CurrentFence.
	Current func(ctx context.Context) (ident.FencingNumber, error)
	// Order sends an order to the engine, as upstream.Client.Order does.
	Order   func(ctx context.Context, order upstream.Order) error
	Metrics *metrics.Set

	// mu serializes orders, so that an order of a later holder reaches the engine
	// after those admitted before it.
	mu    sync.Mutex
	fence lease.Fence
}

// CurrentFence returns a function for Guard.Current that reads the fencing number
// from the lease's row, and returns zero if there is no row yet.
func CurrentFence(client *platform.Client) func(ctx context.Context) (ident.FencingNumber, error) {
	return func(ctx context.Context) (ident.FencingNumber, error) {
		rows, err := client.Read(ctx, LeaseName.Row())
		if err != nil || len(rows) == 0 {
			return 0, err
		}
		var record lease.Record
		err = json.Unmarshal(rows[0].Value, &record)
		return record.Fence, err
	}
}

// Take is the RPC that carries out an order. It returns when the engine has
// loaded the model. reply.Code is StaleFence if the fencing number is lower than
// one that this sidecar has seen in an order or in the table, and FenceUnknown if
// the table could not be read. The returned error is always nil.
func (guard *Guard) Take(args peer.OrderArgs, reply *peer.OrderReply) error {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	reply.Code = guard.admit(ctx, args.Fence)
	if reply.Code != result.OK {
		guard.Metrics.CountRefusal(reply.Code)
		return nil
	}
	err := guard.Order(ctx, upstream.Order{Kind: upstream.LoadModel, Model: args.Model, Fence: args.Fence})
	reply.Code = result.CodeOf(err)
	return nil
}

func (guard *Guard) admit(ctx context.Context, fence ident.FencingNumber) result.Code {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	current, err := guard.Current(ctx)
	if err != nil {
		// Another daemon may have acquired the lease since the last read.
		return result.FenceUnknown
	}
	guard.fence.Observe(current)
	return guard.fence.Admit(fence)
}
