package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const sampleTimeout = 500 * time.Millisecond

// sampler keeps the sidecar informed of the loads in its pool.
type sampler struct {
	base *base
	core *sidecar.Sidecar
	pool func() []directory.Entry
	// rounds counts the rounds, from which the partners of each follow.
	rounds uint64
}

func (sampler *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(admission.SamplePeriod)
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

// round exchanges loads with the partners of this round.
func (sampler *sampler) round(ctx context.Context) {
	entries := sampler.pool()
	self := slices.IndexFunc(entries, func(entry directory.Entry) bool { return entry.Upstream == sampler.core.Upstream.ID })
	sampler.rounds++
	for _, place := range admission.Partners(len(entries), self, sampler.rounds) {
		if place == self {
			continue
		}
		exchange := &sampleExchange{sampler: sampler, entry: entries[place]}
		go exchange.run(ctx)
	}
}

// sampleExchange exchanges loads with one upstream of the pool.
type sampleExchange struct {
	sampler *sampler
	entry   directory.Entry
}

func (exchange *sampleExchange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	core := exchange.sampler.core
	state := core.State()
	args := peer.SampleArgs{Upstream: state.Upstream, Load: state.Load, Leaving: state.Leaving || state.Lost}
	var reply peer.SampleReply
	if err := exchange.sampler.base.links.Call(ctx, exchange.entry.PeerAddress, peer.MethodSample, args, &reply); err != nil {
		return
	}
	core.Observe([]admission.Sample{{Upstream: reply.Upstream, Load: reply.Load, SeenAt: time.Now(), Leaving: reply.Leaving}})
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

func (sweep *sweep) run(ctx context.Context) { sweep.core.Run(ctx) }
