package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/caller"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// Defaults for the zero fields of a Runner.
const (
	DefaultWorkers        = 256
	DefaultTimeLimit      = time.Minute
	DefaultRequestTimeout = 2 * time.Minute
)

// defaultRetryDelay is the delay before a retry if the reply named no
// retry-after time.
const defaultRetryDelay = 500 * time.Millisecond

// Runner sends the requests of a workload to routers. Routers, Team and the
// routes that the workload uses are required; other zero fields take their
// defaults.
type Runner struct {
	Workload Workload
	// Routers are the addresses, IP:port, that receive requests in round-robin
	// order.
	Routers []string
	Team    ident.TeamID
	// ModelRoute accepts prompts; ConfirmRoute and StatusRoute lead to the
	// plain service.
	ModelRoute   ident.RouteName
	ConfirmRoute ident.RouteName
	StatusRoute  ident.RouteName
	// Services are the addresses of the stand-in services, which report how
	// often each key ran. If empty, the number of runs is not checked.
	Services []string
	// Workers is the maximum number of requests in flight. While all workers
	// are busy, further requests wait, and the wait is part of their latency.
	Workers int
	// Retries is the maximum number of retries of a request whose answer was
	// truncated, that reached no router, or that was refused with a
	// retry-after time.
	Retries int
	// TimeLimit is the time after which no further requests are sent. Requests
	// in flight still finish.
	TimeLimit time.Duration
	// RequestTimeout is the timeout of a single try.
	RequestTimeout time.Duration
	// Expect returns the correct answer to a prompt. The default is
	// standin.Answer.
	Expect func(prompt upstream.Prompt) string

	recorder   *recorder
	ledger     ledger
	client     *client
	mu         sync.Mutex
	affinities map[ident.ChatID]string
}

// Run sends the requests of the workload until the last one, the time limit or
// the end of ctx, and returns the measurements. It must be called only once.
func (runner *Runner) Run(ctx context.Context) (*Report, error) {
	if len(runner.Routers) == 0 {
		return nil, errors.New("load: no routers")
	}
	runner.prepare()
	start := time.Now()
	plan, err := runner.Workload.Plan(start)
	if err != nil {
		return nil, err
	}
	arrivals := make(chan Arrival)
	var workers sync.WaitGroup
	for range orDefault(runner.Workers, DefaultWorkers) {
		workers.Add(1)
		worker := &worker{runner: runner, arrivals: arrivals, done: &workers}
		go worker.run(ctx)
	}
	runner.dispatch(ctx, plan, arrivals, start.Add(orDefault(runner.TimeLimit, DefaultTimeLimit)))
	close(arrivals)
	workers.Wait()
	return runner.finish(ctx, time.Since(start))
}

func (runner *Runner) prepare() {
	runner.Workload = runner.Workload.withDefaults()
	runner.recorder = newRecorder()
	runner.affinities = make(map[ident.ChatID]string)
	http := &oncehttp.Client{MaxIdle: len(runner.Routers) * orDefault(runner.Workers, DefaultWorkers)}
	runner.client = &client{routers: runner.Routers, http: http, now: time.Now}
	if runner.Expect == nil {
		runner.Expect = standin.Answer
	}
}

// dispatch hands each request to a worker at its planned arrival time.
func (runner *Runner) dispatch(ctx context.Context, plan *Plan, arrivals chan<- Arrival, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		arrival, more := plan.Next()
		if !more || sleepUntil(ctx, arrival.At) != nil {
			return
		}
		select {
		case arrivals <- arrival:
		case <-ctx.Done():
			return
		}
	}
}

