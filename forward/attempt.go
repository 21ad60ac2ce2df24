package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// minLeft is the least time that an upstream is handed.
	minLeft = 2 * time.Millisecond
	// maxStrays bounds the answers to other requests that are passed over on
	// one connection.
	maxStrays = 4
	// freshIdle is how long a connection may have been idle that carries a
	// request which may not be repeated: an older one may have been dropped
	// without notice.
	freshIdle = 1500 * time.Millisecond
	// anyIdle leaves the choice to the time that the upstream states.
	anyIdle = time.Hour
	// silenceTargets is how many times the target of its route a request may be
	// unanswered before it counts against its upstream.
	silenceTargets = 3
	// minSilence is the least time that counts as silence.
	minSilence = 400 * time.Millisecond
)

// answer is the head of an upstream's answer, whose body is still to be read.
type answer struct {
	upstream registry.Upstream
	conn     *http1.Conn
	response *http.Response
	head     platform.ResponseHead
	// unwatch ends the watch over the caller; it reports false where the caller
	// has left.
	unwatch func() bool
	loads   *balance.Loads
	// pendingPrefill counts the tokens of the prompt that the upstream has to read
	// before its first byte.
	pendingPrefill ident.Tokens
}

// began takes in that the upstream has read the prompt.
func (a *answer) began() {
	a.loads.PrefillDone(a.upstream.ID, a.pendingPrefill)
	a.pendingPrefill = 0
}

// keep gives the connection back once the body was read to its end.
func (a *answer) keep() {
	a.loads.End(a.upstream.ID, a.pendingPrefill)
	if !a.unwatch() {
		a.conn.Discard()
		return
	}
	a.conn.Release(a.response.Body, http1.KeepAlive(a.response.Header))
}

// drop closes the connection, which stops the work at the upstream.
func (a *answer) drop() {
	a.loads.End(a.upstream.ID, a.pendingPrefill)
	a.unwatch()
	a.conn.Discard()
}

// attempt sends the request to one upstream and reads the head of the answer.
// The code is OK, or says what is known of the request there. With lastEvent it
// asks for the rest of a stream behind that event.
func (x *exchange) attempt(upstream registry.Upstream, lastEvent string) (*answer, result.Code) {
	conn, err := x.connect(upstream)
	if err != nil {
		x.causeOf(err)
		if x.request.Context().Err() == nil && !errors.Is(err, http1.ErrFull) {
			x.handler.judge(upstream, health.Unreachable)
		}
		return nil, result.UpstreamUnreachable
	}
	left := time.Until(x.deadline)
	if left < minLeft {
		conn.Discard()
		return nil, result.DeadlineUnmeetable
	}
	a := &answer{upstream: upstream, conn: conn, loads: x.handler.Loads, pendingPrefill: x.pendingPrefill()}
	a.unwatch = context.AfterFunc(x.request.Context(), func() { _ = conn.Close() })
	x.handler.Loads.Start(upstream.ID, a.pendingPrefill)
	for _, key := range x.shared {
		x.handler.CacheIndex.RecordLocal(time.Now(), balance.CacheUpdate{Key: key, Upstream: upstream.ID})
	}
	sentAt := time.Now()
	code := x.converse(a, left, lastEvent)
	x.handler.Metrics.ObserveAttempt(time.Since(sentAt))
	if code != result.OK {
		x.judgeFailure(upstream, code)
		a.drop()
		return nil, code
	}
	return a, result.OK
}

// pendingPrefill returns how many tokens of the prompt the chosen upstream has
// to read: the request's own part where the shared ones are cached or fetched.
func (x *exchange) pendingPrefill() ident.Tokens {
	if len(x.head.Prompt) == 0 {
		return 0
	}
	own := x.head.Prompt[len(x.head.Prompt)-1].Tokens
	if x.choice.Reason == balance.CacheHit || x.choice.Source != "" {
		return own
	}
	return promptTokens(x.head.Prompt)
}

