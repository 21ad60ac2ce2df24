package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/wait"
)

// Handler forwards requests. Its fields are set before use.
type Handler struct {
	Routes      *routing.CurrentTable
	Registry    *registry.Registry
	Loads       *balance.Loads
	CacheIndex  *balance.CacheIndex
	Health      *health.Tracker
	Connections *Connections
	Zone        ident.Zone
	// Routers returns how many routers share the slack.
	Routers func() int
	Metrics *metrics.Set
	Logger  *slog.Logger
	// LogLimiter bounds the log lines of requests that were served at their first
	// offer. All others are logged.
	LogLimiter *rate.Limiter

	tuning atomic.Pointer[Tuning]

	// Warm is closed once the router has learned which upstreams have which
	// prompts cached; nil counts as closed.
	Warm <-chan struct{}

	// leaving says that the process stops, so that callers are asked to
	// reconnect elsewhere.
	leaving atomic.Bool

	mu      sync.Mutex
	budgets map[ident.ServiceName]*retry.Budget
}

// Tuning is what operators may change while the router runs.
type Tuning struct {
	Chooser *balance.Chooser
	// RetryShare and RetrySlack bound the repeated requests of the whole fleet
	// to a service: a share of its requests, and a number in a window.
	RetryShare float64
	RetrySlack float64
}

// Tune puts tuning in force for requests from now on. It is called once before
// the first request.
func (handler *Handler) Tune(tuning Tuning) { handler.tuning.Store(&tuning) }

// choose returns an upstream of pool for request, and false if none is left.
func (handler *Handler) choose(pool *registry.Pool, request balance.Request) (balance.Choice, bool) {
	return handler.tuning.Load().Chooser.Choose(time.Now(), pool, request)
}

// Leave makes every answer from now on close its connection.
func (handler *Handler) Leave() { handler.leaving.Store(true) }

// ServeHTTP forwards one request.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &exchange{
		handler: handler,
		writer:  writer,
		request: request,
		arrived: time.Now(),
	}
	defer exchange.finish()
	exchange.serve()
}

// countRequest counts a request for the retry budget of service.
func (handler *Handler) countRequest(now time.Time, service ident.ServiceName) {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.budget(service).Request(now)
}

// spendRetry takes a repeated request from the budget of service.
func (handler *Handler) spendRetry(now time.Time, service ident.ServiceName) bool {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	budget := handler.budget(service)
	tuning := handler.tuning.Load()
	budget.Share = tuning.RetryShare
	budget.Slack = max(tuning.RetrySlack/float64(max(handler.Routers(), 1)), 1)
	return budget.Spend(now)
}

// budget returns the budget of service. The caller holds mu.
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

// judge takes in how a request to an upstream ended.
func (handler *Handler) judge(upstream registry.Upstream, outcome health.Outcome) {
	if handler.Health.Add(time.Now(), upstream.Service, upstream.ID, outcome) {
		handler.setAside(upstream, outcome.String(), "")
	}
}

// ApplyRemote takes in what came of the requests that the router at address
// sent to an upstream.
func (handler *Handler) ApplyRemote(upstream registry.Upstream, tally health.Tally, address string) {
	if handler.Health.ApplyRemote(time.Now(), upstream.Service, tally) {
		handler.setAside(upstream, "told by another router", address)
	}
}

func (handler *Handler) setAside(upstream registry.Upstream, outcome, source string) {
	handler.Metrics.CountEvent("upstream.ejected")
	handler.Logger.Warn("Upstream set aside.", "Upstream", upstream.ID, "Service", upstream.Service, "Outcome", outcome, "Source", source)
}

// answerCode writes an answer of the router's own.
func (handler *Handler) answerCode(writer http.ResponseWriter, code result.Code, retryAfter time.Duration) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	entry, _ := result.Lookup(code)
	body := fmt.Sprintf("%s %s\n", code, entry.Title)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(code.Status())
	// The caller may have left; then nobody is owed the rest.
	_, _ = writer.Write([]byte(body))
}

// warmWait bounds the wait of a request for a router that has just started: a
// prompt that goes astray takes longer to be read again.
const warmWait = 250 * time.Millisecond

// awaitWarm waits until the router knows where prompts are cached, for a short
// while after its start.
func (handler *Handler) awaitWarm(ctx context.Context) {
	if handler.Warm == nil {
		return
	}
	select {
	case <-handler.Warm:
		return
	default:
	}
	timer := time.NewTimer(warmWait)
	defer timer.Stop()
	select {
	case <-handler.Warm:
	case <-ctx.Done():
	case <-timer.C:
	}
}

const (
	// returnAfter is the mean time after which a refused caller is asked to
	// come back: a batch of short requests has ended by then.
	returnAfter = 500 * time.Millisecond
	// returnShare bounds that time to a part of what the caller still waits.
	returnShare = 0.3
	// minReturn is the least time that a refused caller is asked to wait.
	minReturn = 10 * time.Millisecond
)

// comeBack returns when a refused caller that waits for left should come back.
// It is spread, so that callers refused together don't return together.
func comeBack(left time.Duration) time.Duration {
	return max(min(wait.Jitter(returnAfter), time.Duration(returnShare*float64(left))), minReturn)
}
