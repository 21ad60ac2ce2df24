package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/load"
)

const (
	defaultEngines  = 4
	defaultRouters  = 2
	defaultRequests = 1500
	requestRate     = 180
	chats           = 150
	promptTokens    = 600
	answerTokens    = 40

	readyTimeout   = 30 * time.Second
	readyInterval  = 20 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
)

// Options configure the demo. A number that is zero means its default. Out and
// Logger must be set.
type Options struct {
	Engines  int
	Routers  int
	Requests int
	// Keep keeps the fleet up until the context ends.
	Keep bool
	// Out receives the progress lines and the summary.
	Out    io.Writer
	Logger *slog.Logger
}

// Run runs the demo. It returns an error if a component does not start or if an
// answer breaks a guarantee.
func Run(ctx context.Context, options Options) (err error) {
	options.Engines = orDefault(options.Engines, defaultEngines)
	options.Routers = orDefault(options.Routers, defaultRouters)
	options.Requests = orDefault(options.Requests, defaultRequests)
	options.Out = &lineWriter{out: options.Out}
	fleet := &fleet{logger: options.Logger}
	defer func() { err = errors.CombineErrors(err, fleet.close()) }()
	printLine(options.Out, "Starting %d engines and a service with their sidecars, %d routers and a platform stand-in.", options.Engines, options.Routers)
	if err := fleet.start(ctx, options.Engines, options.Routers); err != nil {
		return err
	}
	if err := fleet.waitReady(ctx); err != nil {
		return err
	}
	trial := &trial{fleet: fleet, options: options, ended: make(chan struct{})}
	if err := trial.run(ctx); err != nil {
		return err
	}
	trial.print()
	if !trial.report.Sound() {
		return errBroken
	}
	return fleet.runEntry(ctx, options)
}

// errBroken means that an answer broke a guarantee.
var errBroken = errors.New("an answer broke a guarantee: see the table")

// runEntry runs entry routers of the users' platform beside the fleet.
func (fleet *fleet) runEntry(ctx context.Context, options Options) (err error) {
	printLine(options.Out, "\nStarting %d entry routers of the users' platform with %d runners and a store stand-in.", entryRouters, entryRunners)
	routers := &entryFleet{logger: options.Logger, host: fleet}
	defer func() { err = errors.CombineErrors(err, routers.close()) }()
	if err := routers.start(); err != nil {
		return err
	}
	if err := routers.waitReady(ctx); err != nil {
		return err
	}
	trial := &entryTrial{fleet: routers, out: options.Out}
	if err := trial.run(ctx); err != nil {
		return err
	}
	trial.print()
	if options.Keep {
		fleet.explain(options.Out)
		routers.explain(options.Out)
		<-ctx.Done()
	}
	if !trial.passed() {
		return errBroken
	}
	return nil
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// lineWriter writes to out for several goroutines. Each Write is kept together.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes data to the underlying writer.
func (lineWriter *lineWriter) Write(data []byte) (int, error) {
	lineWriter.mu.Lock()
	defer lineWriter.mu.Unlock()
	return lineWriter.out.Write(data)
}

func printLine(out io.Writer, format string, args ...any) {
	fmt.Fprintf(out, format+"\n", args...)
}

// waitReady waits until every router is ready and knows all upstreams.
func (fleet *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range fleet.operators {
		for {
			status, err := statusOf(ctx, address)
			if err == nil && status.Ready && len(status.Upstreams) == len(fleet.sidecars) {
				break
			}
			if ctx.Err() != nil {
				return errors.Wrapf(ctx.Err(), "router at %s is not ready", address)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

func statusOf(ctx context.Context, address string) (daemon.RouterStatus, error) {
	var status daemon.RouterStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// explain prints commands to try against the running fleet.
func (fleet *fleet) explain(out io.Writer) {
	printLine(out, "\nThe fleet runs until you interrupt it. Try:")
	printLine(out, `  curl -sN -H 'Hickoryhead-Workspace: grocer-1' -H 'Hickoryhead-Chat: chat-1' -H 'Accept: text/event-stream' -d '{"Text":"Header copy for aisle twelve","MaxTokens":20}' http://%s/v1/teams/%s/routes/draft/requests`, fleet.callers[0], team)
	printLine(out, `  curl -si -H 'Hickoryhead-Workspace: grocer-1' -H 'Idempotency-Key: run-1' -d '{"Headers":40}' http://%s/v1/teams/%s/routes/confirm/requests`, fleet.callers[0], team)
	printLine(out, `  curl -s http://%s/v1/status`, fleet.operators[0])
	printLine(out, `  curl -s -H 'Authorization: Bearer %s' http://%s/v1/settings/Teams/%s`, teamToken, fleet.operators[0], team)
	printLine(out, `  curl -s -X POST -H 'Authorization: Bearer %s' 'http://%s/v1/drain/engine-2?Team=%s'`, teamToken, fleet.operators[0], team)
}

// runner returns the load generator of the demo.
func (trial *trial) runner() *load.Runner {
	shares := make([]load.Workspace, len(workspaces))
	for i, workspace := range workspaces {
		shares[i] = load.Workspace{ID: workspace, Share: 1}
	}
	return &load.Runner{
		Workload: load.Workload{
			Seed:              1,
			Requests:          trial.options.Requests,
			RequestsPerSecond: requestRate,
			Chats:             chats,
			Workspaces:        shares,
			PromptTokens:      ident.Tokens(promptTokens),
			AnswerTokens:      ident.Tokens(answerTokens),
			WholeShare:        0.2,
			ConfirmShare:      0.1,
			StatusShare:       0.05,
			RepeatShare:       0.5,
		},
		Routers:      trial.fleet.callers,
		Team:         team,
		ModelRoute:   "draft",
		ConfirmRoute: "confirm",
		StatusRoute:  "order-status",
		Services:     []string{trial.fleet.serviceAt},
		Retries:      3,
	}
}
