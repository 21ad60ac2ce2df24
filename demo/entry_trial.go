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
	// entryTrialTime is how long the callers send, and entryPause the time
	// between two requests of one.
	entryTrialTime = 6 * time.Second
	entryPause     = 40 * time.Millisecond
	// entryPatience bounds a request.
	entryPatience = 4 * time.Second
	// applyTime is when a new configuration has to be in force everywhere.
	applyTime = 2 * time.Second
	// entryPrompts is the number of shared prompts.
	entryPrompts = 10
)

// entryPaths are the routes that the callers use in turn.
var entryPaths = []string{"/confirm/run", "/status/run", "/stream/chat"}

// entryTrial drives callers against entry routers while the fleet changes.
type entryTrial struct {
	fleet  *entryFleet
	out    io.Writer
	ended  chan struct{}
	client *http.Client

	mu      sync.Mutex
	whole   int
	wrong   int
	cut     int
	refused map[int]int
	applied time.Duration
}

// drive plays the trial to its end.
func (trial *entryTrial) drive(ctx context.Context) error {
	trial.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: entryCallers}}
	trial.refused = make(map[int]int)
	trial.ended = make(chan struct{})
	var callers sync.WaitGroup
	for number := range entryCallers {
		caller := &entryCaller{trial: trial, number: number}
		callers.Go(func() { caller.run(ctx) })
	}
	err := trial.change(ctx)
	close(trial.ended)
	callers.Wait()
	trial.client.CloseIdleConnections()
	return err
}

// change lets a runner leave, puts a configuration in force and stops a router.
func (trial *entryTrial) change(ctx context.Context) error {
	const steps = 4
	step := entryTrialTime / steps
	time.Sleep(step)
	leaving := trial.fleet.runners[0].runner
	say(trial.out, "%s leaves.", leaving.ID)
	leaving.Leave()
	time.Sleep(step)
	if err := trial.configure(ctx); err != nil {
		return err
	}
	time.Sleep(step)
	router := trial.fleet.routers[0]
	say(trial.out, "%s is stopped as planned.", router.daemon.Config.VM)
	router.leave()
	return router.err
}

// configure writes the second configuration and waits until every router has it
// in force.
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
			if time.Since(accepted) > applyTime {
				return errors.Newf("%s has no new configuration after %v", router.daemon.Config.VM, applyTime)
			}
			time.Sleep(readyInterval)
		}
	}
	trial.applied = time.Since(accepted)
	say(trial.out, "A second configuration is in force everywhere after %d ms.", trial.applied.Milliseconds())
	return nil
}

// send sends one request; prompt numbers the shared prompt of a stream.
func (trial *entryTrial) send(ctx context.Context, router, path string, attempt ident.AttemptID, prompt int) standin.Reply {
	ctx, cancel := context.WithTimeout(ctx, entryPatience)
	defer cancel()
	call := &standin.Call{
		Method: http.MethodPost, Router: router, Host: entryHost, Path: path, Body: "Header copy for aisle twelve",
		Head: platform.RequestHead{Attempt: attempt, Wait: ident.Milliseconds(entryPatience.Milliseconds()), APIKey: entryKey},
	}
	if strings.HasPrefix(path, "/stream/") {
		call.Head.Prompt = []platform.PromptPart{{ID: "house", Tokens: 200}, {ID: fmt.Sprint("planogram-", prompt), Tokens: 2000}}
	}
	return call.Send(ctx, trial.client)
}

// take counts a reply.
func (trial *entryTrial) take(path string, attempt ident.AttemptID, reply standin.Reply) {
	want := standin.RunnerAnswer(attempt)
	if strings.HasPrefix(path, "/stream/") {
		want = standin.RunnerStream(attempt)
	}
	trial.mu.Lock()
	defer trial.mu.Unlock()
	switch {
	case reply.Err != nil:
		trial.cut++
	case reply.Status != http.StatusOK:
		trial.refused[reply.Status]++
	case reply.Body != want || reply.Attempt != attempt:
		trial.wrong++
	default:
		trial.whole++
	}
}

// sound reports whether every answer kept the promises.
func (trial *entryTrial) sound() bool { return trial.wrong == 0 && trial.cut == 0 && trial.whole > 0 }

func (trial *entryTrial) print() {
	table := tabwriter.NewWriter(trial.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "\nanswers whole\t%d\nanswers wrong\t%d\nanswers cut\t%d\nrefused or failed\t%v\n", trial.whole, trial.wrong, trial.cut, trial.refused)
	for _, running := range trial.fleet.runners {
		fmt.Fprintf(table, "started by %s\t%d\n", running.runner.ID, running.runner.Served())
	}
	// The table goes to a terminal or a buffer, as all else that is said.
	_ = table.Flush()
}

// entryCaller sends one request after the other, each to the next router that
// takes callers.
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
		address, open := trial.fleet.routers[(caller.number+n)%entryRouters].callers()
		if !open {
			continue
		}
		path := entryPaths[n%len(entryPaths)]
		attempt := ident.AttemptID(fmt.Sprintf("%d-%d", caller.number, n))
		trial.take(path, attempt, trial.send(ctx, address, path, attempt, n%entryPrompts))
	}
}

// explain prints lines to try against the running entry routers.
func (fleet *entryFleet) explain(out io.Writer) {
	address := fleet.routers[entryRouters-1].addresses
	say(out, "\nThe entry routers stay up, too. Try:")
	say(out, `  curl -si -H 'Host: %s' %s-d '{}' http://%s/status/run`, entryHost, platform.CallerFlags("try-1", entryKey), address.Callers)
	say(out, `  curl -sN -H 'Host: %s' %s-d '{}' http://%s/stream/chat`, entryHost, platform.CallerFlags("try-2", entryKey), address.Callers)
	say(out, `  curl -si http://%s/readyz`, address.Ready)
}