func sleepUntil(ctx context.Context, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (runner *Runner) finish(ctx context.Context, elapsed time.Duration) (*Report, error) {
	runner.client.http.CloseIdle()
	report := runner.recorder.summary(elapsed)
	var runs map[string]int
	var err error
	if len(runner.Services) > 0 {
		runs, err = readRuns(ctx, runner.Services)
	}
	report.Confirmations = runner.ledger.report(runs)
	return report, err
}

func (runner *Runner) affinity(chat ident.ChatID) string {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.affinities[chat]
}

func (runner *Runner) setAffinity(chat ident.ChatID, affinity string) {
	if affinity == "" {
		return
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.affinities[chat] = affinity
}

// worker sends requests from a channel, one at a time.
type worker struct {
	runner   *Runner
	arrivals <-chan Arrival
	done     *sync.WaitGroup
}

func (worker *worker) run(ctx context.Context) {
	defer worker.done.Done()
	for arrival := range worker.arrivals {
		worker.request(ctx, arrival)
	}
}

// request sends one request, retries it where that is allowed, and records its
// result.
func (worker *worker) request(ctx context.Context, arrival Arrival) {
	runner := worker.runner
	var last reply
	for tries := 0; ; tries++ {
		last = worker.try(ctx, arrival)
		runner.recorder.countTry(last)
		if arrival.Kind == Confirm {
			runner.ledger.add(arrival, last)
		}
		if tries == runner.Retries || !retryable(last) {
			break
		}
		retryAt := last.retryAt
		if retryAt.IsZero() {
			retryAt = time.Now().Add(defaultRetryDelay)
		}
		if sleepUntil(ctx, retryAt) != nil {
			break
		}
	}
	runner.recorder.finish(time.Now(), arrival, last, worker.correct(arrival, &last))
}

// retryable reports whether a caller would retry the request. A request with a
// truncated answer may be retried, since a confirmation keeps its key.
func retryable(last reply) bool {
	switch last.ending {
	case endedUnsent, endedTruncated:
		return true
	case endedProblem:
		return !last.retryAt.IsZero()
	case endedComplete, endedWrong:
	}
	return false
}

func (worker *worker) try(ctx context.Context, arrival Arrival) reply {
	runner := worker.runner
	ctx, cancel := context.WithTimeout(ctx, orDefault(runner.RequestTimeout, DefaultRequestTimeout))
	defer cancel()
	call := worker.call(arrival)
	call.event = func(now, before time.Time, first bool) {
		if first {
			runner.recorder.observeFirstEvent(now, arrival.At)
			return
		}
		runner.recorder.observeGap(now, before)
	}
	got := runner.client.post(ctx, call)
	if arrival.Kind == Generate && got.ending == endedComplete {
		runner.setAffinity(arrival.Chat, got.affinity)
	}
	return got
}

// correct reports whether a complete reply is the correct answer to arrival. It
// also decodes into last an answer that is a single JSON value.
func (worker *worker) correct(arrival Arrival, last *reply) bool {
	if last.ending != endedComplete {
		return false
	}
	if arrival.Kind != Generate {
		// An error status that the service itself returned counts as its answer.
		return last.status >= http.StatusMultipleChoices || json.Valid([]byte(last.text))
	}
	if arrival.JSON {
		var text caller.Text
		if err := json.Unmarshal([]byte(last.text), &text); err != nil {
			return false
		}
		last.text, last.cached, last.prompt = text.Text, text.Cached, text.Prompt
	}
	return last.text == worker.runner.Expect(worker.runner.Workload.Prompt(arrival.Chat, arrival.Turn))
}

// call returns the HTTP request for arrival.
func (worker *worker) call(arrival Arrival) call {
	runner := worker.runner
	header := make(http.Header)
	header.Set("Content-Type", typeJSON)
	header.Set("Accept", typeJSON)
	header.Set(caller.HeaderWorkspace, string(arrival.Workspace))
	if arrival.Kind != Generate {
		return worker.serviceCall(arrival, header)
	}
	header.Set(caller.HeaderChat, string(arrival.Chat))
	if affinity := runner.affinity(arrival.Chat); affinity != "" {
		header.Set(caller.HeaderAffinity, affinity)
	}
	if !arrival.JSON {
		header.Set("Accept", typeEvents)
	}
	// The encoding of a Prompt cannot fail.
	body, _ := json.Marshal(runner.Workload.Prompt(arrival.Chat, arrival.Turn))
	return call{path: runner.path(runner.ModelRoute), header: header, body: body}
}

func (worker *worker) serviceCall(arrival Arrival, header http.Header) call {
	runner := worker.runner
	route := runner.StatusRoute
	if arrival.Kind == Confirm {
		route = runner.ConfirmRoute
	}
	header.Set(caller.HeaderKey, string(arrival.Key))
	body, _ := json.Marshal(struct{ Order string }{Order: string(arrival.Key)})
	return call{path: runner.path(route), header: header, body: body}
}

func (runner *Runner) path(route ident.RouteName) string {
	return "/v1/teams/" + string(runner.Team) + "/routes/" + string(route) + "/requests"
}
