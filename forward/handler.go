package forward

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/overload"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/wait"
)

// Handler forwards requests to upstreams and relays their answers. Set its
// fields before use. It is safe for concurrent use.
type Handler struct {
	Routes     *routing.CurrentTable
	Registry   *registry.Registry
	Loads      *balance.Loads
	CacheIndex *balance.CacheIndex
	Health     *health.Tracker
	// Strikes limits requests that crash upstreams; nil means no limit.
	Strikes *strike.Guard
	// Quota keeps the limits that upstreams name; nil means that they have none.
	Quota *quota.Tracker
	// LoadDelay returns the time within which the requests of a router are known to all others;
	// with nil a default applies.
	LoadDelay func() time.Duration
	// Splits are the software versions that begin streams, and Origins where recent
	// ones began; nil means that none is known.
	Splits  *split.Tracker
	Origins *split.Origins
	// ReplicateOrigin sends the origin of a stream to other routers; certain says that any
	// of them can derive it from the split. FetchOrigin requests it from them, and waits.
	// RefreshSplits reads the splits again, and reports whether that succeeded. Each
	// may be nil, which does nothing.
	ReplicateOrigin func(origin split.Origin, certain bool)
	FetchOrigin     func(ctx context.Context, attempt ident.AttemptID)
	RefreshSplits   func(ctx context.Context) bool
	// OnAnnounced, if set, is called with the change when an upstream says that it
	// leaves.
	OnAnnounced func(change registry.Change)
	// AwaitCurrent, if set, waits before an upstream is chosen, and before a request is sent, until
	// what the router knows of upstreams and evacuated zones is not older than it should be.
	AwaitCurrent func(ctx context.Context)
	Connections  *Connections
	// Memory bounds what requests hold of their bodies and answers.
	Memory memory.Account
	Zone   ident.Zone
	// Routers returns the number of routers that share the connections to
	// upstreams, this one included: those that are known to run.
	Routers func() int
	// RegisteredRouters returns the number of routers that share the retry slack,
	// this one included: also those that are silent, since they may serve
	// callers behind a partition. With nil it is that of Routers.
	RegisteredRouters func() int
	Metrics           *metrics.Set
	Logger            *slog.Logger
	// LogLimiter limits the log lines of requests that the first upstream
	// served, or whose callers left. All other requests are logged.
	LogLimiter *rate.Limiter
	// LastStall, if set, returns for how long the process last stood still, and until when; the
	// time is zero if it did not.
	LastStall func() (length time.Duration, until time.Time)

	tuning atomic.Pointer[Tuning]

	// Warm is closed once the cache index knows which prompt prefixes the
	// upstreams have cached; nil counts as closed.
	Warm <-chan struct{}

	// stop holds the bounds of the planned stop once it has begun. Answers then close their
	// connections, so that callers reconnect to another router.
	stop atomic.Pointer[Stop]
	// ending ends when requests may wait no longer for their upstreams, by end.
	endingOnce sync.Once
	ending     context.Context
	end        context.CancelFunc

	// fullLog counts refusals because of full memory.
	fullLog logging.Throttle

	// bodyLogMu guards the number of log lines of refused bodies in the second that began at
	// bodyLogFrom.
	bodyLogMu    sync.Mutex
	bodyLogFrom  time.Time
	bodyLogLines int

	mu      sync.Mutex
	budgets map[ident.ServiceName]*retry.Budget
	// shortages holds the services whose requests are refused for lack of room.
	shortages map[ident.ServiceName]*shortage
	// streamLifetimes holds the longest time that a stream of each service may last.
	streamLifetimes map[ident.ServiceName]time.Duration
}

// Tuning holds the settings that operators may change while the router runs.
type Tuning struct {
	Chooser *balance.Chooser
	// RetryShare and RetrySlack limit the retries of all routers to a service:
	// to a fraction of its requests, plus a number per retry.Window.
	RetryShare float64
	RetrySlack float64
	// Costs learns from answers what requests cost; nil means that nothing is learned.
	Costs *cost.Model
	// Overload refuses requests for which a pool has no room; nil means that none is refused
	// for that.
	Overload *overload.Controller
}

// Tune applies tuning to all later requests. Call it at least once before the
// first request.
func (handler *Handler) Tune(tuning Tuning) { handler.tuning.Store(&tuning) }

// choose returns an upstream of pool for request, or false if none remains.
func (handler *Handler) choose(pool *registry.Pool, request balance.Request) (balance.Choice, bool) {
	return handler.tuning.Load().Chooser.Choose(time.Now(), pool, request)
}

// ServeHTTP forwards one request. If the answer is truncated, it panics with
// http.ErrAbortHandler to break the caller's connection.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &exchange{
		handler: handler,
		writer:  writer,
		request: request,
		arrived: time.Now(),
	}
	exchange.conn, _ = request.Context().Value(connContextKey).(*checkedConn)
	exchange.conn.endWait()
	exchange.conn.beginRequest()
	defer handler.reportPanic(exchange)
	defer exchange.finish()
	exchange.serve()
	exchange.returned = true
}

