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
	// maxFailedProbes is the number of consecutive failed probes after which
	// the upstream counts as lost.
	maxFailedProbes = 3
)

// errUpstreamLost is the reason of runs that were cancelled, and of requests that
// were refused, because the upstream does not respond.
var errUpstreamLost = errors.New("the upstream does not respond")

// Probe periodically requests the engine's load report until ctx ends. After
// several consecutive failures the upstream counts as lost: its idempotent
// requests are cancelled, so that routers can continue them on another upstream,
// and new ones are refused until a probe succeeds.
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
		sidecar.recordLoad(report)
		return
	}
	sidecar.failedProbes++
	if sidecar.failedProbes == maxFailedProbes {
		sidecar.recordLost()
	}
}

// recordLoad applies a load report. If the engine's limit or model changed, the
// policy is computed again at the next request. The caller holds mu.
func (sidecar *Sidecar) recordLoad(report upstream.Load) {
	if sidecar.failedProbes >= maxFailedProbes {
		sidecar.log().Info("The upstream responds again.")
	}
	sidecar.failedProbes = 0
	if report.Limit != sidecar.reportedLimit || report.Model != sidecar.reportedModel {
		sidecar.reportedLimit = report.Limit
		sidecar.reportedModel = report.Model
		sidecar.policyView = nil
	}
}

// recordUnreachable marks the engine as lost at once, after a connection to it
// could not be opened for the reason err. The next successful probe ends this.
// Plain services are not marked.
func (sidecar *Sidecar) recordUnreachable(err error) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if sidecar.Upstream.Model == "" || sidecar.failedProbes >= maxFailedProbes {
		return
	}
	sidecar.failedProbes = maxFailedProbes
	sidecar.log().Warn("The upstream can't be reached. Requests are refused until it responds.", "error", err)
	sidecar.Metrics.CountEvent("upstream.unreachable")
}

// recordLost cancels the idempotent requests that run on the lost upstream. The
// caller holds mu.
func (sidecar *Sidecar) recordLost() {
	sidecar.log().Warn("The upstream does not respond. Idempotent requests are cancelled and can continue on another upstream.", "requests", sidecar.controller.Load())
	sidecar.Metrics.CountEvent("upstream.lost")
	for _, execution := range sidecar.executions {
		if execution.idempotent && execution.attemptState() == peer.AttemptForwarded {
			execution.cancelLost()
		}
	}
}

// checkUpstream returns UpstreamUnreachable while the upstream counts as lost.
func (sidecar *Sidecar) checkUpstream() error {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if sidecar.failedProbes < maxFailedProbes {
		return nil
	}
	return &result.Error{Code: result.UpstreamUnreachable, Detail: errUpstreamLost.Error(), RetryAt: sidecar.now().Add(defaultRetryAfter)}
}
