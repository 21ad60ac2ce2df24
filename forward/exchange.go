package forward

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// defaultTimeout limits requests of a route without a timeout of its own.
	defaultTimeout = 60 * time.Second
	// notReadyRetryAfter is the Retry-After of a router without a
	// configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxTableWait limits how long a request waits for the first configuration
	// of a router that has just started: one of 1,200 routes takes 0.4 s over a
	// link of 10 Mbit/s. maxTableWaitShare limits it to a fraction of the time
	// that the caller waits.
	maxTableWait      = 700 * time.Millisecond
	maxTableWaitShare = 0.4
	// maxCrashingRetryAfter limits the Retry-After of a request that crashes
	// upstreams: its strikes may be withdrawn before they lapse.
	maxCrashingRetryAfter = time.Minute
)

// exchange is one request of a caller and all attempts to serve it.
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
	// knownFingerprint is what fingerprint returned, once fingerprinted is set.
	knownFingerprint ident.Fingerprint
	fingerprinted    bool
	// knownPartKeys is what partKeys returned.
	knownPartKeys []ident.Fingerprint
	// retrial is set if the request is refused for the crashes of upstreams but
	// runs once more.
	retrial bool
	// prefixIDs identify the prompt parts that other requests share, the
	// deepest first. They are set on sticky routes only.
	prefixIDs []ident.ChatID
	// deadline is the earlier of callerDeadline and the route's timeout.
	// callerDeadline is when the caller stops waiting, or the route's timeout
	// if the caller does not state it.
	deadline       time.Time
	callerDeadline time.Time

	// tried are the upstreams that the request was offered to, and runs counts
	// the attempts that may have run it.
	tried []ident.UpstreamID
	runs  int
	// sentAt is when the last attempt was sent, and connectedAt when the connection
	// that carried it was established.
	sentAt      time.Time
	connectedAt time.Time
	// retryReserved is set if the next retry was already taken from the budget.
	retryReserved bool
	choice        balance.Choice
	// binding restricts the request to one software version, and certainAt is when
	// the version that began the stream of a refused take-up will be known, or zero.
	binding   binding
	certainAt time.Time
	// began is the answer that brought the first event of a stream.
	began *answer
	// started is set once the header of an answer was written to the caller.
	started bool
	// firstByte is when the answer to the caller began.
	firstByte time.Time
	status    int
	code      result.Code
	cause     string
	// refusal says why the request is refused, if it crashes upstreams, and limitedAt
	// when an upstream takes it, if all are at their limits.
	refusal   strike.Refusal
	limitedAt time.Time
	// broke is set if the last cause is a connection to an upstream that broke,
	// and unanswered if it is an upstream that gave no answer in time.
	broke      bool
	unanswered bool
	// callerFailed is set once a write to the caller has failed.
	callerFailed bool
	// aborted is set if the answer to the caller is truncated, so that its
	// connection must be broken.
	aborted bool
}

// serve reads the request, forwards it and writes the answer.
func (exchange *exchange) serve() {
	if exchange.handler.leaving.Load() {
		exchange.writer.Header().Set("Connection", "close")
	}
	if code := exchange.prepare(); code != result.OK {
		exchange.refuse(code)
		return
	}
	exchange.handler.countRequest(exchange.arrived, exchange.service)
	if !exchange.admit() {
		exchange.refuse(result.CrashingRequest)
		return
	}
	if code := exchange.bindVersion(); code != result.OK {
		exchange.refuse(code)
		return
	}
	if exchange.route.Sticky {
		exchange.handler.awaitWarm(exchange.request.Context())
	}
	exchange.tryUpstreams()
}

// prepare validates the request, selects its route and reads its body. It
// returns OK or the code with which the request is refused.
func (exchange *exchange) prepare() result.Code {
	if !Unambiguous(exchange.request.Context()) {
		exchange.writer.Header().Set("Connection", "close")
		return result.AmbiguousFraming
	}
	head, err := platform.DecodeRequest(exchange.request.Header)
	exchange.head = head
	exchange.table = exchange.handler.Routes.Table()
	if exchange.table == nil {
		exchange.table = exchange.awaitTable()
	}
	if exchange.table == nil {
		return result.NotReady
	}
	if err != nil {
		exchange.setCauseText(err.Error())
		return result.InvalidHeader
	}
	path, _, _ := strings.Cut(exchange.target(), "?")
	exchange.route = exchange.table.Route(exchange.request.Host, path)
	if exchange.route == nil {
		return result.UnknownRoute
	}
	if limit := exchange.table.Limits.HeaderBytes; limit > 0 && headBytes(exchange.request) > limit {
		return result.HeadTooLarge
	}
	if code := exchange.authenticate(); code != result.OK {
		return code
	}
	if exchange.route.Sticky {
		exchange.prefixIDs = sharedPrefixIDs(exchange.head.Prompt)
	}
	exchange.setDeadline()
	exchange.service = exchange.route.Service(xxhash.Sum64String(string(exchange.head.Attempt)))
	return exchange.readBody()
}

