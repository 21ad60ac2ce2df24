package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const (
	sampleInterval = time.Second
	sampleTimeout  = 500 * time.Millisecond
	// samplePeers is how many upstreams of the pool are asked in one round.
	// Each exchange informs both ends.
	samplePeers = 8
)

// sampler keeps the sidecar informed of the loads in its pool.
type sampler struct {
	base *base
	core *sidecar.Sidecar
	pool func() []directory.Entry
}

func (sampler *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		sampler.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round asks a few random upstreams of the pool, one after the other.
func (sampler *sampler) round(ctx context.Context) {
	if sampler.pool == nil {
		return
	}
	entries := sampler.pool()
	asked := 0
	for _, i := range rand.Perm(len(entries)) {
		if asked == samplePeers || ctx.Err() != nil {
			return
		}
		if entries[i].Upstream == sampler.core.Upstream.ID {
			continue
		}
		asked++
		sampler.ask(ctx, entries[i])
	}
}

func (sampler *sampler) ask(ctx context.Context, entry directory.Entry) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	state := sampler.core.State()
	args := peer.SampleArgs{Upstream: state.Upstream, Load: state.Load, Leaving: state.Leaving || state.Lost}
	var reply peer.SampleReply
	if err := sampler.base.links.Call(ctx, entry.PeerAddress, peer.MethodSample, args, &reply); err != nil {
		return
	}
	sampler.core.Observe([]admission.Sample{{Upstream: reply.Upstream, Load: reply.Load, SeenAt: time.Now(), Leaving: reply.Leaving}})
}

// probe watches whether the engine still answers.
type probe struct {
	core *sidecar.Sidecar
}

func (probe *probe) run(ctx context.Context) { probe.core.Probe(ctx) }

// sweep drops what the sidecar need not hold any more.
type sweep struct {
	core *sidecar.Sidecar
}

func (sweep *sweep) run(ctx context.Context) { _ = sweep.core.Run(ctx) }
