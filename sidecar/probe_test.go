package sidecar

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

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
	for range probeFailures - 1 {
		probe(false)
	}
	probe(true)
	probe(true)
	failure = nil
	probe(false)
}
