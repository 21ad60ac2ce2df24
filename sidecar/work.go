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

// work runs one request that was admitted or queued.
type work struct {
	sidecar    *Sidecar
	execution  *execution
	route      settings.Route
	body       []byte
	resumeText string
	deadline   time.Time
	// waiter receives the decision on a queued request; nil if the request was
	// admitted at once.
	waiter chan admission.Dequeued
}

// run waits for admission, forwards the request to the upstream, fills the answer
// and frees the request's slot.
func (work *work) run(ctx context.Context) {
	defer work.execution.cancel()
	if err := work.waitForAdmission(ctx); err != nil {
		now := work.sidecar.now()
		work.execution.fail(err.Problem(now), now.Add(replayLifetime))
		return
	}
	err := work.execute(ctx)
	now := work.sidecar.now()
	lost := ctx.Err() == nil && result.CodeOf(err) == result.OutcomeUnknown
	work.settle(now, err, lost)
	if err != nil {
		problem := work.classify(ctx, err)
		work.execution.fail(problem.Problem(now), now.Add(replayLifetime))
	}
}

// waitForAdmission waits until a queued request is admitted. If it returns an
// error, the request was not run and never will be.
func (work *work) waitForAdmission(ctx context.Context) *result.Error {
	if work.waiter == nil {
		return nil
	}
	select {
	case dequeued := <-work.waiter:
		if dequeued.Code == result.OK {
			return work.startQueued()
		}
		work.execution.abandon()
		return &result.Error{Code: dequeued.Code, RetryAt: dequeued.RetryAt}
	case <-ctx.Done():
	}
	work.sidecar.dequeue(work.execution)
	return &result.Error{Code: result.DeadlineUnmeetable, Detail: "the deadline passed or the request was cancelled while it was queued", RetryAt: work.sidecar.now().Add(defaultRetryAfter)}
}

// startQueued ends the wait of an admitted request. It returns an error if the
// request was abandoned while it was queued, for instance because its router
// disconnected.
func (work *work) startQueued() *result.Error {
	if work.execution.markDequeued() {
		return nil
	}
	work.sidecar.dequeue(work.execution)
	return &result.Error{Code: result.DeadlineUnmeetable, Detail: "the attempt was abandoned while it was queued"}
}

// execute runs the request in the way that its route requires.
func (work *work) execute(ctx context.Context) error {
	switch {
	case !work.route.Retryable():
		return work.runClaimed(ctx)
	case work.route.Service != "":
		return work.runService(ctx)
	default:
		return work.runModel(ctx)
	}
}

// settle frees the request's slot and updates its strikes. If the connection to
// the upstream was lost after the request was forwarded, the upstream is assumed
// to have crashed while it ran the request.
func (work *work) settle(now time.Time, err error, lost bool) {
	sidecar := work.sidecar
	crashed := lost && work.execution.attemptState() == peer.AttemptForwarded
	sidecar.mu.Lock()
	args := sidecar.recordStrike(now, work.execution, crashed, err == nil)
	sidecar.notifyWaiters(sidecar.controller.Done(now, work.execution.call.Attempt))
	sidecar.mu.Unlock()
	if sidecar.OnStrikes != nil && len(args.Strikes)+len(args.Cleared) > 0 {
		sidecar.OnStrikes(args)
	}
}

