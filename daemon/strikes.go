package daemon

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/peer"
)

const (
	// maxPendingStrikes is the maximum number of strikes waiting to be sent.
	maxPendingStrikes = 256
	strikeSendTimeout = time.Second
)

// strikeBroadcaster sends strikes to the other sidecars of the pool, so that all of
// them treat a request that crashes upstreams in the same way.
type strikeBroadcaster struct {
	base    *base
	pool    func() []directory.Entry
	pending chan peer.StrikeArgs
}

// enqueue queues args for sending. It never blocks: if the queue is full, args are
// dropped and remain known to this sidecar only.
func (broadcaster *strikeBroadcaster) enqueue(args peer.StrikeArgs) {
	select {
	case broadcaster.pending <- args:
	default:
		broadcaster.base.metrics.CountEvent("strike.spread.dropped")
	}
}

func (broadcaster *strikeBroadcaster) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case args := <-broadcaster.pending:
			broadcaster.send(ctx, args)
		}
	}
}

// send sends args to all sidecars of the pool in parallel and waits until all
// calls have ended.
func (broadcaster *strikeBroadcaster) send(ctx context.Context, args peer.StrikeArgs) {
	entries := broadcaster.pool()
	done := make(chan struct{}, len(entries))
	for _, entry := range entries {
		notice := &strikeNotice{base: broadcaster.base, entry: entry, args: args, done: done}
		go notice.run(ctx)
	}
	for range entries {
		<-done
	}
}

// strikeNotice sends strikes to one sidecar.
type strikeNotice struct {
	base  *base
	entry directory.Entry
	args  peer.StrikeArgs
	done  chan<- struct{}
}

func (notice *strikeNotice) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, strikeSendTimeout)
	defer cancel()
	var nothing peer.Nothing
	err := notice.base.links.Call(ctx, notice.entry.PeerAddress, peer.MethodStrike, notice.args, &nothing)
	if err != nil {
		notice.base.metrics.CountEvent("strike.spread.failed")
	}
	notice.done <- struct{}{}
}
