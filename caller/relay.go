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
	// resumeTries is the number of attempts to resume an answer after its
	// connection broke, before the sidecar counts as lost.
	resumeTries     = 4
	resumeFirstWait = 20 * time.Millisecond
	resumeTimeout   = 2 * time.Second
	// maxTextBytes limits the text that is kept in order to continue an answer
	// on another upstream.
	maxTextBytes = 1 << 20
	// maxRepeatedOffers is how often a request is offered again to the same
	// upstream after the connection broke before the request was forwarded.
	maxRepeatedOffers = 2
	// abandonTimeout limits the calls that abandon an attempt or cancel its
	// answer.
	abandonTimeout = time.Second
)

// relay passes the answer of one request from upstreams to its caller. It resumes
// answers after broken connections and continues them on other upstreams if the
// route allows that. It is not safe for concurrent use.
type relay struct {
	server   *Server
	incoming *incoming

	entry     directory.Entry
	attempt   ident.AttemptID
	frames    *sidecar.Frames
	assembler answer.Assembler
	// text is the part of a model's answer that the caller has received.
	// textDropped is set if it exceeded maxTextBytes and was dropped.
	text        strings.Builder
	textDropped bool
	// buffer holds the frames that next returns and is reused by each call.
	buffer []answer.Frame
	// pool holds the upstreams that the request may be offered to, and plan
	// their order. planOffers counts the offers since the plan was made,
	// without repeated ones.
	pool       *directory.Pool
	plan       affinity.Plan
	planOffers int
	// offers counts all offers of the request, including earlier plans.
	offers int
	// overBound is the first upstream that refused the request as over its
	// bound. offeredToWait is set once the request was offered to an upstream
	// with permission to wait in its queue.
	overBound     ident.UpstreamID
	offeredToWait bool
	// crashedOn holds the upstreams that crashed while they ran the request.
	crashedOn []ident.UpstreamID
	// lostOn holds the upstreams on which a run of the request failed. New
	// plans leave them out.
	lostOn []ident.UpstreamID
	// repeatedOffers counts the offers that were repeated to the same upstream
	// after a broken connection.
	repeatedOffers int
	// designated is the upstream to try next: one that a refusal named as the
	// only one that may run the request, or one whose offer is repeated.
	designated ident.UpstreamID
	// problem ended the answer. It is handled after the frames before it were
	// returned.
	problem *result.Problem
	// mayHaveRun is set once an upstream may have run the request, because of
	// this HTTP request or an earlier one with the same key.
	mayHaveRun bool
	// firstWithKey is set if this HTTP request was the first with its key that
	// this router offered to a sidecar.
	firstWithKey bool
	// sentIncarnation is the incarnation of the sidecar, if any was known, when
	// the current attempt was sent.
	sentIncarnation string
}

// cancelAbandoned cancels the answer of a caller that disconnected and cannot
// resume it. A request that is not retryable is left running.
func (relay *relay) cancelAbandoned() {
	if relay.incoming.events || !relay.incoming.route.Retryable() || relay.assembler.Complete() || relay.entry.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	_ = relay.cancel(ctx)
}

// close stops reading from the current upstream.
func (relay *relay) close() {
	if relay.frames != nil {
		relay.frames.Close()
		relay.frames = nil
	}
}

// next returns the next frames in order: data frames, with the end frame as the
// last one. They stay valid until the next call. Its error is a *result.Error,
// after which there are no more frames.
func (relay *relay) next(ctx context.Context) ([]answer.Frame, error) {
	for {
		if relay.frames == nil {
			if err := relay.open(ctx); err != nil {
				return nil, relay.finalError(err)
			}
		}
		ordered, err := relay.read(ctx)
		if err != nil {
			return nil, relay.finalError(err)
		}
		if len(ordered) > 0 {
			return ordered, nil
		}
	}
}

// read waits for a frame and returns it with all further frames that are already
// buffered. It returns none if the answer was resumed or has to be opened on
// another upstream.
func (relay *relay) read(ctx context.Context) ([]answer.Frame, error) {
	relay.buffer = relay.buffer[:0]
	if relay.problem != nil {
		return nil, relay.handleFailure(relay.takeProblem())
	}
	for {
		frame, err := relay.frames.Next()
		if err != nil {
			return relay.buffer, relay.reopen(ctx, len(relay.buffer) > 0)
		}
		if frame.Problem != nil {
			relay.problem = frame.Problem
			return relay.buffer, nil
		}
		ordered, err := relay.assembler.Add(frame)
		if err != nil {
			return nil, err
		}
		relay.keepText(ordered)
		relay.buffer = append(relay.buffer, ordered...)
		if relay.assembler.Complete() || !relay.frames.Buffered() {
			return relay.buffer, nil
		}
	}
}

// takeProblem returns the problem that ended the answer and clears it.
func (relay *relay) takeProblem() *result.Error {
	problem := relay.problem
	relay.problem = nil
	return problem.Err(relay.server.now())
}

