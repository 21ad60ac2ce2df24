package sidecar

import (
	"context"
	"crypto/rand"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/claimtable"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/upstream"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	defaultReplayBytes = ident.Bytes(1 << 20)
	// replayLifetime is how long a finished answer is kept.
	replayLifetime = time.Minute
	// maxTotalReplayBytes limits the replay buffers of all answers together.
	maxTotalReplayBytes = ident.Bytes(48 << 20)
	// resumeGrace is how long an answer without readers keeps running before
	// it is cancelled.
	resumeGrace    = 10 * time.Second
	expiryInterval = time.Second
	// tombstoneLifetime is how long an abandoned attempt that has not arrived
	// is remembered, so that it is refused if it still arrives.
	tombstoneLifetime = time.Hour
	// defaultRetryAfter is the retry-after time of a refusal for which
	// admission control computed none.
	defaultRetryAfter = 500 * time.Millisecond
)

// Sidecar admits and runs the requests of one upstream and keeps their answers
// for a while. Its methods are safe for concurrent use. Set its exported fields
// before the first use.
type Sidecar struct {
	Upstream platform.VMUpstream
	Client   *upstream.Client
	// View returns the settings in force, or nil if none were loaded yet.
	View func() *settings.View
	// Limit is the maximum number of requests in flight at the upstream; zero
	// means 64. A lower limit that the engine reports takes precedence.
	Limit int
	// Claims runs a request that is not idempotent under a claim. If it is
	// nil, such requests are refused.
	Claims func(ctx context.Context, request claimtable.Request, forward claimtable.Forward) (claimtable.Answer, error)
	// PoolIDs returns the upstreams of the pool, in any order. If it is nil or
	// returns none, the pool consists of this upstream alone.
	PoolIDs func() []ident.UpstreamID
	// Prefixes transfers cached prompt prefixes; nil disables transfers.
	Prefixes *Prefixes
	// OnStrikes is called with new and cleared strikes, so that they can be sent
	// to other sidecars. It may be nil.
	OnStrikes func(args peer.StrikeArgs)
	Metrics   *metrics.Set
	Logger    *slog.Logger
	// ReplayBytes limits the replay buffer of one answer; zero means 1 MiB.
	ReplayBytes ident.Bytes
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	incarnationOnce sync.Once
	incarnation     string

	mu         sync.Mutex
	controller admission.Controller
	strikes    strike.Tracker
	// policyView is the settings view from which the controller's policy was
	// computed; nil means that the policy must be computed again.
	policyView *settings.View
	// failedProbes counts consecutive failed probes of the upstream.
	// reportedLimit and reportedModel come from its latest load report.
	failedProbes  int
	reportedLimit int
	reportedModel ident.ModelName
	leaving       bool
	executions    map[ident.RequestID]*execution
	attempts      map[ident.AttemptID]*execution
	waiting       map[ident.AttemptID]chan admission.Dequeued
	tombstones    map[ident.AttemptID]time.Time
}

func (sidecar *Sidecar) now() time.Time {
	if sidecar.Now == nil {
		return time.Now()
	}
	return sidecar.Now()
}

// Incarnation returns the random ID of this run of the process. It changes with
// each restart.
func (sidecar *Sidecar) Incarnation() string {
	sidecar.incarnationOnce.Do(func() { sidecar.incarnation = rand.Text() })
	return sidecar.incarnation
}

// State returns the state that the sidecar sends with its responses.
func (sidecar *Sidecar) State() State {
	now := sidecar.now()
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	mean, _ := sidecar.controller.Mean(now)
	return State{
		Upstream:    sidecar.Upstream.ID,
		Incarnation: sidecar.Incarnation(),
		Load:        sidecar.controller.Load(),
		Mean:        mean,
		Bound:       sidecar.controller.Bound(now),
		Leaving:     sidecar.leaving,
		Lost:        sidecar.failedProbes >= maxFailedProbes,
	}
}

// Status returns the state together with the numbers of admitted requests and
// of requests whose answers are kept.
func (sidecar *Sidecar) Status() Status {
	state := sidecar.State()
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	return Status{State: state, Running: sidecar.controller.Load(), Held: len(sidecar.executions), Claims: sidecar.Claims != nil}
}

// Leave makes the sidecar refuse all new requests, including queued ones.
// Admitted requests continue.
func (sidecar *Sidecar) Leave() {
	sidecar.mu.Lock()
	if !sidecar.leaving {
		sidecar.log().Info("Leaving. New requests are refused.")
	}
	sidecar.leaving = true
	sidecar.notifyWaiters(sidecar.controller.Leave())
	sidecar.mu.Unlock()
}

