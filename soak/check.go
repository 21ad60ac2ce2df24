package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// maxApplyTime is the time within which routers must apply an accepted
	// configuration, and maxLeaveTime the time after which a leaving upstream
	// must get no more work.
	maxApplyTime = 2 * time.Second
	maxLeaveTime = 2 * time.Second
	// settleTime is how long no fault may have been active before a guarantee
	// with a time limit is checked.
	settleTime = 3 * time.Second
	// configProbeInterval is the pause between two rounds of the prober.
	configProbeInterval = 150 * time.Millisecond
)

// check checks a finished call against the guarantees to callers, unless the earlier
// program served it.
func (soak *Soak) check(call *call) {
	soak.count(call)
	if call.earlier {
		return
	}
	soak.recordLeaving(call)
	if call.kind.stream {
		soak.checkVersions(call)
	}
	runs := soak.runLog.runsOf(call.attempt)
	switch {
	case call.kind.atMostOnce && len(runs) > 1:
		soak.violate("ran more than once", "%s %s ran %d times", call.kind.name, call.attempt, len(runs))
	case len(runs) > maxAttempts:
		soak.violate("ran on too many upstreams", "%s %s ran %d times, want at most %d", call.kind.name, call.attempt, len(runs), maxAttempts)
	case call.reply.Status == http.StatusTooManyRequests:
		soak.violate("sound request refused", "%s %s got 429 from %s: %s", call.kind.name, call.attempt, call.router.name, call.reply.Body)
	case call.reply.Status == http.StatusOK && call.reply.Err == nil:
		soak.checkAnswer(call)
	case call.reply.Status >= 400 && call.reply.Status < 500 && !meansNotRun(call.reply.Status):
		soak.violate("proper request refused", "%s %s got %d from %s", call.kind.name, call.attempt, call.reply.Status, call.router.name)
	case call.reply.Status != 0 && call.reply.Err == nil && meansNotRun(call.reply.Status) && call.kind.atMostOnce:
		soak.recordNotRun(call.attempt)
	case call.reply.Err != nil:
		soak.checkTruncated(call, len(runs) > 0)
	}
}

// meansNotRun reports whether a response status guarantees that the request was
// not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswer checks that the answer is complete and belongs to this request.
func (soak *Soak) checkAnswer(call *call) {
	want := standin.RunnerAnswer(call.attempt)
	right := call.reply.Body == want
	if call.kind.stream {
		right = isWholeStream(call)
	}
	if !right || call.reply.Attempt != call.attempt {
		soak.violate("wrong answer", "%s %s got an answer of %d bytes with ID %q, want %d", call.kind.name, call.attempt, len(call.reply.Body), call.reply.Attempt, len(want))
	}
}

// checkTruncated checks that no request that a router has forwarded fails without a
// complete answer, unless a fault was active or the request timed out. Planned
// stops and reloads are no excuse.
func (soak *Soak) checkTruncated(call *call, forwarded bool) {
	if !forwarded || call.endedAt.Sub(call.sentAt) >= requestTimeout-100*time.Millisecond {
		return
	}
	if soak.undisturbed(call.sentAt.Add(-settleTime), call.endedAt) {
		soak.violate("cut", "%s %s got no complete answer from %s after %v: %v", call.kind.name, call.attempt, call.router.name, call.endedAt.Sub(call.sentAt), call.reply.Err)
	}
}

// checkNotRun checks that no request ran whose response status guaranteed that it
// was not run.
func (soak *Soak) checkNotRun() {
	soak.mu.Lock()
	notRun := soak.notRun
	soak.mu.Unlock()
	for _, attempt := range notRun {
		if runs := soak.runLog.runsOf(attempt); len(runs) > 0 {
			soak.violate("ran after all", "%s was refused as not run but ran at %s", attempt, runs[0].upstream)
		}
	}
}

// checkPanics checks that no router's log has a panic of a request's handler, which
// closes the caller's connection and is no end of the process.
func (soak *Soak) checkPanics() {
	for _, router := range soak.routers {
		log, err := os.ReadFile(router.log.Name())
		if err != nil || bytes.Contains(log, []byte("panicked")) {
			soak.violate("handler panicked", "%s: see its log (error %v)", router.name, err)
		}
	}
}

// checkLeaving checks that upstream ran no request between maxLeaveTime after it
// began to leave and until. It checks nothing if a fault was active meanwhile.
func (soak *Soak) checkLeaving(upstream *upstream, until time.Time) {
	since := upstream.leavingSince()
	if since.IsZero() || !soak.undisturbed(since.Add(-settleTime), until) {
		return
	}
	soak.runLog.mu.Lock()
	defer soak.runLog.mu.Unlock()
	for attempt, runs := range soak.runLog.runs {
		for _, run := range runs {
			if run.upstream == upstream.runner.ID && run.at.After(since.Add(maxLeaveTime)) && run.at.Before(until) {
				soak.violate("work for a leaving upstream", "%s ran at %s %v after the upstream began to leave", attempt, upstream.runner.ID, run.at.Sub(since))
			}
		}
	}
}

// prober checks on each router which version of the configuration is in force.
type prober struct {
	soak *Soak
	done chan struct{}
	// served holds the newest version that each run of a router has served.
	served map[string]int
}

func (prober *prober) run(ctx context.Context) {
	defer close(prober.done)
	for ctx.Err() == nil {
		for _, router := range prober.soak.routers {
			prober.probe(ctx, router)
		}
		time.Sleep(configProbeInterval)
	}
}

func (prober *prober) probe(ctx context.Context, router *router) {
	version, acceptedAt := prober.soak.version()
	run := fmt.Sprint(router.name, " run ", router.incarnation())
	sentAt := time.Now()
	status := prober.requestStatus(ctx, router, version)
	if run != fmt.Sprint(router.name, " run ", router.incarnation()) {
		return
	}
	if newest, _ := prober.soak.version(); newest != version {
		return
	}
	late := sentAt.After(acceptedAt.Add(maxApplyTime))
	switch {
	case status == http.StatusOK || status == http.StatusBadGateway:
		prober.served[run] = version
	case status == http.StatusNotFound && prober.served[run] == version:
		prober.soak.violate("configuration went back", "%s served version %d before and now refuses its route", run, version)
	case status == http.StatusNotFound && late && prober.soak.undisturbed(acceptedAt.Add(-settleTime), time.Now()):
		prober.soak.violate("configuration late", "%s has not applied version %d %v after it was accepted", run, version, sentAt.Sub(acceptedAt))
	}
}

// requestStatus sends a request on the route that only version has, and returns its
// status, or zero if there was no answer.
func (prober *prober) requestStatus(ctx context.Context, router *router, version int) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	attempt := ident.AttemptID(fmt.Sprintf("probe-%d-%d", version, time.Now().UnixNano()))
	probe := &standin.Call{
		Method: http.MethodGet,
		Router: router.settings.CallerListen,
		Host:   callerHost,
		Path:   fmt.Sprintf("/v%d/", version),
		Head:   platform.RequestHead{Attempt: attempt},
	}
	return probe.Send(ctx, http.DefaultClient).Status
}
