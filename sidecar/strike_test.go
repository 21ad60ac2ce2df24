package sidecar

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
)

// A success clears a request's strikes, even a single one. Otherwise a request
// that twice happened to run when another request crashed the upstream would be
// treated as crashing, although it succeeded in between.
func TestSuccessClearsASingleStrike(t *testing.T) {
	sidecar := &Sidecar{Upstream: platform.VMUpstream{ID: "engine-1"}}
	ended := newExecution(Call{}, 7, 0, func() {})
	sidecar.ApplyStrikes(peer.StrikeArgs{Strikes: []peer.StrikeItem{{Fingerprint: 7, Upstream: "engine-2"}}})
	args := sidecar.recordStrike(sidecar.now(), ended, false, true)
	if got, want := len(args.Cleared), 1; got != want {
		t.Errorf("got %d requests cleared after a success, want %d", got, want)
	}
}