// tableWait returns how long the request waits for what a router that has just started
// reads: maxTableWait, or maxTableWaitShare of the time that the caller waits, whichever
// is shorter.
func (exchange *exchange) tableWait() time.Duration {
	if exchange.head.Wait <= 0 {
		return maxTableWait
	}
	return min(maxTableWait, time.Duration(maxTableWaitShare*float64(exchange.head.Wait.Duration())))
}

// awaitTable waits for the first configuration. It returns nil if there is none after
// tableWait.
func (exchange *exchange) awaitTable() *routing.Table {
	timer := time.NewTimer(exchange.tableWait())
	defer timer.Stop()
	select {
	case <-exchange.handler.Routes.Loaded():
	case <-exchange.request.Context().Done():
	case <-timer.C:
	}
	return exchange.handler.Routes.Table()
}

// target returns the path and query as the caller sent them.
func (exchange *exchange) target() string {
	if strings.HasPrefix(exchange.request.RequestURI, "/") {
		return exchange.request.RequestURI
	}
	return exchange.request.URL.RequestURI()
}

// headBytes returns the size in bytes of the request line and the headers.
func headBytes(request *http.Request) int {
	count := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			count += len(name) + len(value) + len(": \r\n")
		}
	}
	return count
}

func (exchange *exchange) authenticate() result.Code {
	if !exchange.table.NeedsKeys() {
		return result.OK
	}
	exchange.workspace = exchange.table.Workspace(exchange.head.APIKey)
	if exchange.workspace == nil && !exchange.route.Public {
		return result.UnknownKey
	}
	return result.OK
}

func (exchange *exchange) setDeadline() {
	timeout := exchange.route.Timeout.Duration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	exchange.deadline = exchange.arrived.Add(timeout)
	exchange.callerDeadline = exchange.deadline
	if exchange.head.Wait > 0 {
		exchange.callerDeadline = exchange.arrived.Add(exchange.head.Wait.Duration())
	}
	if exchange.callerDeadline.Before(exchange.deadline) {
		exchange.deadline = exchange.callerDeadline
	}
}

func (exchange *exchange) readBody() result.Code {
	controller := http.NewResponseController(exchange.writer)
	if err := controller.SetReadDeadline(exchange.deadline); err != nil {
		exchange.handler.Logger.Debug("Could not set the read deadline.", "Error", err)
	}
	limit := int64(exchange.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if exchange.request.ContentLength > limit {
		return result.BodyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(exchange.request.Body, limit+1))
	if err != nil {
		exchange.setCauseText(err.Error())
		return result.MalformedBody
	}
	if int64(len(body)) > limit {
		return result.BodyTooLarge
	}
	exchange.body = body
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		exchange.handler.Logger.Debug("Could not clear the read deadline.", "Error", err)
	}
	return result.OK
}

// defaultMaxBodyBytes limits a request body if the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// tryUpstreams sends the request to one upstream after another until it is
// answered or may not be sent again.
func (exchange *exchange) tryUpstreams() {
	for {
		pool := exchange.pool()
		if !exchange.chooseNext(pool) {
			exchange.abandon(exchange.noChoiceCode(pool))
			return
		}
		answer, code := exchange.attempt(exchange.choice.Upstream, "")
		if code == result.OK {
			code = exchange.relay(answer)
		}
		if exchange.started || code == result.OK || exchange.callerLeft() {
			exchange.code = code
			exchange.markCallerLeft()
			return
		}
		exchange.logAttempt(code)
		if !exchange.shouldRetry(code, pool) {
			exchange.abandon(code)
			return
		}
		exchange.handler.Metrics.CountRetry(code)
	}
}

// maxChoices limits how often an upstream is chosen for one attempt that another
// request of this router uses up in the meantime.
const maxChoices = 8

// chooseNext chooses the upstream of the next attempt and reports whether there
// is one. A request that crashes upstreams gets none.
func (exchange *exchange) chooseNext(pool *registry.Pool) bool {
	for range maxChoices {
		choice, found := exchange.chooseBy(exchange.allowance(), pool)
		if !found {
			return false
		}
		// Another request may have taken the last one that the upstream's limit
		// leaves.
		if exchange.handler.Quota.Take(time.Now(), choice.Upstream) {
			exchange.choice = choice
			exchange.tried = append(exchange.tried, choice.Upstream.ID)
			return true
		}
	}
	return false
}

