package sidecar

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/claimtable"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/upstream"
)

const cancelTimeout = 2 * time.Second

// work runs one admitted request at the upstream.
type work struct {
	sidecar    *Sidecar
	execution  *execution
	route      settings.Route
	body       []byte
	resumeText string
	deadline   time.Time
	// waiter tells when a queued request may go on; nil where it was admitted.
	waiter chan admission.Start
}

// run forwards the request, fills its answer and gives its place back.
func (work *work) run(ctx context.Context) {
	defer work.execution.cancel()
	if err := work.wait(ctx); err != nil {
		now := work.sidecar.now()
		work.execution.fail(err.Problem(now), now.Add(replayLifetime))
		return
	}
	err := work.answer(ctx)
	now := work.sidecar.now()
	lost := ctx.Err() == nil && result.CodeOf(err) == result.OutcomeUnknown
	work.settle(now, err, lost)
	if err != nil {
		problem := work.classify(ctx, err)
		work.execution.fail(problem.Problem(now), now.Add(replayLifetime))
	}
}

// wait lets a queued request wait for its turn. Its error means that the request
// was not run and never will be.
func (work *work) wait(ctx context.Context) *result.Error {
	if work.waiter == nil {
		return nil
	}
	select {
	case start := <-work.waiter:
		if start.Code == result.OK {
			return work.leftQueue()
		}
		work.execution.abandon()
		return &result.Error{Code: start.Code, RetryAt: start.RetryAt}
	case <-ctx.Done():
	}
	work.sidecar.leaveQueue(work.execution)
	return &result.Error{Code: result.DeadlineUnmeetable, Detail: "it waited in the queue", RetryAt: work.sidecar.now().Add(comeBack)}
}

// leftQueue goes on with a request unless its router went away meanwhile.
func (work *work) leftQueue() *result.Error {
	if work.execution.unqueue() {
		return nil
	}
	work.sidecar.leaveQueue(work.execution)
	return &result.Error{Code: result.DeadlineUnmeetable, Detail: "the router went away"}
}

func (work *work) answer(ctx context.Context) error {
	switch {
	case !work.route.Retryable():
		return work.claimed(ctx)
	case work.route.Service != "":
		return work.service(ctx)
	default:
		return work.model(ctx)
	}
}

// settle frees the request's place and keeps the strikes up to date. A request
// whose connection to the upstream was lost while it ran counts as running at
// a crash.
func (work *work) settle(now time.Time, err error, lost bool) {
	sidecar := work.sidecar
	crashed := lost && work.execution.attemptState() == peer.AttemptForwarded
	sidecar.mu.Lock()
	args := sidecar.recordStrike(now, work.execution, crashed, err == nil)
	sidecar.deliver(sidecar.controller.Done(now, work.execution.call.Attempt))
	sidecar.mu.Unlock()
	if sidecar.OnStrikes != nil && len(args.Strikes)+len(args.Cleared) > 0 {
		sidecar.OnStrikes(args)
	}
}

// recordStrike strikes or clears the request's fingerprint and returns what
// other daemons should learn. The caller holds mu.
func (sidecar *Sidecar) recordStrike(now time.Time, ended *execution, crashed, succeeded bool) peer.StrikeArgs {
	var args peer.StrikeArgs
	if crashed {
		struck := strike.Strike{Fingerprint: ended.fingerprint, Upstream: sidecar.Upstream.ID, At: now}
		if sidecar.strikes.Add(now, struck) {
			args.Strikes = []peer.StrikeItem{{Fingerprint: ended.fingerprint, Upstream: sidecar.Upstream.ID}}
			sidecar.Metrics.CountEvent("strike.added")
		}
	}
	if succeeded && sidecar.strikes.HasStrikes(now, ended.fingerprint) {
		sidecar.strikes.Clear(ended.fingerprint)
		args.Cleared = []ident.Fingerprint{ended.fingerprint}
		sidecar.Metrics.CountEvent("strike.cleared")
	}
	return args
}

// classify gives the error that the reader sees for a failed run.
func (work *work) classify(ctx context.Context, err error) *result.Error {
	now := work.sidecar.now()
	failure := *result.From(err, result.UpstreamFailed)
	state := work.execution.attemptState()
	if state == peer.AttemptAbandoned {
		return work.notRun(&failure, now)
	}
	if work.execution.wasLost() {
		return result.Errorf(result.UpstreamFailed, "%v", errUpstreamLost)
	}
	if state == peer.AttemptForwarded && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Errorf(result.DeadlineExpired, "the deadline passed while the upstream was running the request")
	}
	if failure.Code == result.OutcomeUnknown && work.route.Retryable() {
		failure.Code = result.UpstreamCrashed
	}
	return &failure
}

// notRun keeps the code of a request that was not run if it says so.
func (work *work) notRun(failure *result.Error, now time.Time) *result.Error {
	if failure.Code.Outcome() != result.NotRun {
		failure.Code = result.DeadlineUnmeetable
	}
	if failure.RetryAt.IsZero() {
		failure.RetryAt = now.Add(comeBack)
	}
	return failure
}

// forward runs send unless the attempt was abandoned, and takes note where
// nothing was sent.
func (work *work) forward(send func() error) error {
	if !work.execution.forward() {
		return &result.Error{Code: result.DeadlineUnmeetable, Detail: "the attempt was abandoned"}
	}
	err := send()
	if result.CodeOf(err) == result.UpstreamUnreachable {
		work.execution.withdraw()
		work.sidecar.unreachable()
	}
	return err
}

