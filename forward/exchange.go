package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// defaultTimeout bounds a request of a route that states no timeout.
	defaultTimeout = 60 * time.Second
	// notReadyReturn is when a caller of a router without a configuration
	// should come back.
	notReadyReturn = 300 * time.Millisecond
	// tableWait bounds the wait of a request for the first configuration of a
	// router that has just started: one of 1,200 routes takes 0.4 s over a link of
	// 10 Mbit/s. tableWaitShare bounds it to a part of what the caller waits.
	tableWait      = 700 * time.Millisecond
	tableWaitShare = 0.4
)

// exchange is one request of a caller with all its attempts.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	table     *routing.Table
	route     *routing.Route
	service   ident.ServiceName
	head      platform.RequestHead
	workspace *routing.Workspace
	body      []byte
	// shared are the parts of the prompt that other requests share, on a sticky
	// route.
	shared []ident.ChatID
	// deadline is when the caller's wait or the route's timeout ends, and
	// callerUntil when the caller's wait alone does.
	deadline    time.Time
	callerUntil time.Time

	// tried are the upstreams that the request was offered to, and runs counts
	// those that may have run it.
	tried []ident.UpstreamID
	runs  int
	// paid says that the next repetition is taken from the budget already.
	paid   bool
	choice balance.Choice
	// started says that the head of an answer was given to the caller.
	started bool
	// firstByte is when the answer began.
	firstByte time.Time
	status    int
	code      result.Code
	cause     string
	// aborted says that the caller's connection has to be broken off, since the
	// answer on it is not whole.
	aborted bool
}

// serve takes the request in and answers it.
func (x *exchange) serve() {
	if x.handler.leaving.Load() {
		x.writer.Header().Set("Connection", "close")
	}
	if code := x.accept(); code != result.OK {
		x.refuse(code)
		return
	}
	x.handler.countRequest(x.arrived, x.service)
	if x.route.Sticky {
		x.handler.awaitWarm(x.request.Context())
	}
	x.offer()
}

// accept checks the request and reads it whole. It returns why it can't be
// forwarded, or OK.
func (x *exchange) accept() result.Code {
	if !Unambiguous(x.request.Context()) {
		x.writer.Header().Set("Connection", "close")
		return result.AmbiguousFraming
	}
	head, err := platform.DecodeRequest(x.request.Header)
	x.head = head
	x.table = x.handler.Routes.Table()
	if x.table == nil {
		x.table = x.awaitTable()
	}
	if x.table == nil {
		return result.NotReady
	}
	if err != nil {
		x.cause = err.Error()
		return result.InvalidHeader
	}
	path, _, _ := strings.Cut(x.target(), "?")
	x.route = x.table.Route(x.request.Host, path)
	if x.route == nil {
		return result.UnknownRoute
	}
	if limit := x.table.Limits.HeaderBytes; limit > 0 && headBytes(x.request) > limit {
		return result.HeadTooLarge
	}
	if code := x.authenticate(); code != result.OK {
		return code
	}
	if x.route.Sticky {
		x.shared = sharedParts(x.head.Prompt)
	}
	x.setDeadline()
	x.service = x.route.Service(xxhash.Sum64String(string(x.head.Attempt)))
	return x.readBody()
}

// awaitTable waits for the first configuration, for a part of the time that the
// caller waits.
func (x *exchange) awaitTable() *routing.Table {
	patience := tableWait
	if x.head.Wait > 0 {
		patience = min(patience, time.Duration(tableWaitShare*float64(x.head.Wait.Duration())))
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-x.handler.Routes.Loaded():
	case <-x.request.Context().Done():
	case <-timer.C:
	}
	return x.handler.Routes.Table()
}

// target returns the path and query as the caller sent them.
func (x *exchange) target() string {
	if strings.HasPrefix(x.request.RequestURI, "/") {
		return x.request.RequestURI
	}
	return x.request.URL.RequestURI()
}

// headBytes returns the size of the request line and the headers.
func headBytes(request *http.Request) int {
	count := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			count += len(name) + len(value) + len(": \r\n")
		}
	}
	return count
}

