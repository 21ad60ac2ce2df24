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
	// defaultMaxAttempts bounds the attempts that are not settled.
	defaultMaxAttempts = 4096
	// settledHeld is the number of settled attempts that peers can ask about.
	settledHeld = 1024
	// defaultGrace is how long a forwarded request may run past its deadline.
	defaultGrace = time.Minute
)

// Options holds the settings and seams of a Claimer.
type Options struct {
	// Table is the platform's table; Commit and Read are used.
	Table *platform.Client
	// Address is the peer address at which other sidecars can ask this one.
	Address string
	// Ask asks the sidecar at address about an attempt. An error means that it
	// could not be asked.
	Ask func(ctx context.Context, address string, attempt ident.AttemptID) (peer.AttemptReply, error)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// MaxWrites bounds the writes a second to the table; zero means 100.
	MaxWrites float64
	// MaxAttempts bounds the attempts with work left; zero means 4096.
	MaxAttempts int
	// Grace is how long a forwarded request may run past its deadline, so that
	// its answer can still be recorded; zero means one minute.
	Grace   time.Duration
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Request is one attempt to run a request that is not idempotent.
type Request struct {
	Key claim.Key
	// Attempt is the router's name for the attempt, by which it may ask.
	Attempt  ident.AttemptID
	Upstream ident.UpstreamID
	Body     ident.Fingerprint
	Deadline time.Time
}

// Forward sends the request to the upstream. Its context is not that of the
// caller and ends some time after the deadline. Its error is a *result.Error
// whose code has the outcome NotRun only where no byte was sent.
type Forward func(ctx context.Context) (claim.Reply, error)

// Answer is what a request came to.
type Answer struct {
	Reply claim.Reply
	// Replayed says that an earlier request with the key had the answer.
	Replayed bool
}

// Claimer runs requests that are not idempotent. It is safe for concurrent use.
type Claimer struct {
	options Options
	logger  *slog.Logger
	writer  *writer
	ctx     context.Context
	cancel  context.CancelFunc

	mutex   sync.Mutex
	live    map[ident.AttemptID]*attempt
	settled *lru.Cache[ident.AttemptID, peer.AttemptReply]
	idle    chan struct{}
}

// New returns a Claimer that is running until Close.
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
	settled, err := lru.New[ident.AttemptID, peer.AttemptReply](settledHeld)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	claimer := &Claimer{
		options: options,
		logger:  logging.Component(options.Logger, "claimtable"),
		writer:  newWriter(options.Table, options.MaxWrites, options.Metrics),
		ctx:     ctx,
		cancel:  cancel,
		live:    make(map[ident.AttemptID]*attempt),
		settled: settled,
		idle:    make(chan struct{}),
	}
	claimer.writer.start(ctx)
	return claimer
}

// Run claims the request's key, forwards the request if no attempt ran it
// before, and returns its answer. The error is a *result.Error. Where ctx ends
// or the deadline passes before the request was forwarded, it never will be;
// afterwards the request goes on and its answer is recorded.
func (claimer *Claimer) Run(ctx context.Context, request Request, forward Forward) (Answer, error) {
	attempt := newAttempt(claimer, request, forward)
	if err := claimer.register(attempt); err != nil {
		return Answer{}, err
	}
	go attempt.run()
	outcome := attempt.wait(ctx)
	if outcome.Err != nil {
		return Answer{}, outcome.Err
	}
	return Answer{Reply: outcome.Reply, Replayed: outcome.Replayed}, nil
}

// Status returns what this sidecar knows of an attempt, by the name in its
// claim or the router's name for it. Absent says nothing about whether it ran.
func (claimer *Claimer) Status(name ident.AttemptID) peer.AttemptReply {
	claimer.mutex.Lock()
	attempt := claimer.live[name]
	claimer.mutex.Unlock()
	if attempt != nil {
		return attempt.status()
	}
	if reply, found := claimer.settled.Get(name); found {
		return reply
	}
	return peer.AttemptReply{State: peer.AttemptAbsent}
}

// Live returns the number of attempts with work left.
func (claimer *Claimer) Live() int {
	claimer.mutex.Lock()
	defer claimer.mutex.Unlock()
	live := 0
	for name, attempt := range claimer.live {
		if name == attempt.name() {
			live++
		}
	}
	return live
}

// Close waits until no attempt has work left or ctx is done, and then stops. It
// returns the error of ctx, where work was left.
func (claimer *Claimer) Close(ctx context.Context) error {
	defer claimer.cancel()
	for {
		claimer.mutex.Lock()
		left, idle := len(claimer.live), claimer.idle
		claimer.mutex.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			claimer.logger.Warn("Stopped with unsettled attempts.", "attempts", claimer.Live())
			return ctx.Err()
		}
	}
}

// register makes the attempt known to peers before its claim can be.
func (claimer *Claimer) register(attempt *attempt) error {
	claimer.mutex.Lock()
	defer claimer.mutex.Unlock()
	if len(claimer.live) >= 2*claimer.options.MaxAttempts {
		return &result.Error{
			Code:    result.ClaimUnavailable,
			Detail:  "too many earlier requests wait for the table",
			RetryAt: claimer.options.Now().Add(time.Second),
		}
	}
	for _, name := range attempt.names() {
		if claimer.live[name] != nil {
			return &result.Error{Code: result.KeyInProgress, Detail: "the attempt is here already"}
		}
	}
	for _, name := range attempt.names() {
		claimer.live[name] = attempt
	}
	return nil
}

func (claimer *Claimer) forget(attempt *attempt) {
	reply := attempt.status()
	claimer.mutex.Lock()
	defer claimer.mutex.Unlock()
	for _, name := range attempt.names() {
		claimer.settled.Add(name, reply)
		delete(claimer.live, name)
	}
	if len(claimer.live) == 0 {
		close(claimer.idle)
		claimer.idle = make(chan struct{})
	}
}
