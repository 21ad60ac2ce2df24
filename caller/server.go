package caller

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const (
	// defaultRetryAfter is the retry-after time of an error for which no
	// upstream set one.
	defaultRetryAfter = time.Second
	// retryShare is the maximum ratio of retries to requests; refused offers
	// don't count as retries.
	retryShare = 0.2
)

// Server serves the HTTP interface for callers. Set its exported fields before the
// first use.
type Server struct {
	// View returns the settings in force, or nil if none were loaded yet.
	View      func() *settings.View
	Directory *directory.Directory
	Sidecars  *sidecar.Client
	// Key signs the affinity header; all routers share it.
	Key     []byte
	Metrics *metrics.Set
	// Ready reports whether the server accepts new requests, for the readiness
	// endpoint; nil means always.
	Ready func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	sent        sentKeys
	budgetMu    sync.Mutex
	retryBudget retry.Budget
	active      atomic.Int64
}

func (server *Server) now() time.Time {
	if server.Now == nil {
		return time.Now()
	}
	return server.Now()
}

func (server *Server) tokens() tokens { return tokens{key: server.Key} }

// Active returns the number of requests in progress, resumed answers included.
func (server *Server) Active() int64 { return server.active.Load() }

// Handler returns the handler of the HTTP interface for callers.
func (server *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/teams/{team}/routes/{route}/requests", server.post)
	app.Get("/v1/answers", server.resume)
	app.Delete("/v1/answers", server.cancel)
	app.Get("/health", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/ready", server.ready)
	err := app.Build()
	return app, errors.Wrap(err, "build the handler for callers")
}

func (server *Server) ready(ctx iris.Context) {
	if server.Ready != nil && !server.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.StatusCode(http.StatusOK)
}

// post handles a new request.
func (server *Server) post(ctx iris.Context) {
	server.active.Add(1)
	defer server.active.Add(-1)
	writer := ctx.ResponseWriter().Naive()
	if server.Ready != nil && !server.Ready() {
		// Makes the load balancer move its connections to other routers
		// before the listener is closed.
		writer.Header().Set("Connection", "close")
	}
	request := ctx.Request()
	team := ident.TeamID(ctx.Params().Get("team"))
	route := ident.RouteName(ctx.Params().Get("route"))
	accepted, err := server.readRequest(writer, request, team, route)
	if err != nil {
		server.refuse(writer, result.From(err, result.MalformedBody))
		return
	}
	server.countRequest(accepted)
	relay := &relay{server: server, incoming: accepted}
	relay.checkRepeat()
	defer relay.close()
	server.writeAnswer(request.Context(), writer, relay)
	if request.Context().Err() != nil {
		relay.cancelAbandoned()
	}
}

// countRequest adds a request to the base of the retry budget.
func (server *Server) countRequest(accepted *incoming) {
	server.budgetMu.Lock()
	defer server.budgetMu.Unlock()
	server.retryBudget.Share = retryShare
	server.retryBudget.CountRequest(server.now())
}

// spendRetry takes one retry from the retry budget and reports whether the budget
// allows it.
func (server *Server) spendRetry() bool {
	server.budgetMu.Lock()
	defer server.budgetMu.Unlock()
	return server.retryBudget.Spend(server.now())
}

// refuse responds with a problem and counts it.
func (server *Server) refuse(writer http.ResponseWriter, refusal *result.Error) {
	server.Metrics.CountRefusal(refusal.Code)
	server.Metrics.CountAnswer(refusal.Code.Outcome())
	problem := refusal.Problem(server.now())
	header := writer.Header()
	header.Set(HeaderResult, problem.Code)
	if problem.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(problem.RetryAfterMs) / 1000)
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
		header.Set(HeaderRetryAfterMs, strconv.FormatInt(problem.RetryAfterMs, 10))
	}
	writeJSON(writer, refusal.Code.Status(), problem)
}

// writeAnswer writes the answer of relay as server-sent events if the caller
// accepts them, else as one response body.
func (server *Server) writeAnswer(ctx context.Context, writer http.ResponseWriter, relay *relay) {
	ctx, cancel := context.WithDeadline(ctx, relay.incoming.deadline)
	defer cancel()
	if relay.incoming.events {
		server.streamEvents(ctx, writer, relay)
		return
	}
	server.writeJSONAnswer(ctx, writer, relay)
}