func (x *exchange) authenticate() result.Code {
	if !x.table.NeedsKeys() {
		return result.OK
	}
	x.workspace = x.table.Workspace(x.head.APIKey)
	if x.workspace == nil && !x.route.Public {
		return result.UnknownKey
	}
	return result.OK
}

func (x *exchange) setDeadline() {
	timeout := x.route.Timeout.Duration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrived.Add(timeout)
	x.callerUntil = x.deadline
	if x.head.Wait > 0 {
		x.callerUntil = x.arrived.Add(x.head.Wait.Duration())
	}
	if x.callerUntil.Before(x.deadline) {
		x.deadline = x.callerUntil
	}
}

func (x *exchange) readBody() result.Code {
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.deadline); err != nil {
		x.handler.Logger.Debug("Read deadline not set.", "Error", err)
	}
	limit := int64(x.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return result.BodyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, limit+1))
	if err != nil {
		x.cause = err.Error()
		return result.MalformedBody
	}
	if int64(len(body)) > limit {
		return result.BodyTooLarge
	}
	x.body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.handler.Logger.Debug("Read deadline not cleared.", "Error", err)
	}
	return result.OK
}

// defaultBodyBytes bounds a body where the configuration does not.
const defaultBodyBytes = 4 << 20

// offer sends the request to one upstream after the other until it is answered
// or there is no use in going on.
func (x *exchange) offer() {
	for {
		pool := x.handler.Registry.Pool(x.service)
		if !x.chooseNext(pool) {
			x.giveUp(result.NoUpstream)
			return
		}
		answer, code := x.attempt(x.choice.Upstream, "")
		if code == result.OK {
			code = x.relay(answer)
		}
		if x.started || code == result.OK || x.request.Context().Err() != nil {
			x.code = code
			x.callerLeft()
			return
		}
		x.logAttempt(code)
		if !x.again(code, pool) {
			x.giveUp(code)
			return
		}
		x.handler.Metrics.CountRetry(code)
	}
}

// chooseNext chooses the upstream that the request is offered to next, and
// reports whether there is one.
func (x *exchange) chooseNext(pool *registry.Pool) bool {
	choice, found := x.handler.choose(pool, x.choiceRequest())
	if !found {
		return false
	}
	x.choice = choice
	x.tried = append(x.tried, choice.Upstream.ID)
	return true
}

func (x *exchange) choiceRequest() balance.Request {
	return balance.Request{
		Keys:      x.shared,
		Tried:     x.tried,
		Zone:      x.handler.Zone,
		Target:    x.route.Target,
		Retryable: x.route.Retryable(),
	}
}

// sharedParts returns the parts of a prompt that other requests share, the
// deepest first: all but the last one, which is the request's own.
func sharedParts(parts []platform.PromptPart) []ident.ChatID {
	shared := parts
	if len(parts) > 1 {
		shared = parts[:len(parts)-1]
	}
	keys := make([]ident.ChatID, 0, len(shared))
	for _, part := range slices.Backward(shared) {
		keys = append(keys, ident.ChatID(part.ID))
	}
	return keys
}

// again decides whether the request is sent once more after code.
func (x *exchange) again(code result.Code, pool *registry.Pool) bool {
	if code.Outcome() != result.NotRun {
		x.runs++
	}
	now := time.Now()
	action := retry.Next(now, retry.Attempt{
		Code:       code,
		Idempotent: x.route.Retryable(),
		Deadline:   x.deadline,
		Tried:      len(x.tried),
		Candidates: len(pool.Upstreams),
		Runs:       x.runs,
		MaxRuns:    x.route.MaxAttempts,
	})
	switch {
	case action == retry.Stop:
		return false
	case code == result.UpstreamUnreachable:
		// Nothing arrived anywhere, so nothing is repeated.
		return true
	}
	if x.paid {
		x.paid = false
		return true
	}
	if !x.handler.spendRetry(now, x.service) {
		x.handler.Metrics.CountEvent("retry.budget.spent")
		return false
	}
	return true
}