// reportPanic logs and counts a panic that does not break the caller's connection on
// purpose, and raises it again: net/http closes the connection without an answer.
func (handler *Handler) reportPanic(exchange *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		handler.Metrics.CountEvent("request.panicked")
		handler.Logger.Error("Request handler panicked.", "Attempt", exchange.head.Attempt, "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
	}
	panic(cause)
}

// countRequest counts a new request toward the retry budget of service.
func (handler *Handler) countRequest(now time.Time, service ident.ServiceName) {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.budget(service).CountRequest(now)
}

// spendRetry takes one retry from the budget of service and reports whether the
// budget allowed it. Each router may use an equal part of the slack, but at
// least one retry per window.
func (handler *Handler) spendRetry(now time.Time, service ident.ServiceName) bool {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	budget := handler.budget(service)
	tuning := handler.tuning.Load()
	budget.Share = tuning.RetryShare
	budget.Slack = max(tuning.RetrySlack/float64(handler.slackRouters()), 1)
	return budget.Spend(now)
}

// slackRouters returns the number of routers that share the retry slack.
func (handler *Handler) slackRouters() int {
	routers := handler.Routers()
	if handler.RegisteredRouters != nil {
		routers = max(routers, handler.RegisteredRouters())
	}
	return max(routers, 1)
}

// budget returns the retry budget of service and creates it on first use. The
// caller holds mu.
func (handler *Handler) budget(service ident.ServiceName) *retry.Budget {
	if handler.budgets == nil {
		handler.budgets = make(map[ident.ServiceName]*retry.Budget)
	}
	budget := handler.budgets[service]
	if budget == nil {
		budget = new(retry.Budget)
		handler.budgets[service] = budget
	}
	return budget
}

// recordOutcome records how a request to upstream ended. It reports an ejection
// that results from the outcome.
func (handler *Handler) recordOutcome(upstream registry.Upstream, outcome health.Outcome) {
	now := time.Now()
	ejected := handler.Health.Add(now, upstream.Service, upstream.ID, outcome)
	if ejected {
		handler.reportEjection(upstream, outcome.String(), "")
	}
	switch {
	case outcome == health.Unreachable:
		handler.Strikes.Ended(now, upstream.ID, 0)
	case ejected && outcome != health.ServerError:
		handler.Strikes.Ejected(now, upstream.ID)
	}
}

// ApplyRemote applies the outcomes of requests that the router at address sent
// to upstream.
func (handler *Handler) ApplyRemote(upstream registry.Upstream, tally health.Tally, address string) {
	if handler.Health.ApplyRemote(time.Now(), upstream.Service, tally) {
		handler.reportEjection(upstream, "reported by another router", address)
	}
}

// reportEjection counts and logs the ejection of upstream. source is the
// address of the router whose report caused it, or empty.
func (handler *Handler) reportEjection(upstream registry.Upstream, outcome, source string) {
	handler.Metrics.CountEvent("upstream.ejected")
	handler.Logger.Warn("Upstream set aside.", "Upstream", upstream.ID, "Service", upstream.Service, "Outcome", outcome, "Source", source)
}

// writeCode writes an answer of the router itself: the status of code, and its
// title as plain text.
func (handler *Handler) writeCode(writer http.ResponseWriter, code result.Code, retryAfter time.Duration) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	entry, _ := result.Lookup(code)
	body := fmt.Sprintf("%s %s\n", code, entry.Title)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(refusalStatus(code))
	// An error means that the caller has disconnected.
	_, _ = writer.Write([]byte(body))
}

// maxWarmWait limits how long a request waits for the cache index of a router
// that has just started: prefilling its prompt again on another upstream takes
// longer.
const maxWarmWait = 250 * time.Millisecond

// awaitWarm waits until the cache index is filled, ctx ends or maxWarmWait has
// passed.
func (handler *Handler) awaitWarm(ctx context.Context) {
	if handler.Warm == nil {
		return
	}
	select {
	case <-handler.Warm:
		return
	default:
	}
	timer := time.NewTimer(maxWarmWait)
	defer timer.Stop()
	select {
	case <-handler.Warm:
	case <-ctx.Done():
	case <-timer.C:
	}
}

const (
	// meanRetryAfter is the mean Retry-After of a refusal: a batch of short
	// requests has ended by then.
	meanRetryAfter = 500 * time.Millisecond
	// maxRetryAfterShare limits Retry-After to a fraction of the time that the
	// caller still waits.
	maxRetryAfterShare = 0.3
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 10 * time.Millisecond
)

// maxSpread limits by how much later than they may callers return that were refused
// until the same time.
const maxSpread = 500 * time.Millisecond

// spreadAfter returns a random time from remaining on, before which it would be of no
// use to return.
func spreadAfter(remaining time.Duration) time.Duration {
	return max(remaining, minRetryAfter) + rand.N(maxSpread)
}

// jitteredRetryAfter returns the Retry-After of a refused caller that waits for
// the remaining time. It is jittered, so that callers refused together do not
// retry together.
func jitteredRetryAfter(remaining time.Duration) time.Duration {
	return max(min(wait.Jitter(meanRetryAfter), time.Duration(maxRetryAfterShare*float64(remaining))), minRetryAfter)
}