// model streams a model's answer.
func (work *work) model(ctx context.Context) error {
	var prompt upstream.Prompt
	if err := json.Unmarshal(work.body, &prompt); err != nil {
		work.execution.abandon()
		return result.Errorf(result.MalformedBody, "%v", err)
	}
	call := &work.execution.call
	if work.sidecar.Prefixes != nil && call.Prior != "" {
		tokens := ident.Tokens(len(prompt.Text) / bytesPerToken)
		work.sidecar.Prefixes.Fetch(ctx, chatOf(call), call.Prior, tokens)
	}
	generate := upstream.Generate{
		Request:      call.Attempt,
		Chat:         chatOf(call),
		Model:        work.route.Model,
		Priority:     call.Priority,
		Prompt:       prompt,
		ResumeText:   work.resumeText,
		ResumeTokens: ident.Tokens(call.ResumeFrames),
	}
	var stream *upstream.Stream
	err := work.forward(func() (err error) {
		stream, err = work.sidecar.Client.Generate(ctx, generate)
		return err
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	return work.copyTokens(ctx, stream)
}

// copyTokens appends the tokens of stream to the answer until its end.
func (work *work) copyTokens(ctx context.Context, stream *upstream.Stream) error {
	for {
		token, err := stream.Next()
		if err != nil {
			work.cancelUpstream(ctx)
			return cutError(err)
		}
		if token.Done {
			if token.Text != "" {
				work.execution.data(token.Text)
			}
			end := answer.End{Status: 200, ContentType: "text/plain", Cached: token.Cached, Prompt: token.Prompt}
			work.execution.end(end, work.sidecar.now().Add(replayLifetime))
			work.used(token.Prompt)
			return nil
		}
		work.execution.data(token.Text)
	}
}

// used remembers that the engine now holds the prefix of the chat.
func (work *work) used(tokens ident.Tokens) {
	if work.sidecar.Prefixes != nil && work.execution.call.Chat != "" {
		work.sidecar.Prefixes.RecordUse(chatOf(&work.execution.call), tokens)
	}
}

// cutError describes a token stream that ended before its last token.
func cutError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return result.Errorf(result.OutcomeUnknown, "the upstream's stream was cut")
	}
	return err
}

// cancelUpstream tells the engine to drop a request whose run has ended here.
func (work *work) cancelUpstream(ctx context.Context) {
	if ctx.Err() == nil || work.sidecar.Client.Cancel == nil {
		return
	}
	cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := work.sidecar.Client.Cancel(cancelCtx, work.execution.call.Attempt); err != nil {
		work.sidecar.log().Warn("Cancel failed.", "attempt", work.execution.call.Attempt, "error", err)
	}
}

// service runs an idempotent call of a plain service.
func (work *work) service(ctx context.Context) error {
	reply, err := work.call(ctx)
	if err != nil {
		return err
	}
	work.reply(reply)
	return nil
}

// call gives the request to the plain service.
func (work *work) call(ctx context.Context) (upstream.Reply, error) {
	call := upstream.Call{
		Operation: work.route.Operation,
		Key:       work.execution.call.Key,
		Workspace: work.execution.call.Workspace,
		Body:      work.body,
	}
	var reply upstream.Reply
	err := work.forward(func() (err error) {
		reply, err = work.sidecar.Client.Call(ctx, call)
		return err
	})
	return reply, err
}

// reply appends a plain service's whole answer.
func (work *work) reply(reply upstream.Reply) {
	end := answer.End{Status: reply.Status, ContentType: reply.ContentType}
	body := reply.Body
	if !utf8.ValidString(body) {
		body = base64.StdEncoding.EncodeToString([]byte(body))
		end.Base64 = true
	}
	work.execution.data(body)
	work.execution.end(end, work.sidecar.now().Add(replayLifetime))
}

// claimed runs a request that is not idempotent, once it is claimed.
func (work *work) claimed(ctx context.Context) error {
	if work.sidecar.Claims == nil {
		work.execution.abandon()
		return &result.Error{Code: result.ClaimUnavailable, RetryAt: work.sidecar.now().Add(comeBack)}
	}
	call := &work.execution.call
	request := claimtable.Request{
		Key:      claim.Key{Service: work.route.Service, Workspace: ident.Qualified(call.Team, call.Workspace), Key: call.Key},
		Attempt:  call.Attempt,
		Upstream: work.sidecar.Upstream.ID,
		Body:     work.execution.fingerprint,
		Deadline: work.deadline,
	}
	answer, err := work.sidecar.Claims(ctx, request, work.forwardClaimed)
	if err != nil {
		return err
	}
	work.reply(upstream.Reply{
		Status:      answer.Reply.Status,
		ContentType: answer.Reply.ContentType,
		Body:        string(answer.Reply.Body),
	})
	return nil
}

// forwardClaimed gives a claimed request to the upstream.
func (work *work) forwardClaimed(ctx context.Context) (claim.Reply, error) {
	reply, err := work.call(ctx)
	return claim.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: []byte(reply.Body)}, err
}

// chatOf returns the engine's name for the chat, which no other workspace can
// use; a request without a chat is a chat of its own.
func chatOf(call *Call) ident.ChatID {
	if call.Chat == "" {
		return ident.ChatID(call.Request)
	}
	return ident.QualifiedChat(call.Team, call.Workspace, call.Chat)
}