// Drained waits until no admitted request remains or ctx ends, and returns the
// error of ctx in the latter case.
func (sidecar *Sidecar) Drained(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		if sidecar.Status().Running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Observe records load samples of other upstreams of the pool.
func (sidecar *Sidecar) Observe(samples []admission.Sample) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	now := sidecar.now()
	sidecar.controller.Observe(now, samples)
	sidecar.notifyWaiters(sidecar.controller.Expire(now))
}

// Run does periodic maintenance until ctx ends: it drops expired answers and
// queued requests that can no longer meet their deadline, and cancels requests
// whose answers nobody reads.
func (sidecar *Sidecar) Run(ctx context.Context) {
	wait.Every(ctx, expiryInterval, func(context.Context) { sidecar.dropExpired(sidecar.now()) })
}

// dropExpired does one round of the maintenance of Run.
func (sidecar *Sidecar) dropExpired(now time.Time) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	sidecar.notifyWaiters(sidecar.controller.Expire(now))
	var finished []*execution
	total := ident.Bytes(0)
	for _, execution := range sidecar.executions {
		if execution.unreadSince(now.Add(-resumeGrace)) {
			execution.cancel()
		}
		if execution.expired(now) {
			sidecar.drop(execution)
			continue
		}
		total += execution.size()
		if execution.done() {
			finished = append(finished, execution)
		}
	}
	sidecar.dropOldest(finished, total-maxTotalReplayBytes)
	for attempt, until := range sidecar.tombstones {
		if now.After(until) {
			delete(sidecar.tombstones, attempt)
		}
	}
}

// drop removes an execution and its answer. The caller holds mu.
func (sidecar *Sidecar) drop(execution *execution) {
	delete(sidecar.executions, execution.call.Request)
	delete(sidecar.attempts, execution.call.Attempt)
}

// dropOldest drops finished answers in the order in which they finished until
// excess bytes are freed. The caller holds mu.
func (sidecar *Sidecar) dropOldest(finished []*execution, excess ident.Bytes) {
	if excess <= 0 {
		return
	}
	slices.SortFunc(finished, func(a, b *execution) int { return a.replay.ExpiresAt.Compare(b.replay.ExpiresAt) })
	for _, execution := range finished {
		if excess <= 0 {
			return
		}
		excess -= execution.size()
		sidecar.drop(execution)
		sidecar.Metrics.CountEvent("answer.dropped")
	}
}

// notifyWaiters wakes the queued requests that left the queue, admitted or
// refused. The caller holds mu.
func (sidecar *Sidecar) notifyWaiters(dequeued []admission.Dequeued) {
	for _, attempt := range dequeued {
		if waiter, found := sidecar.waiting[attempt.Attempt]; found {
			delete(sidecar.waiting, attempt.Attempt)
			waiter <- attempt
		}
	}
}

// dequeue removes a queued request that is no longer wanted. If it was admitted
// concurrently, dequeue frees its slot.
func (sidecar *Sidecar) dequeue(queued *execution) {
	queued.abandon()
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	delete(sidecar.waiting, queued.call.Attempt)
	sidecar.notifyWaiters(sidecar.controller.Done(sidecar.now(), queued.call.Attempt))
}

func (sidecar *Sidecar) log() *slog.Logger {
	return logging.Component(sidecar.Logger, "sidecar")
}

// Abandon ensures that an attempt that was not forwarded to the upstream never
// will be, even if it arrives later. It returns the state of the attempt, which
// is AttemptAbandoned in that case.
func (sidecar *Sidecar) Abandon(attempt ident.AttemptID) peer.AttemptState {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if execution, found := sidecar.attempts[attempt]; found {
		return execution.abandon()
	}
	if sidecar.tombstones == nil {
		sidecar.tombstones = make(map[ident.AttemptID]time.Time)
	}
	sidecar.tombstones[attempt] = sidecar.now().Add(tombstoneLifetime)
	return peer.AttemptAbandoned
}

// Cancel stops the run of a request. It fails with UnknownAnswer if no request
// of the workspace has the ID.
func (sidecar *Sidecar) Cancel(request ident.RequestID, workspace ident.WorkspaceID) error {
	execution, err := sidecar.lookup(request, workspace)
	if err != nil {
		return err
	}
	execution.cancel()
	return nil
}

// lookup returns the execution of a request. A request of another workspace
// counts as unknown.
func (sidecar *Sidecar) lookup(request ident.RequestID, workspace ident.WorkspaceID) (*execution, error) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	execution, found := sidecar.executions[request]
	if !found || execution.call.Workspace != workspace {
		return nil, result.Errorf(result.UnknownAnswer, "request %q", request)
	}
	return execution, nil
}

// fingerprintOf identifies a request by its team, workspace, route and body.
func fingerprintOf(call *Call, body []byte) ident.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(ident.Qualified(call.Team, call.Workspace)) + "\x00" + string(call.Route) + "\x00")
	_, _ = digest.Write(body)
	return ident.Fingerprint(digest.Sum64())
}
