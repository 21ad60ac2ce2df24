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

// orderTimeout bounds one order, in which an engine loads a model.
const orderTimeout = 10 * time.Minute

// Guard stands at a sidecar between the orders of lease holders and the engine,
// whether or not the engine checks fencing numbers. It reads the lease's row for
// each order, since orders are few: so it needs no memory across a restart, and
// an older holder is refused as soon as a later one has the lease. Register it
// with the peer server as "Orders".
type Guard struct {
	// Current returns the fencing number in the lease's row; see CurrentFence.
	Current func(ctx context.Context) (ident.FencingNumber, error)
	// Order gives the engine an order, as upstream.Client.Order does.
	Order   func(ctx context.Context, order upstream.Order) error
	Metrics *metrics.Set

	// mu lets one order at a time through, so that an order of a later holder
	// follows those that were let through before.
	mu    sync.Mutex
	fence lease.Fence
}

// CurrentFence returns a function that reads the fencing number of the lease in
// the table; zero where nobody has held it.
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

// Take carries out an order, unless its fencing number is older than one that
// this sidecar has seen in an order or in the table.
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
		// A later holder may be there without this sidecar knowing.
		return result.FenceUnknown
	}
	guard.fence.Observe(current)
	return guard.fence.Admit(fence)
}
