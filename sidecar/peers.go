package sidecar

import (
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/strike"
)

// ApplySample records the load that another upstream sent when it requested the
// load of this one.
func (sidecar *Sidecar) ApplySample(args peer.SampleArgs) {
	if args.Upstream == "" || args.Upstream == sidecar.Upstream.ID {
		return
	}
	sample := admission.Sample{Upstream: args.Upstream, Load: args.Load, SeenAt: sidecar.now(), Leaving: args.Leaving}
	sidecar.Observe([]admission.Sample{sample})
}

// ApplyStrikes applies strikes that other sidecars added or cleared.
func (sidecar *Sidecar) ApplyStrikes(args peer.StrikeArgs) {
	now := sidecar.now()
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	for _, item := range args.Strikes {
		age := time.Duration(max(0, item.AgeMs)) * time.Millisecond
		sidecar.strikes.Add(now, strike.Strike{Fingerprint: item.Fingerprint, Upstream: item.Upstream, At: now.Add(-age)})
	}
	for _, fingerprint := range args.Cleared {
		sidecar.strikes.Clear(fingerprint)
	}
}
