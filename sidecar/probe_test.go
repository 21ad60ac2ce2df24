package sidecar

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/upstream"
)

func TestUpstreamIsLostUntilItAnswers(t *testing.T) {
	var failure error
	load := func(context.Context) (upstream.Load, error) { return upstream.Load{}, failure }
	sidecar := &Sidecar{Client: &upstream.Client{Load: load}}
	probe := func(want bool) {
		t.Helper()
		sidecar.probe(t.Context())
		if got := sidecar.State().Lost; got != want {
			t.Errorf("got lost %t, want %t", got, want)
		}
	}
	failure = errors.New("connection refused")
	for range maxFailedProbes - 1 {
		probe(false)
	}
	probe(true)
	probe(true)
	failure = nil
	probe(false)
}

// After a placement order the engine has another model loaded than the settings
// file specifies. The sidecar has to use the model that the engine reports.
func TestSidecarServesTheModelThatTheEngineReports(t *testing.T) {
	load := func(context.Context) (upstream.Load, error) { return upstream.Load{Model: "tagging-1b@1"}, nil }
	sidecar := &Sidecar{Client: &upstream.Client{Load: load}, Upstream: platform.VMUpstream{Model: "planogram-7b@3"}}
	former := settings.Route{Model: "planogram-7b@3"}
	ordered := settings.Route{Model: "tagging-1b@1"}
	if got := sidecar.serves(former) && !sidecar.serves(ordered); !got {
		t.Error("before the order: got another model, want that of the settings file")
	}
	sidecar.probe(t.Context())
	if got := sidecar.serves(ordered) && !sidecar.serves(former); !got {
		t.Error("after the order: got another model, want the one that the engine reports")
	}
}
