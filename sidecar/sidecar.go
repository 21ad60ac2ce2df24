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
	replayLifetime     = time.Minute
	// maxHeldBytes bounds the replay buffers of all answers together.
	maxHeldBytes = ident.Bytes(48 << 20)
	// resumeGrace is how long an answer that nobody reads goes on.
	resumeGrace   = 10 * time.Second
	sweepInterval = time.Second
	// comeBack is the time after which a refused request may be sent again
	// where nothing better is known.
	comeBack = 500 * time.Millisecond
)

// Sidecar admits, runs and holds the requests of one upstream. Set its exported
// fields before the first use.
type Sidecar struct {
	Upstream platform.VMUpstream
	Client   *upstream.Client
	// View returns the settings in force, or nil before there are any.
	View func() *settings.View
	// Limit is the most requests in flight that the upstream takes; zero
	// means 64.
	Limit int
	// Claims runs a request that is not idempotent; nil refuses them.
	Claims func(ctx context.Context, request claimtable.Request, forward claimtable.Forward) (claimtable.Answer, error)
	// PoolIDs returns the upstreams of the pool, in any order.
	PoolIDs func() []ident.UpstreamID
	// Prefixes moves cached prompt prefixes; nil moves none.
	Prefixes *Prefixes
	// OnStrikes is told of new strikes and of cleared ones, to pass them on.
	OnStrikes func(args peer.StrikeArgs)
	Metrics   *metrics.Set
	Logger    *slog.Logger
	// ReplayBytes bounds the replay buffer of one answer; zero means 1 MiB.
	ReplayBytes ident.Bytes
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	incarnationOnce sync.Once
	incarnation     string

	mu         sync.Mutex
	controller admission.Controller
	strikes    strike.Tracker
	policyOf   *settings.View
	// failures counts the probes of the upstream that failed in a row;
	// reportedLimit and reportedModel are what it named last.
	failures      int
	reportedLimit int
	reportedModel ident.ModelName
	leaving       bool
	executions    map[ident.RequestID]*execution
	attempts      map[ident.AttemptID]*execution
	waiting       map[ident.AttemptID]chan admission.Start
	tombstones    map[ident.AttemptID]time.Time
}

func (sidecar *Sidecar) now() time.Time {
	if sidecar.Now == nil {
		return time.Now()
	}
	return sidecar.Now()
}

// Incarnation returns the name of this run of the process.
func (sidecar *Sidecar) Incarnation() string {
	sidecar.incarnationOnce.Do(func() { sidecar.incarnation = rand.Text() })
	return sidecar.incarnation
}

// State returns what the sidecar says of itself.
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
		Lost:        sidecar.failures >= probeFailures,
	}
}

// Status returns the state with the number of answers held.
func (sidecar *Sidecar) Status() Status {
	state := sidecar.State()
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	return Status{State: state, Running: sidecar.controller.Load(), Held: len(sidecar.executions), Claims: sidecar.Claims != nil}
}

// Leave refuses all new work from now on. Work that was admitted goes on.
func (sidecar *Sidecar) Leave() {
	sidecar.mu.Lock()
	if !sidecar.leaving {
		sidecar.log().Info("Leaving. New work is refused.")
	}
	sidecar.leaving = true
	sidecar.deliver(sidecar.controller.Leave())
	sidecar.mu.Unlock()
}

// Drained waits until no admitted work is left or ctx ends.
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

// Observe takes in the loads of other upstreams of the pool.
func (sidecar *Sidecar) Observe(samples []admission.Sample) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	now := sidecar.now()
	sidecar.controller.Observe(now, samples)
	sidecar.deliver(sidecar.controller.Expire(now))
}

// Run sweeps expired answers and hopeless queue entries until ctx ends.
func (sidecar *Sidecar) Run(ctx context.Context) {
	wait.Every(ctx, sweepInterval, func(context.Context) { sidecar.sweep(sidecar.now()) })
}

func (sidecar *Sidecar) sweep(now time.Time) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	sidecar.deliver(sidecar.controller.Expire(now))
	var finished []*execution
	total := ident.Bytes(0)
	for _, held := range sidecar.executions {
		if held.deserted(now.Add(-resumeGrace)) {
			held.cancel()
		}
		if held.expired(now) {
			sidecar.drop(held)
			continue
		}
		total += held.size()
		if held.done() {
			finished = append(finished, held)
		}
	}
	sidecar.dropOldest(finished, total-maxHeldBytes)
	for attempt, until := range sidecar.tombstones {
		if now.After(until) {
			delete(sidecar.tombstones, attempt)
		}
	}
}

// drop forgets an answer. The caller holds mu.
func (sidecar *Sidecar) drop(held *execution) {
	delete(sidecar.executions, held.call.Request)
	delete(sidecar.attempts, held.call.Attempt)
}

// dropOldest forgets finished answers, the first finished first, until excess
// bytes are freed. The caller holds mu.
func (sidecar *Sidecar) dropOldest(finished []*execution, excess ident.Bytes) {
	if excess <= 0 {
		return
	}
	slices.SortFunc(finished, func(a, b *execution) int { return a.replay.ExpiresAt.Compare(b.replay.ExpiresAt) })
	for _, held := range finished {
		if excess <= 0 {
			return
		}
		excess -= held.size()
		sidecar.drop(held)
		sidecar.Metrics.CountEvent("answer.dropped")
	}
}

// deliver tells queued requests that they left the queue. The caller holds mu.
func (sidecar *Sidecar) deliver(starts []admission.Start) {
	for _, start := range starts {
		if waiter, found := sidecar.waiting[start.Attempt]; found {
			delete(sidecar.waiting, start.Attempt)
			waiter <- start
		}
	}
}

// leaveQueue takes out a queued request that nobody waits for any more, or gives
// its place back where it was admitted at the same moment.
func (sidecar *Sidecar) leaveQueue(queued *execution) {
	queued.abandon()
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	delete(sidecar.waiting, queued.call.Attempt)
	sidecar.deliver(sidecar.controller.Done(sidecar.now(), queued.call.Attempt))
}

func (sidecar *Sidecar) log() *slog.Logger {
	return logging.Component(sidecar.Logger, "sidecar")
}

// Abandon makes sure that an attempt that was not forwarded never will be, even
// if it arrives later, and returns its state.
func (sidecar *Sidecar) Abandon(attempt ident.AttemptID) peer.AttemptState {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if held, found := sidecar.attempts[attempt]; found {
		return held.abandon()
	}
	if sidecar.tombstones == nil {
		sidecar.tombstones = make(map[ident.AttemptID]time.Time)
	}
	sidecar.tombstones[attempt] = sidecar.now().Add(time.Hour)
	return peer.AttemptAbandoned
}

// Cancel stops the answer of a request that nobody wants any more.
func (sidecar *Sidecar) Cancel(request ident.RequestID, workspace ident.WorkspaceID) error {
	held, err := sidecar.held(request, workspace)
	if err != nil {
		return err
	}
	held.cancel()
	return nil
}

func (sidecar *Sidecar) held(request ident.RequestID, workspace ident.WorkspaceID) (*execution, error) {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	held, found := sidecar.executions[request]
	if !found || held.call.Workspace != workspace {
		return nil, result.Errorf(result.UnknownAnswer, "request %q", request)
	}
	return held, nil
}

// fingerprintOf identifies a request by its workspace and body.
func fingerprintOf(call *Call, body []byte) ident.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(ident.Qualified(call.Team, call.Workspace)) + "\x00" + string(call.Route) + "\x00")
	_, _ = digest.Write(body)
	return ident.Fingerprint(digest.Sum64())
}
