package caller

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const (
	// resumeTries is how often a cut connection is opened again before the
	// sidecar counts as lost.
	resumeTries     = 4
	resumeFirstWait = 20 * time.Millisecond
	resumeTimeout   = 2 * time.Second
	// maxText bounds the text that is kept in order to continue an answer
	// elsewhere, in bytes.
	maxText = 1 << 20
	// maxRepeats is how often a request is offered again to an upstream whose
	// connection was cut before the request was forwarded.
	maxRepeats = 2
	// abandonTimeout bounds the question whether an attempt was forwarded.
	abandonTimeout = time.Second
)

// relay brings the answer of one request from upstreams to its caller. It
// hides cut connections and lost upstreams where that is allowed.
type relay struct {
	server   *Server
	incoming *incoming

	entry     directory.Entry
	attempt   ident.AttemptID
	frames    *sidecar.Frames
	assembler answer.Assembler
	// text is what the caller has of a model's answer, unless that was too
	// long to keep.
	text    strings.Builder
	tooLong bool
	// ready is the space of the frames that next returns.
	ready []answer.Frame
	// pool and plan are the upstreams that the request may be offered to, and
	// their order; tried counts the offers.
	pool  *directory.Pool
	plan  affinity.Plan
	tried int
	// offers counts all offers of the request.
	offers int
	// full is the first upstream that refused the request for its load, and
	// waited says that it was offered to one in whose queue it might wait.
	full   ident.UpstreamID
	waited bool
	// crashedOn holds the upstreams that were lost while they ran the request.
	crashedOn []ident.UpstreamID
	// lost holds the upstreams on which a run of the request was lost.
	lost []ident.UpstreamID
	// repeats counts the offers that were made again after a cut connection.
	repeats int
	// designated is the upstream to try next, such as the only one that a
	// refusing sidecar named.
	designated ident.UpstreamID
	// problem ended the answer after frames that are still to be given out.
	problem *result.Problem
	// mayHaveRun is set once an upstream may have run the request, in this
	// sending or an earlier one.
	mayHaveRun bool
	// firstSent says that this sending was the first with its key to reach a
	// sidecar through this router.
	firstSent bool
	// sentTo is the run of the sidecar's process that the present attempt was
	// sent to, as far as it was known before.
	sentTo string
}

// abandoned stops the answer of a caller that hung up and cannot resume it. A
// request that must not run twice is left to end.
func (relay *relay) abandoned() {
	if relay.incoming.events || !relay.incoming.route.Retryable() || relay.assembler.Complete() || relay.entry.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	_ = relay.cancel(ctx)
}

// close ends the reading from the upstream.
func (relay *relay) close() {
	if relay.frames != nil {
		relay.frames.Close()
		relay.frames = nil
	}
}

// next returns the next frames in order: data, or the end as the last one. They
// stay valid until the next call. Its error is a *result.Error and final.
func (relay *relay) next(ctx context.Context) ([]answer.Frame, error) {
	for {
		if relay.frames == nil {
			if err := relay.open(ctx); err != nil {
				return nil, relay.truthful(err)
			}
		}
		ordered, err := relay.read(ctx)
		if err != nil {
			return nil, relay.truthful(err)
		}
		if len(ordered) > 0 {
			return ordered, nil
		}
	}
}

// read takes the frames that are at hand from the open connection. It returns
// none where the answer has to be opened again elsewhere.
func (relay *relay) read(ctx context.Context) ([]answer.Frame, error) {
	relay.ready = relay.ready[:0]
	if relay.problem != nil {
		return nil, relay.failed(relay.takeProblem())
	}
	for {
		frame, err := relay.frames.Next()
		if err != nil {
			return relay.ready, relay.reopen(ctx, len(relay.ready) > 0)
		}
		if frame.Problem != nil {
			relay.problem = frame.Problem
			return relay.ready, nil
		}
		ordered, err := relay.assembler.Add(frame)
		if err != nil {
			return nil, err
		}
		relay.keep(ordered)
		relay.ready = append(relay.ready, ordered...)
		if relay.assembler.Complete() || !relay.frames.Buffered() {
			return relay.ready, nil
		}
	}
}

// takeProblem returns the problem that ended the answer.
func (relay *relay) takeProblem() *result.Error {
	problem := relay.problem
	relay.problem = nil
	return problem.Err(relay.server.now())
}

// keep remembers the text, from which another upstream may continue. A text
// above maxText is dropped, and its answer is not continued elsewhere.
func (relay *relay) keep(frames []answer.Frame) {
	if relay.incoming.route.Model == "" || relay.tooLong {
		return
	}
	for _, frame := range frames {
		relay.text.WriteString(frame.Data)
	}
	if relay.text.Len() > maxText {
		relay.tooLong = true
		relay.text.Reset()
	}
}

// reopen resumes an answer whose connection was cut, at the same sidecar if it
// is there and elsewhere if the request is idempotent. With pending frames in
// hand it leaves that to the next call.
func (relay *relay) reopen(ctx context.Context, pending bool) error {
	if pending {
		return nil
	}
	relay.close()
	err := relay.resumeHere(ctx)
	if err == nil {
		return nil
	}
	return relay.failed(result.Errorf(result.OutcomeUnknown, "the sidecar was lost: %v", err))
}

