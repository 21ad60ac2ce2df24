package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// crashMarker is in the body of each request that ends the upstreams that
	// run it.
	crashMarker = "crash"
	// crashRequestLife is how long one such request comes again and again, with
	// crashRequestPause as the upper bound of the random pause.
	crashRequestLife  = 12 * time.Second
	crashRequestPause = 500 * time.Millisecond
	// restartTime is how long an upstream that a request ended is away.
	restartTime = time.Second
	// maxCrashes is how many upstreams a request may end. contactTime after the
	// last of them, at most maxLateRuns more may run it.
	maxCrashes  = 3
	contactTime = 3 * time.Second
	maxLateRuns = 3
)

// crasher sends requests that end the upstreams that run them: each with the same
// path, caller and body for crashRequestLife, at any router.
type crasher struct {
	soak   *Soak
	random *rand.Rand
	done   chan struct{}
}

func (crasher *crasher) run(ctx context.Context) {
	defer close(crasher.done)
	for number := 0; ctx.Err() == nil; number++ {
		kind := kinds[crasher.random.IntN(len(kinds))]
		request := &crashRequest{crasher: crasher, kind: kind, body: fmt.Sprint(crashMarker, " ", number)}
		request.repeat(ctx)
		request.check()
	}
}

// crashRequest is one request that ends upstreams.
type crashRequest struct {
	crasher *crasher
	kind    kind
	body    string
	sent    []*call
}

func (request *crashRequest) repeat(ctx context.Context) {
	crasher := request.crasher
	until := time.Now().Add(crashRequestLife)
	for time.Now().Before(until) && ctx.Err() == nil {
		router := crasher.soak.routers[crasher.random.IntN(len(crasher.soak.routers))]
		if router.inRotation() {
			request.sent = append(request.sent, request.send(router))
		}
		time.Sleep(time.Duration(crasher.random.Int64N(int64(crashRequestPause))))
	}
}

// send sends the request once, as a new attempt, and returns without waiting for
// the answer.
func (request *crashRequest) send(router *router) *call {
	soak := request.crasher.soak
	attempt := ident.AttemptID(fmt.Sprintf("%s-%d", request.body, len(request.sent)))
	call := &call{kind: request.kind, attempt: attempt, router: router, sentAt: time.Now()}
	sending := &crashCall{soak: soak, call: call, body: request.body}
	soak.crashCalls.Go(sending.run)
	return call
}

// crashCall is one attempt of a crashRequest.
type crashCall struct {
	soak *Soak
	call *call
	body string
}

func (crashCall *crashCall) run() {
	transport := &http.Transport{DisableKeepAlives: true}
	crashCall.call.perform(context.Background(), &http.Client{Transport: transport}, 0, crashCall.body)
	reply := crashCall.call.reply
	if reply.Err == nil && meansNotRun(reply.Status) {
		crashCall.soak.recordNotRun(crashCall.call.attempt)
	}
	crashCall.soak.countCrashCall(reply)
}

// attemptRun is a run of one attempt of a crashRequest.
type attemptRun struct {
	call *call
	run  run
}

// check checks that the request did not run too often once three upstreams had
// ended under it.
func (request *crashRequest) check() {
	soak := request.crasher.soak
	soak.crashCalls.Wait()
	var runs []attemptRun
	for _, call := range request.sent {
		for _, run := range soak.runLog.runsOf(call.attempt) {
			runs = append(runs, attemptRun{call: call, run: run})
		}
	}
	if len(runs) <= maxCrashes {
		return
	}
	slices.SortFunc(runs, func(a, b attemptRun) int { return a.run.at.Compare(b.run.at) })
	third := runs[maxCrashes-1].run.at
	late := 0
	for _, attemptRun := range runs[maxCrashes:] {
		sentAt := attemptRun.call.sentAt
		if sentAt.After(third.Add(contactTime)) && soak.inTouch(sentAt.Add(-contactTime), attemptRun.run.at) {
			late++
		}
	}
	if late > maxLateRuns {
		soak.violate("request ends upstream after upstream", "%s %s ran %d times, %d of them later than %v after the third", request.kind.name, request.body, len(runs), late, contactTime)
	}
}

// countCrashCall counts the outcome of an attempt that may end upstreams.
func (soak *Soak) countCrashCall(reply standin.Reply) {
	outcome := "crash no answer"
	if reply.Status != 0 {
		outcome = fmt.Sprint("crash ", reply.Status)
	}
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Requests[outcome]++
}

// crashByRequest crashes an upstream because of a request, and restarts it after
// restartTime. Its connections break, which excuses cut answers, but not a
// request that ends too many upstreams.
func (soak *Soak) crashByRequest(upstream *upstream) {
	heal := soak.beginBreak("upstream ended by a request")
	upstream.crash()
	restart := &restart{upstream: upstream, heal: heal}
	soak.restarts.Go(restart.run)
}

// restart starts an upstream again that a request ended.
type restart struct {
	upstream *upstream
	heal     func()
}

func (restart *restart) run() {
	time.Sleep(restartTime)
	restart.upstream.expireRow()
	restart.upstream.restart()
	restart.heal()
}
