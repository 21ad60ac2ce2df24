package sidecar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/upstream"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	// probeFailures is how many probes in a row fail before the upstream
	// counts as lost.
	probeFailures = 3
)

// errUpstreamLost ends the runs on an upstream that no longer answers.
var errUpstreamLost = errors.New("the upstream no longer answers")

// Probe asks the engine for its load report until ctx ends. An engine that does
// not answer several times in a row counts as lost: its idempotent requests end,
// so that they can go on elsewhere, and new ones are refused until it answers.
func (sidecar *Sidecar) Probe(ctx context.Context) {
	wait.Every(ctx, probeInterval, sidecar.probe)
}

func (sidecar *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := sidecar.Client.Load(ctx)
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if err == nil {
		sidecar.answered(report)
		return
	}
	sidecar.failures++
	if sidecar.failures == probeFailures {
		sidecar.lose()
	}
}

// answered takes note of a load report. The caller holds mu.
func (sidecar *Sidecar) answered(report upstream.Load) {
	if sidecar.failures >= probeFailures {
		sidecar.log().Info("The upstream answers again.")
	}
	sidecar.failures = 0
	if report.Limit != sidecar.reportedLimit || report.Model != sidecar.reportedModel {
		sidecar.reportedLimit = report.Limit
		sidecar.reportedModel = report.Model
		sidecar.policyOf = nil
	}
}

// unreachable takes note that no connection to the engine could be opened. The
// next probe that is answered ends this.
func (sidecar *Sidecar) unreachable() {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if sidecar.Upstream.Model != "" {
		sidecar.failures = max(sidecar.failures, probeFailures)
	}
}

// lose ends the idempotent requests that run on a lost upstream. The caller
// holds mu.
func (sidecar *Sidecar) lose() {
	sidecar.log().Warn("The upstream no longer answers. Its work goes on elsewhere.", "requests", sidecar.controller.Load())
	sidecar.Metrics.CountEvent("upstream.lost")
	for _, held := range sidecar.executions {
		if held.idempotent && held.attemptState() == peer.AttemptForwarded {
			held.lose()
		}
	}
}

// checkUpstream refuses new work for a lost upstream.
func (sidecar *Sidecar) checkUpstream() error {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if sidecar.failures < probeFailures {
		return nil
	}
	return &result.Error{Code: result.UpstreamUnreachable, Detail: errUpstreamLost.Error(), RetryAt: sidecar.now().Add(comeBack)}
}
