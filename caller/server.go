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
	// comeBack is the time after which a refused request may be sent again
	// where no upstream named one.
	comeBack = time.Second
	// retryShare is the most further tries for each request that an upstream
	// may have run.
	retryShare = 0.2
)

// Server serves callers. Set its exported fields before the first use.
type Server struct {
	// View returns the settings in force, or nil before there are any.
	View      func() *settings.View
	Directory *directory.Directory
	Sidecars  *sidecar.Client
	// Key signs the affinity header; all routers share it.
	Key     []byte
	Metrics *metrics.Set
	// Ready says whether new requests may be sent here; nil means always.
	Ready func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	sent     sentKeys
	budgetMu sync.Mutex
	budget   retry.Budget
	active   atomic.Int64
}

func (server *Server) now() time.Time {
	if server.Now == nil {
		return time.Now()
	}
	return server.Now()
}

func (server *Server) tokens() tokens { return tokens{key: server.Key} }

// Active returns the number of requests that are being answered.
func (server *Server) Active() int64 { return server.active.Load() }

// Handler returns the HTTP interface of the callers.
func (server *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/teams/{team}/routes/{route}/requests", server.post)
	app.Get("/v1/answers", server.resume)
	app.Delete("/v1/answers", server.cancel)
	app.Get("/health", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/ready", server.ready)
	err := app.Build()
	return app, errors.Wrap(err, "callers' interface")
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
		// The balancer's connections move on before the listener is closed.
		writer.Header().Set("Connection", "close")
	}
	request := ctx.Request()
	team := ident.TeamID(ctx.Params().Get("team"))
	route := ident.RouteName(ctx.Params().Get("route"))
	accepted, err := server.read(writer, request, team, route)
	if err != nil {
		server.refuse(writer, result.From(err, result.MalformedBody))
		return
	}
	server.count(accepted)
	relay := &relay{server: server, incoming: accepted}
	relay.recall()
	defer relay.close()
	server.give(request.Context(), writer, relay)
	if request.Context().Err() != nil {
		relay.abandoned()
	}
}

func (server *Server) count(accepted *incoming) {
	server.budgetMu.Lock()
	defer server.budgetMu.Unlock()
	server.budget.Share = retryShare
	server.budget.Request(server.now())
}

// spend takes one further try from the retry budget.
func (server *Server) spend() bool {
	server.budgetMu.Lock()
	defer server.budgetMu.Unlock()
	return server.budget.Spend(server.now())
}

// refuse answers with a problem and counts it.
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

// give writes the answer of relay in the form that the caller accepts.
func (server *Server) give(ctx context.Context, writer http.ResponseWriter, relay *relay) {
	ctx, cancel := context.WithDeadline(ctx, relay.incoming.deadline)
	defer cancel()
	if relay.incoming.events {
		server.giveEvents(ctx, writer, relay)
		return
	}
	server.giveJSON(ctx, writer, relay)
}
