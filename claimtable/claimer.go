package claimtable

import (
	"context"
	"log/slog"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// defaultMaxAttempts limits the attempts that are not settled.
	defaultMaxAttempts = 4096
	// maxSettledIDs is the number of IDs of settled attempts that peers can ask
	// about. An attempt has up to two IDs.
	maxSettledIDs = 1024
	// defaultGrace is how long a forwarded request may run after its deadline.
	defaultGrace = time.Minute
)

// Options configures a Claimer.
type Options struct {
	// Table is the client of the platform's table. Only Commit and Read are
	// used.
	Table *platform.Client
	// Address is the peer address of this sidecar. It is stored in its claims,
	// so that other sidecars can ask about them.
	Address string
	// QueryAttempt queries the sidecar at address about an attempt. An error means
	// that the sidecar could not be asked.
	QueryAttempt func(ctx context.Context, address string, attempt ident.AttemptID) (peer.AttemptReply, error)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// MaxWritesPerSecond limits the writes to the table; zero means 100.
	MaxWritesPerSecond float64
	// MaxAttempts limits the attempts that are not settled; zero means 4096.
	MaxAttempts int
	// Grace is how long a forwarded request may run after its deadline, so that
	// its answer can still be recorded; zero means one minute.
	Grace   time.Duration
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Request is one attempt to run a request that is not idempotent.
type Request struct {
	Key claim.Key
	// Attempt is the router's ID for the attempt, by which it can be queried.
	// It may be empty.
	Attempt  ident.AttemptID
	Upstream ident.UpstreamID
	Body     ident.Fingerprint
	Deadline time.Time
}

// Forward sends the request to the upstream. Its context is independent of the
// caller's and ends Options.Grace after the deadline. Its error is a
// *result.Error whose code has the outcome NotRun only if no byte was sent.
type Forward func(ctx context.Context) (claim.Reply, error)

// Answer is the answer to a request that ran.
type Answer struct {
	Reply claim.Reply
	// Replayed reports whether an earlier request with the key had this answer.
	Replayed bool
}

// Claimer runs requests that are not idempotent, each under a claim. It is safe
// for concurrent use.
type Claimer struct {
	options Options
	logger  *slog.Logger
	writer  *writer
	ctx     context.Context
	cancel  context.CancelFunc

	mutex sync.Mutex
	// unsettled holds the attempts with work left, by each of their IDs.
	unsettled map[ident.AttemptID]*attempt
	// settled holds the last state of recently settled attempts, by each of
	// their IDs.
	settled *lru.Cache[ident.AttemptID, peer.AttemptReply]
	// idle is closed and replaced when the last unsettled attempt is settled.
	idle chan struct{}
}

// New returns a Claimer that runs until Close.
func New(options Options) *Claimer {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = defaultMaxAttempts
	}
	if options.Grace == 0 {
		options.Grace = defaultGrace
	}
	settled, err := lru.New[ident.AttemptID, peer.AttemptReply](maxSettledIDs)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	claimer := &Claimer{
		options:   options,
		logger:    logging.Component(options.Logger, "claimtable"),
		writer:    newWriter(options.Table, options.MaxWritesPerSecond, options.Metrics),
		ctx:       ctx,
		cancel:    cancel,
		unsettled: make(map[ident.AttemptID]*attempt),
		settled:   settled,
		idle:      make(chan struct{}),
	}
	claimer.writer.start(ctx)
	return claimer
}

// Run claims the request's key, forwards the request if no earlier attempt ran
// it, and returns the answer. The error is a *result.Error. If ctx ends or the
// deadline passes before the request is forwarded, it is never forwarded. A
// request that was already forwarded continues and its answer is recorded.
func (claimer *Claimer) Run(ctx context.Context, request Request, forward Forward) (Answer, error) {
	attempt := newAttempt(claimer, request, forward)
	if err := claimer.register(attempt); err != nil {
		return Answer{}, err
	}
	go attempt.run()
	outcome := attempt.awaitResult(ctx)
	if outcome.Err != nil {
		return Answer{}, outcome.Err
	}
	return Answer{Reply: outcome.Reply, Replayed: outcome.Replayed}, nil
}

// Status returns the state of an attempt at this sidecar, by the ID in its
// claim or by the router's ID for it. The state peer.AttemptAbsent does not
// tell whether the attempt ran.
func (claimer *Claimer) Status(id ident.AttemptID) peer.AttemptReply {
	claimer.mutex.Lock()
	attempt := claimer.unsettled[id]
	claimer.mutex.Unlock()
	if attempt != nil {
		return attempt.status()
	}
	if reply, found := claimer.settled.Get(id); found {
		return reply
	}
	return peer.AttemptReply{State: peer.AttemptAbsent}
}

// Unsettled returns the number of attempts that are not settled.
func (claimer *Claimer) Unsettled() int {
	claimer.mutex.Lock()
	defer claimer.mutex.Unlock()
	count := 0
	for id, attempt := range claimer.unsettled {
		if id == attempt.id() {
			count++
		}
	}
	return count
}

// Close waits until all attempts are settled or ctx is done, and then stops the
// Claimer. It returns the error of ctx if attempts were left.
func (claimer *Claimer) Close(ctx context.Context) error {
	defer claimer.cancel()
	for {
		claimer.mutex.Lock()
		remaining, idle := len(claimer.unsettled), claimer.idle
		claimer.mutex.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			claimer.logger.Warn("Stopped with unsettled attempts.", "attempts", claimer.Unsettled())
			return ctx.Err()
		}
	}
}

// register makes the attempt known to peers before its claim can be written.
func (claimer *Claimer) register(attempt *attempt) error {
	claimer.mutex.Lock()
	defer claimer.mutex.Unlock()
	if len(claimer.unsettled) >= 2*claimer.options.MaxAttempts {
		return &result.Error{
			Code:    result.ClaimUnavailable,
			Detail:  "too many earlier requests are waiting for the claim table",
			RetryAt: claimer.options.Now().Add(time.Second),
		}
	}
	for _, id := range attempt.ids() {
		if claimer.unsettled[id] != nil {
			return &result.Error{Code: result.KeyInProgress, Detail: "an attempt with this ID is already running at this sidecar"}
		}
	}
	for _, id := range attempt.ids() {
		claimer.unsettled[id] = attempt
	}
	return nil
}

// markSettled moves the attempt from the unsettled to the settled ones.
func (claimer *Claimer) markSettled(attempt *attempt) {
	reply := attempt.status()
	claimer.mutex.Lock()
	defer claimer.mutex.Unlock()
	for _, id := range attempt.ids() {
		claimer.settled.Add(id, reply)
		delete(claimer.unsettled, id)
	}
	if len(claimer.unsettled) == 0 {
		close(claimer.idle)
		claimer.idle = make(chan struct{})
	}
}