// promptTokens returns the length of a prompt.
func promptTokens(parts []platform.PromptPart) ident.Tokens {
	var tokens ident.Tokens
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

func (x *exchange) connect(upstream registry.Upstream) (*http1.Conn, error) {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	maxIdle := freshIdle
	if x.route.Retryable() {
		maxIdle = anyIdle
	}
	limit := 0
	if service, found := x.table.Service(x.service); found {
		limit = connectionLimit(service.MaxConnections, x.handler.Routers())
	}
	return x.handler.Connections.Pool(upstream).Get(ctx, limit, maxIdle)
}

// connectionLimit returns a router's part of the connections that an upstream
// takes. Half as much again allows for uneven routers, and a tenth is left to
// routers that are not known yet.
func connectionLimit(total, routers int) int {
	if total <= 0 {
		return 0
	}
	return max(min(total*3/(2*max(routers, 1)), total*9/10), 2)
}

// converse sends the request on the connection of a and reads the head of its
// answer into a.
func (x *exchange) converse(a *answer, left time.Duration, lastEvent string) result.Code {
	if err := a.conn.SetWriteDeadline(x.deadline); err != nil {
		x.causeOf(err)
		return result.UpstreamUnreachable
	}
	request := &http1.Request{
		Method: x.request.Method,
		Target: x.target(),
		Host:   x.request.Host,
		Header: platform.EncodeRequest(x.request.Header, x.forwarding(a.upstream, left, lastEvent)),
		Body:   x.body,
	}
	if err := a.conn.Send(request); err != nil {
		return x.failed(err)
	}
	return x.receive(a)
}

func (x *exchange) forwarding(upstream registry.Upstream, left time.Duration, lastEvent string) platform.Forwarding {
	forwarding := platform.Forwarding{
		Upstream:    upstream.ID,
		Wait:        ident.Milliseconds(max(left.Milliseconds(), 1)),
		Priority:    x.route.Priority,
		Prioritized: x.route.Sticky,
		LastEvent:   lastEvent,
	}
	if source, listed := x.handler.Registry.Upstream(x.choice.Source); listed {
		forwarding.FetchFrom = source.Address
	}
	if x.workspace != nil {
		forwarding.Workspace = x.workspace.ID
		if x.workspace.Priority != nil {
			forwarding.Priority = *x.workspace.Priority
		}
	}
	return forwarding
}

// receive reads heads until the one of this request, passing over answers that
// belong to earlier ones.
func (x *exchange) receive(a *answer) result.Code {
	for range maxStrays {
		if code := x.await(a); code != result.OK {
			return code
		}
		response, err := a.conn.Receive(x.request.Method)
		if err != nil {
			return x.failed(err)
		}
		head := platform.DecodeResponse(response)
		if head.Attempt != "" && head.Attempt != x.head.Attempt {
			x.handler.Metrics.CountEvent("answer.stray")
			x.handler.Logger.Warn("Answer to another request dropped.", "Attempt", x.head.Attempt, "Got", head.Attempt, "Upstream", a.upstream.ID)
			if !http1.Skip(response) {
				x.cause = "stray answer without an end"
				return result.OutcomeUnknown
			}
			continue
		}
		a.response, a.head = response, head
		a.began()
		return x.classify(a)
	}
	x.cause = "too many stray answers"
	return result.OutcomeUnknown
}

// await waits for the first byte of an answer until the deadline. An upstream
// that is silent for long is judged at once, and the wait goes on.
func (x *exchange) await(a *answer) result.Code {
	silence := max(silenceTargets*x.route.Target.Duration(), minSilence)
	suspectAt := time.Now().Add(silence)
	if suspectAt.Before(x.deadline) {
		began, err := a.conn.Await(suspectAt)
		if err != nil {
			return x.failed(err)
		}
		if began {
			return x.readUntilDeadline(a)
		}
		x.handler.judge(a.upstream, health.NoResponse)
		if x.moveOn() {
			x.cause = "no answer within " + silence.String()
			return result.OutcomeUnknown
		}
	}
	began, err := a.conn.Await(x.deadline)
	if err != nil {
		return x.failed(err)
	}
	if !began {
		x.cause = "no answer before the deadline"
		return result.DeadlineExpired
	}
	return x.readUntilDeadline(a)
}

// moveOn reports whether a request with a silent upstream goes to another one
// instead, and takes the repetition from the budget. Without another upstream
// the answer that may still come is all there is.
func (x *exchange) moveOn() bool {
	if !x.route.Retryable() || x.runs+1 >= x.route.MaxAttempts {
		return false
	}
	other, found := x.handler.choose(x.handler.Registry.Pool(x.service), x.choiceRequest())
	if !found || other.Reason == balance.LastResort || !x.handler.spendRetry(time.Now(), x.service) {
		return false
	}
	x.paid = true
	return true
}

func (x *exchange) readUntilDeadline(a *answer) result.Code {
	if err := a.conn.SetReadDeadline(x.deadline); err != nil {
		x.causeOf(err)
		return result.OutcomeUnknown
	}
	return result.OK
}

// classify returns what the head of an answer says of the request.
func (x *exchange) classify(a *answer) result.Code {
	if a.head.Load != nil {
		x.handler.Loads.RecordReport(time.Now(), a.upstream.ID, a.head.Load.Running+a.head.Load.Waiting)
	}
	switch {
	case a.head.NotRun && x.belongs(a):
		x.cause = a.response.Status
		return result.QueueFull
	case a.response.StatusCode < http.StatusMultipleChoices && !a.head.Signed:
		x.cause = "answer without a signature"
		return result.OutcomeUnknown
	case promisesNotRun(a.response.StatusCode):
		x.cause = a.response.Status + " without proof"
		return result.OutcomeUnknown
	}
	return result.OK
}

// belongs reports whether an answer is surely the one to this request: it bears
// its ID, or no other request was sent on the connection.
func (x *exchange) belongs(a *answer) bool {
	return a.head.Attempt == x.head.Attempt || a.conn.Requests == 1
}

// promisesNotRun reports whether a caller takes status for proof that its
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failed returns the code of an attempt that ended with err.
func (x *exchange) failed(err error) result.Code {
	x.causeOf(err)
	if !oncehttp.Sent(err) {
		return result.UpstreamUnreachable
	}
	return result.OutcomeUnknown
}

// judgeFailure tells the health of an upstream about a failed attempt.
func (x *exchange) judgeFailure(upstream registry.Upstream, code result.Code) {
	if x.request.Context().Err() != nil {
		return
	}
	switch code {
	case result.OutcomeUnknown, result.AnswerCut, result.UpstreamUnreachable:
		x.handler.judge(upstream, health.Broken)
	case result.QueueFull:
		x.handler.judge(upstream, health.Succeeded)
	}
}