// giveUp answers a request that no upstream will answer. Where an earlier
// attempt may have run, the answer promises nothing.
func (x *exchange) giveUp(code result.Code) {
	if x.runs > 0 && code.Outcome() == result.NotRun {
		code = result.OutcomeUnknown
	}
	x.refuse(code)
}

// refuse gives the caller an answer of the router's own.
func (x *exchange) refuse(code result.Code) {
	x.code = code
	x.status = code.Status()
	x.started = true
	x.handler.Metrics.CountRefusal(code)
	after := time.Duration(0)
	switch {
	case code == result.NotReady:
		after = notReadyReturn
	case code.Status() == http.StatusServiceUnavailable:
		after = comeBack(time.Until(x.callerUntil))
	}
	x.handler.answerCode(x.writer, code, after)
}

// finish logs the request and breaks off its connection if its answer is not
// whole.
func (x *exchange) finish() {
	x.handler.Metrics.CountAnswer(x.code.Outcome())
	if x.route != nil {
		x.handler.Metrics.ObserveRequest(x.route.Kind.String(), time.Since(x.arrived))
	}
	switch {
	case x.code != result.OK || len(x.tried) > 1:
		x.log(slog.LevelWarn)
	case x.handler.LogLimiter.Allow():
		x.log(slog.LevelInfo)
	default:
		x.handler.Metrics.CountEvent("log.request.omitted")
	}
	if x.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) log(level slog.Level) {
	attributes := []slog.Attr{
		slog.String("Attempt", string(x.head.Attempt)),
		slog.Int("Status", x.status),
		slog.String("Code", x.code.Name()),
		slog.Int64("Ms", time.Since(x.arrived).Milliseconds()),
	}
	if x.table != nil {
		attributes = append(attributes, slog.Uint64("ConfigVersion", uint64(x.table.Version)))
	}
	if x.route != nil {
		attributes = append(attributes, slog.String("Route", string(x.route.Name)))
	}
	if x.workspace != nil {
		attributes = append(attributes, slog.String("Workspace", string(x.workspace.ID)))
	}
	if !x.firstByte.IsZero() {
		attributes = append(attributes, slog.Int64("FirstMs", x.firstByte.Sub(x.arrived).Milliseconds()))
	}
	if len(x.head.Prompt) > 0 {
		attributes = append(attributes, slog.Int("Prompt", int(promptTokens(x.head.Prompt))))
	}
	if len(x.tried) > 0 {
		attributes = append(attributes,
			slog.String("Upstream", string(x.choice.Upstream.ID)),
			slog.String("Reason", string(x.choice.Reason)),
			slog.Int("Load", x.choice.Load.Requests),
			slog.Int("Unread", int(x.choice.Load.PendingPrefill)),
			slog.String("Source", string(x.choice.Source)),
			slog.Float64("MeanLoad", x.choice.Mean),
			slog.Int("Tried", len(x.tried)),
			slog.Bool("Started", x.started))
	}
	if x.cause != "" {
		attributes = append(attributes, slog.String("Cause", x.cause))
	}
	if x.request.Context().Err() != nil {
		attributes = append(attributes, slog.Bool("CallerLeft", true))
	}
	x.handler.Logger.LogAttrs(context.Background(), level, "Request finished.", attributes...)
}

// callerLeft takes in that an answer is not whole because its caller has left.
func (x *exchange) callerLeft() {
	if x.request.Context().Err() != nil && x.code != result.OK && x.code != result.UpstreamFailed {
		x.code = result.CallerLeft
	}
}

// logAttempt logs an attempt that did not answer the request.
func (x *exchange) logAttempt(code result.Code) {
	x.handler.Logger.Warn("Attempt failed.",
		"Attempt", x.head.Attempt,
		"Upstream", x.choice.Upstream.ID,
		"Reason", x.choice.Reason,
		"Load", x.choice.Load.Requests,
		"Code", code.Name(),
		"Cause", x.cause)
}

// causeOf keeps why an attempt failed, for the log.
func (x *exchange) causeOf(err error) {
	if err != nil {
		x.cause = errors.UnwrapAll(err).Error()
	}
}