// resumeHere opens the answer again where the connection to its sidecar broke.
func (relay *relay) resumeHere(ctx context.Context) error {
	giveUpAt := relay.server.now().Add(resumeTimeout)
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = resumeFirstWait
	open := func() (*sidecar.Frames, error) {
		relay.server.Metrics.CountRetry(result.AnswerCut)
		frames, err := relay.server.Sidecars.Resume(ctx, relay.entry.Address, relay.incoming.id, relay.incoming.workspace, relay.assembler.Next(), giveUpAt)
		if code := result.CodeOf(err); code == result.UnknownAnswer || code == result.AnswerExpired {
			return nil, backoff.Permanent(err)
		}
		return frames, err
	}
	frames, err := backoff.Retry(ctx, open, backoff.WithBackOff(waits), backoff.WithMaxTries(resumeTries))
	relay.frames = frames
	return err
}

// failed decides what follows the failure of the present attempt. It returns
// nil where the request shall be opened again elsewhere.
func (relay *relay) failed(failure *result.Error) error {
	relay.close()
	if failure.Code.Outcome() != result.NotRun {
		relay.mayHaveRun = true
	}
	if failure.Code == result.UpstreamCrashed {
		relay.crashedOn = append(relay.crashedOn, relay.entry.Upstream)
	}
	action := retry.Next(relay.server.now(), relay.attemptOf(failure.Code))
	switch {
	case relay.tooLong:
		return failure
	case action == retry.Unbudgeted:
	case action == retry.Budgeted && relay.continuable():
		if !relay.server.spend() {
			relay.server.Metrics.CountRefusal(result.RetryBudgetSpent)
			return failure
		}
		relay.replan()
	default:
		return failure
	}
	relay.server.Metrics.CountRetry(failure.Code)
	return nil
}

// continuable reports whether another upstream can go on from what the caller
// has: a model continues a text, a plain service only starts from nothing.
func (relay *relay) continuable() bool {
	return relay.incoming.route.Model != "" || relay.assembler.Next() == 1
}

func (relay *relay) attemptOf(code result.Code) retry.Attempt {
	candidates := 0
	if relay.pool != nil {
		candidates = len(relay.pool.Entries)
	}
	// Offers that were declined end with the plan.
	tried := 0
	if code.Outcome() != result.NotRun {
		tried = len(relay.lost) + 1
	}
	return retry.Attempt{
		Code:       code,
		Idempotent: relay.incoming.route.Retryable(),
		Deadline:   relay.incoming.deadline,
		Tried:      tried,
		Candidates: candidates,
	}
}

// truthful keeps a code from saying "not run" for a request that may have run,
// and names a time to come back where it helps.
func (relay *relay) truthful(err error) error {
	failure := *result.From(err, result.OutcomeUnknown)
	if relay.mayHaveRun && failure.Code.Outcome() == result.NotRun {
		failure.Code = result.UpstreamFailed
		if !relay.incoming.route.Retryable() {
			failure.Code = result.OutcomeUnknown
		}
	}
	if relay.assembler.Next() > 1 && failure.Code != result.DeadlineExpired {
		failure.Code = result.AnswerCut
	}
	if failure.Code == result.OutcomeUnknown && !relay.server.now().Before(relay.incoming.deadline) {
		failure.Code = result.DeadlineExpired
	}
	relay.forget(failure.Code)
	if failure.RetryAt.IsZero() && failure.Code.Status() >= 500 {
		failure.RetryAt = relay.server.now().Add(comeBack)
	}
	return &failure
}

// offerAgain makes the upstream that was just tried the next one to try, where
// only the connection to it was cut and it confirmed that nothing was run.
func (relay *relay) offerAgain() {
	if relay.repeats == maxRepeats {
		return
	}
	relay.repeats++
	relay.tried--
	relay.designated = relay.entry.Upstream
}

// resolveUnknown finds out what became of an attempt whose answer was lost
// before it began. It returns nil where the answer can be read after all.
func (relay *relay) resolveUnknown(ctx context.Context, unknown error) error {
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	abandoned, incarnation, err := relay.server.Sidecars.Abandon(askCtx, relay.entry.Address, relay.attempt)
	if err != nil {
		relay.mayHaveRun = true
		return unknown
	}
	switch abandoned.State {
	case peer.AttemptAbandoned, peer.AttemptAbsent:
		if incarnation != relay.sentTo {
			relay.mayHaveRun = true
			return unknown
		}
		relay.offerAgain()
		return result.Errorf(result.UpstreamUnreachable, "the connection was cut before the request was forwarded")
	case peer.AttemptWaiting, peer.AttemptForwarded, peer.AttemptDone:
	}
	if err := relay.resumeHere(ctx); err != nil {
		relay.mayHaveRun = true
		return unknown
	}
	return nil
}
