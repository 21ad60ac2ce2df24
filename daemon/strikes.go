package daemon

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/peer"
)

const (
	// strikeBacklog is the most strikes that wait to be passed on.
	strikeBacklog = 256
	strikeTimeout = time.Second
)

// strikeSpread passes strikes on to the other sidecars of the pool, so that a
// request that crashes upstreams meets the same answer everywhere.
type strikeSpread struct {
	base    *base
	pool    func() []directory.Entry
	pending chan peer.StrikeArgs
}

// add passes args on soon. With a full backlog they stay at this sidecar.
func (spread *strikeSpread) add(args peer.StrikeArgs) {
	select {
	case spread.pending <- args:
	default:
		spread.base.metrics.CountEvent("strike.spread.dropped")
	}
}

func (spread *strikeSpread) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case args := <-spread.pending:
			spread.send(ctx, args)
		}
	}
}

// send tells every sidecar of the pool at once and waits for all of them.
func (spread *strikeSpread) send(ctx context.Context, args peer.StrikeArgs) {
	entries := spread.pool()
	told := make(chan struct{}, len(entries))
	for _, entry := range entries {
		notice := &strikeNotice{base: spread.base, entry: entry, args: args, told: told}
		go notice.run(ctx)
	}
	for range entries {
		<-told
	}
}

// strikeNotice tells one sidecar of strikes.
type strikeNotice struct {
	base  *base
	entry directory.Entry
	args  peer.StrikeArgs
	told  chan<- struct{}
}

func (notice *strikeNotice) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	var nothing peer.Nothing
	err := notice.base.links.Call(ctx, notice.entry.PeerAddress, peer.MethodStrike, notice.args, &nothing)
	if err != nil {
		notice.base.metrics.CountEvent("strike.spread.failed")
	}
	notice.told <- struct{}{}
}