func (exchange *exchange) chooseBy(allowance strike.Allowance, pool *registry.Pool) (balance.Choice, bool) {
	switch allowance {
	case strike.Free:
		return exchange.handler.choose(pool, exchange.choiceRequest())
	case strike.Alone:
		return exchange.designate(pool)
	}
	return balance.Choice{}, false
}

// noChoiceCode returns the code of a request for which there is no upstream.
func (exchange *exchange) noChoiceCode(pool *registry.Pool) result.Code {
	if until, rests := exchange.limitedUntil(pool); !until.IsZero() {
		exchange.limitedAt = until
		if rests {
			return result.UpstreamsResting
		}
		return result.UpstreamsAtLimit
	}
	if exchange.takesUp() && pool == nil {
		return result.VersionGone
	}
	return result.NoUpstream
}

func (exchange *exchange) choiceRequest() balance.Request {
	return balance.Request{
		Keys:      exchange.prefixIDs,
		Tried:     exchange.tried,
		Zone:      exchange.handler.Zone,
		Target:    exchange.route.Target,
		Retryable: exchange.route.Retryable(),
	}
}

// sharedPrefixIDs returns the IDs of the prompt parts that other requests
// share, the deepest first. It leaves out the last part, which is the request's
// own, unless that is the only one.
func sharedPrefixIDs(parts []platform.PromptPart) []ident.ChatID {
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

// arrived reports whether an attempt that ended with code reached an upstream. The
// users' platform counts each arrival beyond a request's first as a retry, also
// one that the upstream refused: retry.Unbudgeted holds for the project's own
// interface only.
func arrived(code result.Code) bool {
	return code != result.UpstreamUnreachable && code != result.DeadlineUnmeetable
}

// shouldRetry reports whether the request is sent again after an attempt that
// ended with code. It counts attempts that may have run, and takes the retry
// from the budget unless nothing arrived or shouldSwitch has taken it.
func (exchange *exchange) shouldRetry(code result.Code, pool *registry.Pool) bool {
	if code.Outcome() != result.NotRun {
		exchange.runs++
	}
	if exchange.allowance() == strike.Refused {
		return false
	}
	candidates := 0
	if pool != nil {
		candidates = len(pool.Upstreams)
	}
	now := time.Now()
	action := retry.Next(now, retry.Attempt{
		Code:       code,
		Idempotent: exchange.route.Retryable(),
		Deadline:   exchange.deadline,
		Tried:      len(exchange.tried),
		Candidates: candidates,
		Runs:       exchange.runs,
		MaxRuns:    exchange.route.MaxAttempts,
	})
	switch {
	case action == retry.Stop:
		return false
	case !arrived(code):
		return true
	}
	if exchange.retryReserved {
		exchange.retryReserved = false
		return true
	}
	if !exchange.handler.spendRetry(now, exchange.service) {
		exchange.handler.Metrics.CountEvent("retry.budget.spent")
		return false
	}
	return true
}

// abandon refuses a request that no upstream served. If an earlier attempt may
// have run, the code does not claim that the request did not run.
func (exchange *exchange) abandon(code result.Code) {
	if exchange.runs > 0 && code.Outcome() == result.NotRun {
		code = result.OutcomeUnknown
	}
	exchange.refuse(code)
}

// refuse answers the caller with code instead of an upstream's answer.
func (exchange *exchange) refuse(code result.Code) {
	exchange.code = code
	exchange.status = refusalStatus(code)
	exchange.started = true
	exchange.handler.Metrics.CountRefusal(code)
	retryAfter := time.Duration(0)
	switch {
	case code == result.NotReady:
		retryAfter = notReadyRetryAfter
	case code == result.CrashingRequest:
		exchange.refusal = exchange.handler.Strikes.Refusal(time.Now(), exchange.fingerprint(), exchange.partKeys()...)
		retryAfter = min(time.Until(exchange.refusal.Until), maxCrashingRetryAfter)
	case code == result.VersionGone:
		// The version is not known to come back.
	case code == result.OriginUnknown:
		retryAfter = max(time.Until(exchange.certainAt), 0)
	case code == result.UpstreamsResting:
		retryAfter = spreadAfter(time.Until(exchange.limitedAt))
	case code == result.UpstreamsAtLimit:
		retryAfter = max(wait.Jitter(time.Until(exchange.limitedAt)), minRetryAfter)
	case code.Status() == http.StatusServiceUnavailable:
		retryAfter = jitteredRetryAfter(time.Until(exchange.callerDeadline))
	}
	exchange.handler.writeCode(exchange.writer, code, retryAfter)
}
