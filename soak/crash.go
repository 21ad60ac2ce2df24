package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
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
	// badPartPrefix begins the ID of each part that ends the upstreams which begin
	// to answer a prompt with it.
	badPartPrefix = "bad-"
)

// crasher sends requests that end the upstreams that run them, for crashRequestLife at
// any router: each with the same path, caller and body, or, with parts set, requests of
// which no two are alike but for one part of their prompts.
type crasher struct {
	soak   *Soak
	random *rand.Rand
	parts  bool
	// small is the service whose upstreams the requests end; nil means the pool.
	small *smallService
	done  chan struct{}
	// calls are the attempts in flight.
	calls sync.WaitGroup
}

func (crasher *crasher) run(ctx context.Context) {
	defer close(crasher.done)
	for number := 0; ctx.Err() == nil; number++ {
		request := crasher.next(number)
		request.repeat(ctx)
		request.check()
	}
}

// next returns the request with the given number.
func (crasher *crasher) next(number int) *crashRequest {
	if crasher.small != nil {
		return crasher.small.newCrashRequest(crasher, number)
	}
	request := &crashRequest{crasher: crasher, kind: kinds[crasher.random.IntN(len(kinds))], name: fmt.Sprint(crashMarker, " ", number), crashes: standin.MaxCrashes}
	if crasher.parts {
		request.name, request.crashes = fmt.Sprint(badPartPrefix, number), standin.MaxPartCrashes
		request.prompt = []string{request.name, sharedPart}
		if crasher.random.IntN(2) == 0 {
			slices.Reverse(request.prompt)
		}
	}
	return request
}

// crashRequest is one request that ends upstreams, or the requests that do so by a part
// of their prompts.
type crashRequest struct {
	crasher *crasher
	kind    kind
	// name is the body, or the part.
	name string
	// prompt is what the prompts have in common, if a part ends upstreams.
	prompt []string
	// bare is set if the requests have no body, and pause is the upper bound of the random
	// pause between two of them; zero means crashRequestPause.
	bare  bool
	pause time.Duration
	// crashes is how many upstreams may end before the routers have to know.
	crashes int
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
		time.Sleep(time.Duration(crasher.random.Int64N(int64(cmp.Or(request.pause, crashRequestPause)))))
	}
}

// send sends the request once, as a new attempt, and returns without waiting for
// the answer.
func (request *crashRequest) send(router *router) *call {
	soak := request.crasher.soak
	attempt := ident.AttemptID(fmt.Sprintf("%s-%d", request.name, len(request.sent)))
	call := &call{kind: request.kind, attempt: attempt, router: router, sentAt: time.Now(), prompt: request.prompt}
	body := request.name
	if request.bare {
		body = ""
	}
	if len(request.prompt) > 0 {
		body = "body of " + string(attempt)
	}
	sending := &crashCall{soak: soak, call: call, body: body}
	request.crasher.calls.Go(sending.run)
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

// check checks that the request did not run too often once so many upstreams had ended
// under it that the routers have to know.
func (request *crashRequest) check() {
	soak := request.crasher.soak
	request.crasher.calls.Wait()
	var runs []attemptRun
	for _, call := range request.sent {
		for _, run := range soak.runLog.runsOf(call.attempt) {
			runs = append(runs, attemptRun{call: call, run: run})
		}
	}
	if len(runs) <= request.crashes {
		return
	}
	slices.SortFunc(runs, func(a, b attemptRun) int { return a.run.at.Compare(b.run.at) })
	decisive := runs[request.crashes-1].run.at
	late := 0
	for _, attemptRun := range runs[request.crashes:] {
		sentAt := attemptRun.call.sentAt
		if sentAt.After(decisive.Add(standin.ContactTime)) && soak.inTouch(sentAt.Add(-standin.ContactTime), attemptRun.run.at) {
			late++
		}
	}
	if late > standin.MaxLateRuns {
		soak.violate("request ends upstream after upstream", "%s %s ran %d times, %d of them later than %v after run %d", request.kind.name, request.name, len(runs), late, standin.ContactTime, request.crashes)
	}
}

// countCrashCall counts the outcome of an attempt that may end upstreams.
func (soak *Soak) countCrashCall(reply standin.Reply) {
	outcome := "crash no answer"
	if reply.Status != 0 {
		outcome = fmt.Sprint("crash ", reply.Status)
	}
	soak.countOutcome(outcome)
}

// crashByRequest crashes an upstream because of a request, and restarts it after
// restartTime. Its connections break, which excuses cut answers, but not a
// request that ends too many upstreams.
func (soak *Soak) crashByRequest(upstream *upstream) {
	if !upstream.beginRestart() {
		// Another request has ended the same process.
		return
	}
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
	restart.upstream.endRestart()
	restart.upstream.restart()
	restart.heal()
}