// keepText keeps the text of a model's answer, so that another upstream can
// continue it. If the text exceeds maxTextBytes it is dropped, and the answer is
// not continued on another upstream.
func (relay *relay) keepText(frames []answer.Frame) {
	if relay.incoming.route.Model == "" || relay.textDropped {
		return
	}
	for _, frame := range frames {
		relay.text.WriteString(frame.Data)
	}
	if relay.text.Len() > maxTextBytes {
		relay.textDropped = true
		relay.text.Reset()
	}
}

// reopen resumes an answer whose connection broke, at the same sidecar if
// possible, else on another upstream if the request is retryable. If frames are
// pending, the caller returns them first and the next call resumes.
func (relay *relay) reopen(ctx context.Context, pending bool) error {
	if pending {
		return nil
	}
	relay.close()
	err := relay.resumeAtSidecar(ctx)
	if err == nil {
		return nil
	}
	return relay.handleFailure(result.Errorf(result.OutcomeUnknown, "the answer could not be resumed at its sidecar: %v", err))
}

// resumeAtSidecar requests the rest of the answer from its sidecar after the
// connection broke.
func (relay *relay) resumeAtSidecar(ctx context.Context) error {
	deadline := relay.server.now().Add(resumeTimeout)
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = resumeFirstWait
	open := func() (*sidecar.Frames, error) {
		relay.server.Metrics.CountRetry(result.AnswerCut)
		frames, err := relay.server.Sidecars.Resume(ctx, relay.entry.Address, relay.incoming.id, relay.incoming.workspace, relay.assembler.Next(), deadline)
		if code := result.CodeOf(err); code == result.UnknownAnswer || code == result.AnswerExpired {
			return nil, backoff.Permanent(err)
		}
		return frames, err
	}
	frames, err := backoff.Retry(ctx, open, backoff.WithBackOff(waits), backoff.WithMaxTries(resumeTries))
	relay.frames = frames
	return err
}

// handleFailure decides what to do after the current attempt failed. It returns
// nil if the request is to be offered again, and failure otherwise.
func (relay *relay) handleFailure(failure *result.Error) error {
	relay.close()
	if failure.Code.Outcome() != result.NotRun {
		relay.mayHaveRun = true
	}
	if failure.Code == result.UpstreamCrashed {
		relay.crashedOn = append(relay.crashedOn, relay.entry.Upstream)
	}
	action := retry.Next(relay.server.now(), relay.retryAttempt(failure.Code))
	switch {
	case relay.textDropped:
		return failure
	case action == retry.Unbudgeted:
	case action == retry.Budgeted && relay.continuable():
		if !relay.server.spendRetry() {
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

// continuable reports whether another upstream can continue the answer. A model
// can continue from the text so far, a plain service only if the caller has
// received nothing yet.
func (relay *relay) continuable() bool {
	return relay.incoming.route.Model != "" || relay.assembler.Next() == 1
}

func (relay *relay) retryAttempt(code result.Code) retry.Attempt {
	candidates := 0
	if relay.pool != nil {
		candidates = len(relay.pool.Entries)
	}
	// Refused offers don't count, since the plan limits them.
	tried := 0
	if code.Outcome() != result.NotRun {
		tried = len(relay.lostOn) + 1
	}
	return retry.Attempt{
		Code:       code,
		Idempotent: relay.incoming.route.Retryable(),
		Deadline:   relay.incoming.deadline,
		Tried:      tried,
		Candidates: candidates,
	}
}

// finalError returns the error to send to the caller. Its code has outcome NotRun
// only if the request certainly did not run, and it has a retry-after time if its
// status is 500 or above.
func (relay *relay) finalError(err error) error {
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
	relay.forgetKey(failure.Code)
	if failure.RetryAt.IsZero() && failure.Code.Status() >= 500 {
		failure.RetryAt = relay.server.now().Add(defaultRetryAfter)
	}
	return &failure
}

// offerAgain makes the current upstream the next one to try, up to
// maxRepeatedOffers times, after only the connection to it broke and its sidecar
// confirmed that the request was not run.
func (relay *relay) offerAgain() {
	if relay.repeatedOffers == maxRepeatedOffers {
		return
	}
	relay.repeatedOffers++
	relay.planOffers--
	relay.designated = relay.entry.Upstream
}

// resolveUnknown asks the sidecar for the state of an attempt whose connection
// broke before the answer began. It returns nil if the answer can be read. If the
// sidecar confirms that the attempt was not forwarded, it never will be. A sidecar
// of another incarnation than the attempt was sent to cannot confirm that.
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
		if incarnation != relay.sentIncarnation {
			relay.mayHaveRun = true
			return unknown
		}
		relay.offerAgain()
		return result.Errorf(result.UpstreamUnreachable, "the connection to the sidecar broke before the request was forwarded")
	case peer.AttemptWaiting, peer.AttemptForwarded, peer.AttemptDone:
	}
	if err := relay.resumeAtSidecar(ctx); err != nil {
		relay.mayHaveRun = true
		return unknown
	}
	return nil
}
