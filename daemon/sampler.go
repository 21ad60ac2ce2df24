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

// sampler exchanges loads with other sidecars of the pool once every
// admission.SamplePeriod.
type sampler struct {
	base *base
	core *sidecar.Sidecar
	pool func() []directory.Entry
	// rounds counts the rounds. The number of a round determines its partners.
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

// round starts the exchange of loads with the partners of one round.
func (sampler *sampler) round(ctx context.Context) {
	entries := sampler.pool()
	self := slices.IndexFunc(entries, func(entry directory.Entry) bool { return entry.Upstream == sampler.core.Upstream.ID })
	sampler.rounds++
	for _, partner := range admission.Partners(len(entries), self, sampler.rounds) {
		if partner == self {
			continue
		}
		exchange := &sampleExchange{sampler: sampler, entry: entries[partner]}
		go exchange.run(ctx)
	}
}

// sampleExchange exchanges loads with the sidecar of one upstream.
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

// probe checks until its context ends whether the engine still responds.
type probe struct {
	core *sidecar.Sidecar
}

func (probe *probe) run(ctx context.Context) { probe.core.Probe(ctx) }

// maintenance removes expired state of the sidecar until its context ends.
type maintenance struct {
	core *sidecar.Sidecar
}

func (maintenance *maintenance) run(ctx context.Context) { maintenance.core.Run(ctx) }