// recordStrike adds a strike for a crash or clears the strikes after a success,
// and returns the changes to send to other daemons. The caller holds mu.
func (sidecar *Sidecar) recordStrike(now time.Time, ended *execution, crashed, succeeded bool) peer.StrikeArgs {
	var args peer.StrikeArgs
	if crashed {
		added := strike.Strike{Fingerprint: ended.fingerprint, Upstream: sidecar.Upstream.ID, At: now}
		if sidecar.strikes.Add(now, added) {
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

// classify returns the error with which the answer of a failed run ends.
func (work *work) classify(ctx context.Context, err error) *result.Error {
	now := work.sidecar.now()
	failure := *result.From(err, result.UpstreamFailed)
	state := work.execution.attemptState()
	if state == peer.AttemptAbandoned {
		return work.asNotRun(&failure, now)
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

// asNotRun returns failure with a code of outcome NotRun and a retry-after time.
// A code that already has that outcome stays.
func (work *work) asNotRun(failure *result.Error, now time.Time) *result.Error {
	if failure.Code.Outcome() != result.NotRun {
		failure.Code = result.DeadlineUnmeetable
	}
	if failure.RetryAt.IsZero() {
		failure.RetryAt = now.Add(defaultRetryAfter)
	}
	return failure
}

// forward marks the attempt as forwarded and calls send, unless the attempt was
// abandoned. If send could not reach the upstream, the attempt counts as not run.
func (work *work) forward(send func() error) error {
	if !work.execution.forward() {
		return &result.Error{Code: result.DeadlineUnmeetable, Detail: "the attempt was abandoned"}
	}
	err := send()
	if result.CodeOf(err) == result.UpstreamUnreachable {
		work.execution.undoForward()
		work.sidecar.recordUnreachable(err)
	}
	return err
}

// runModel runs a request at a model's engine and streams the answer.
func (work *work) runModel(ctx context.Context) error {
	var prompt upstream.Prompt
	if err := json.Unmarshal(work.body, &prompt); err != nil {
		work.execution.abandon()
		return result.Errorf(result.MalformedBody, "%v", err)
	}
	call := &work.execution.call
	if work.sidecar.Prefixes != nil && call.Prior != "" {
		tokens := ident.Tokens(len(prompt.Text) / bytesPerToken)
		work.sidecar.Prefixes.Fetch(ctx, engineChatID(call), call.Prior, tokens)
	}
	generate := upstream.Generate{
		Request:      call.Attempt,
		Chat:         engineChatID(call),
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

// copyTokens appends the tokens of stream to the answer until the stream ends.
func (work *work) copyTokens(ctx context.Context, stream *upstream.Stream) error {
	for {
		token, err := stream.Next()
		if err != nil {
			work.cancelUpstream(ctx)
			return streamError(err)
		}
		if token.Done {
			if token.Text != "" {
				work.execution.appendData(token.Text)
			}
			end := answer.End{Status: 200, ContentType: "text/plain", Cached: token.Cached, Prompt: token.Prompt}
			work.execution.appendEnd(end, work.sidecar.now().Add(replayLifetime))
			work.recordPrefixUse(token.Prompt)
			return nil
		}
		work.execution.appendData(token.Text)
	}
}

// recordPrefixUse records that the engine now has the prefix of the chat cached.
func (work *work) recordPrefixUse(tokens ident.Tokens) {
	if work.sidecar.Prefixes != nil && work.execution.call.Chat != "" {
		work.sidecar.Prefixes.RecordUse(engineChatID(&work.execution.call), tokens)
	}
}

// streamError converts the error of a token stream. A stream that ended before
// its last token leaves the outcome unknown.
func streamError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return result.Errorf(result.OutcomeUnknown, "the upstream's token stream was truncated")
	}
	return err
}

// cancelUpstream cancels the request at the engine if ctx, the context of the
// run, has ended.
func (work *work) cancelUpstream(ctx context.Context) {
	if ctx.Err() == nil || work.sidecar.Client.Cancel == nil {
		return
	}
	cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := work.sidecar.Client.Cancel(cancelCtx, work.execution.call.Attempt); err != nil {
		work.sidecar.log().Warn("Request could not be cancelled at the upstream.", "attempt", work.execution.call.Attempt, "error", err)
	}
}

// runService runs an idempotent request of a plain service.
func (work *work) runService(ctx context.Context) error {
	reply, err := work.callService(ctx)
	if err != nil {
		return err
	}
	work.appendReply(reply)
	return nil
}

// callService forwards the request to the plain service.
func (work *work) callService(ctx context.Context) (upstream.Reply, error) {
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

// appendReply appends a plain service's complete answer. A body that is not valid
// UTF-8 is encoded in base64, since JSON frames cannot carry it.
func (work *work) appendReply(reply upstream.Reply) {
	end := answer.End{Status: reply.Status, ContentType: reply.ContentType}
	body := reply.Body
	if !utf8.ValidString(body) {
		body = base64.StdEncoding.EncodeToString([]byte(body))
		end.Base64 = true
	}
	work.execution.appendData(body)
	work.execution.appendEnd(end, work.sidecar.now().Add(replayLifetime))
}

// runClaimed runs a request that is not idempotent after claiming its key.
func (work *work) runClaimed(ctx context.Context) error {
	if work.sidecar.Claims == nil {
		work.execution.abandon()
		return &result.Error{Code: result.ClaimUnavailable, RetryAt: work.sidecar.now().Add(defaultRetryAfter)}
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
	work.appendReply(upstream.Reply{
		Status:      answer.Reply.Status,
		ContentType: answer.Reply.ContentType,
		Body:        string(answer.Reply.Body),
	})
	return nil
}

// forwardClaimed forwards a claimed request to the upstream.
func (work *work) forwardClaimed(ctx context.Context) (claim.Reply, error) {
	reply, err := work.callService(ctx)
	return claim.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: []byte(reply.Body)}, err
}

// engineChatID returns the ID under which the engine knows the chat. It contains
// team and workspace, so that no other workspace can use the chat's cache. A
// request without a chat gets its own ID.
func engineChatID(call *Call) ident.ChatID {
	if call.Chat == "" {
		return ident.ChatID(call.Request)
	}
	return ident.QualifiedChat(call.Team, call.Workspace, call.Chat)
}
