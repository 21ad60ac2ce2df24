package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	entryCallers = 12
	// entryTrialTime is how long the callers send requests, and entryPause the
	// pause of a caller between two requests.
	entryTrialTime = 6 * time.Second
	entryPause     = 40 * time.Millisecond
	// entryRequestTimeout bounds the time of a request.
	entryRequestTimeout = 4 * time.Second
	// maxApplyTime is the time within which every router must apply a new
	// configuration.
	maxApplyTime = 2 * time.Second
	// entryPromptCount is the number of different prompt prefixes that streams
	// share.
	entryPromptCount = 10
)

// entryPaths are the paths that each caller uses in turn.
var entryPaths = []string{"/confirm/run", "/status/run", "/stream/chat"}

// entryTrial sends requests to entry routers while the fleet changes.
type entryTrial struct {
	fleet  *entryFleet
	out    io.Writer
	ended  chan struct{}
	client *http.Client

	mu        sync.Mutex
	complete  int
	wrong     int
	truncated int
	refused   map[int]int
	applied   time.Duration
}

// run runs the callers while it changes the fleet.
func (trial *entryTrial) run(ctx context.Context) error {
	trial.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: entryCallers}}
	trial.refused = make(map[int]int)
	trial.ended = make(chan struct{})
	var callers sync.WaitGroup
	for number := range entryCallers {
		caller := &entryCaller{trial: trial, number: number}
		callers.Go(func() { caller.run(ctx) })
	}
	err := trial.changeFleet(ctx)
	close(trial.ended)
	callers.Wait()
	trial.client.CloseIdleConnections()
	return err
}

// changeFleet lets a runner leave, changes the configuration and stops a router, with
// pauses between.
func (trial *entryTrial) changeFleet(ctx context.Context) error {
	const steps = 4
	step := entryTrialTime / steps
	time.Sleep(step)
	leaving := trial.fleet.runners[0].runner
	printLine(trial.out, "%s leaves.", leaving.ID)
	leaving.Leave()
	time.Sleep(step)
	if err := trial.configure(ctx); err != nil {
		return err
	}
	time.Sleep(step)
	router := trial.fleet.routers[0]
	printLine(trial.out, "%s is stopped as planned.", router.daemon.Config.VM)
	router.leave()
	return router.err
}

// configure writes the second configuration and waits until every router has
// applied it.
func (trial *entryTrial) configure(ctx context.Context) error {
	if err := trial.fleet.configure(2); err != nil {
		return err
	}
	accepted := time.Now()
	for i, router := range trial.fleet.routers {
		for n := 0; ; n++ {
			attempt := ident.AttemptID(fmt.Sprintf("version-%d-%d", i, n))
			reply := trial.send(ctx, router.addresses.Callers, "/v2/run", attempt, 0)
			if reply.Status == http.StatusOK {
				break
			}
			if time.Since(accepted) > maxApplyTime {
				return errors.Newf("%s has not applied the new configuration after %v", router.daemon.Config.VM, maxApplyTime)
			}
			time.Sleep(readyInterval)
		}
	}
	trial.applied = time.Since(accepted)
	printLine(trial.out, "A second configuration is in force everywhere after %d ms.", trial.applied.Milliseconds())
	return nil
}

// send sends one request. For a stream, prompt is the number of its shared prompt
// prefix.
func (trial *entryTrial) send(ctx context.Context, router, path string, attempt ident.AttemptID, prompt int) standin.Reply {
	ctx, cancel := context.WithTimeout(ctx, entryRequestTimeout)
	defer cancel()
	call := &standin.Call{
		Method: http.MethodPost, Router: router, Host: entryHost, Path: path, Body: "Header copy for aisle twelve",
		Head: platform.RequestHead{Attempt: attempt, Wait: ident.Milliseconds(entryRequestTimeout.Milliseconds()), APIKey: entryKey},
	}
	if strings.HasPrefix(path, "/stream/") {
		call.Head.Prompt = []platform.PromptPart{{ID: "house", Tokens: 200}, {ID: fmt.Sprint("planogram-", prompt), Tokens: 2000}}
	}
	return call.Send(ctx, trial.client)
}

// record counts the outcome of a reply.
func (trial *entryTrial) record(path string, attempt ident.AttemptID, reply standin.Reply) {
	want := standin.RunnerAnswer(attempt)
	if strings.HasPrefix(path, "/stream/") {
		want = standin.RunnerStream(attempt)
	}
	trial.mu.Lock()
	defer trial.mu.Unlock()
	switch {
	case reply.Err != nil:
		trial.truncated++
	case reply.Status != http.StatusOK:
		trial.refused[reply.Status]++
	case reply.Body != want || reply.Attempt != attempt:
		trial.wrong++
	default:
		trial.complete++
	}
}

// passed reports whether there were answers and all of them were complete and
// correct.
func (trial *entryTrial) passed() bool {
	return trial.wrong == 0 && trial.truncated == 0 && trial.complete > 0
}

func (trial *entryTrial) print() {
	table := tabwriter.NewWriter(trial.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "\ncomplete answers\t%d\nwrong answers\t%d\ntruncated answers\t%d\nrefused or failed\t%v\n", trial.complete, trial.wrong, trial.truncated, trial.refused)
	for _, runnerRun := range trial.fleet.runners {
		fmt.Fprintf(table, "requests at %s\t%d\n", runnerRun.runner.ID, runnerRun.runner.Served())
	}
	// Like the progress lines, the table goes to a terminal or a buffer, so
	// write errors are ignored.
	_ = table.Flush()
}

// entryCaller sends one request after the other, in turn to each router that
// accepts callers.
type entryCaller struct {
	trial  *entryTrial
	number int
}

func (caller *entryCaller) run(ctx context.Context) {
	trial := caller.trial
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-trial.ended:
			return
		case <-time.After(entryPause):
		}
		address, accepting := trial.fleet.routers[(caller.number+n)%entryRouters].callers()
		if !accepting {
			continue
		}
		path := entryPaths[n%len(entryPaths)]
		attempt := ident.AttemptID(fmt.Sprintf("%d-%d", caller.number, n))
		trial.record(path, attempt, trial.send(ctx, address, path, attempt, n%entryPromptCount))
	}
}

// explain prints commands to try against the running entry routers.
func (fleet *entryFleet) explain(out io.Writer) {
	address := fleet.routers[entryRouters-1].addresses
	printLine(out, "\nThe entry routers keep running, too. Try:")
	printLine(out, `  curl -si -H 'Host: %s' %s-d '{}' http://%s/status/run`, entryHost, platform.CallerFlags("try-1", entryKey), address.Callers)
	printLine(out, `  curl -sN -H 'Host: %s' %s-d '{}' http://%s/stream/chat`, entryHost, platform.CallerFlags("try-2", entryKey), address.Callers)
	printLine(out, `  curl -si http://%s/readyz`, address.Ready)
}
