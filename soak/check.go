package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// applyWithin is when an accepted configuration has to be in force, and
	// leaveWithin when a leaving upstream gets no more work.
	applyWithin = 2 * time.Second
	leaveWithin = 2 * time.Second
	// settled is how long nothing may have been disturbed for a promise with a
	// time to hold.
	settled = 3 * time.Second
	// proberEvery is the time between two rounds of the prober.
	proberEvery = 150 * time.Millisecond
)

// check holds a finished call against the promises to callers.
func (soak *Soak) check(made *call) {
	soak.count(made)
	runs := soak.book.of(made.attempt)
	switch {
	case made.kind.once && len(runs) > 1:
		soak.violate("ran more than once", "%s %s ran %d times", made.kind.name, made.attempt, len(runs))
	case made.reply.Status == http.StatusOK && made.reply.Err == nil:
		soak.checkAnswer(made)
	case made.reply.Status >= 400 && made.reply.Status < 500 && !promises(made.reply.Status):
		soak.violate("proper request refused", "%s %s got %d from %s", made.kind.name, made.attempt, made.reply.Status, made.router.name)
	case made.reply.Status != 0 && made.reply.Err == nil && promises(made.reply.Status) && made.kind.once:
		soak.promised(made.attempt)
	case made.reply.Err != nil:
		soak.checkCut(made, len(runs) > 0)
	}
}

// promises reports whether status says that a request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswer wants the whole answer to this request and no other.
func (soak *Soak) checkAnswer(made *call) {
	want := standin.RunnerAnswer(made.attempt)
	if made.kind.stream {
		want = standin.RunnerStream(made.attempt)
	}
	if made.reply.Body != want || made.reply.Attempt != made.attempt {
		soak.violate("wrong answer", "%s %s got an answer of %d bytes with ID %q, want %d", made.kind.name, made.attempt, len(made.reply.Body), made.reply.Attempt, len(want))
	}
}

// checkCut wants no request cut that a router has passed on, where all that
// disturbed the router was a planned stop or a reload.
func (soak *Soak) checkCut(made *call, passedOn bool) {
	if !passedOn || made.endedAt.Sub(made.sentAt) >= patience-100*time.Millisecond {
		return
	}
	if soak.calmBetween(made.sentAt.Add(-settled), made.endedAt) {
		soak.violate("cut", "%s %s was cut by %s after %v: %v", made.kind.name, made.attempt, made.router.name, made.endedAt.Sub(made.sentAt), made.reply.Err)
	}
}

// checkPromises wants no run of a request that was said not to have run.
func (soak *Soak) checkPromises() {
	soak.mu.Lock()
	promised := soak.notRun
	soak.mu.Unlock()
	for _, attempt := range promised {
		if runs := soak.book.of(attempt); len(runs) > 0 {
			soak.violate("ran after all", "%s was said not to have run and ran at %s", attempt, runs[0].upstream)
		}
	}
}

// checkLeaving wants no run at an upstream that has been leaving for longer than
// leaveWithin.
func (soak *Soak) checkLeaving(upstream *upstream, until time.Time) {
	left := upstream.departed()
	if left.IsZero() || !soak.calmBetween(left.Add(-settled), until) {
		return
	}
	soak.book.mu.Lock()
	defer soak.book.mu.Unlock()
	for attempt, runs := range soak.book.runs {
		for _, run := range runs {
			if run.upstream == upstream.runner.ID && run.at.After(left.Add(leaveWithin)) && run.at.Before(until) {
				soak.violate("work for a leaving upstream", "%s ran at %s %v after that was leaving", attempt, upstream.runner.ID, run.at.Sub(left))
			}
		}
	}
}

// prober asks each router which configuration is in force.
type prober struct {
	soak *Soak
	done chan struct{}
	// served holds the newest version that each run of a router served.
	served map[string]int
}

func (prober *prober) run(ctx context.Context) {
	defer close(prober.done)
	for ctx.Err() == nil {
		for _, router := range prober.soak.routers {
			prober.probe(ctx, router)
		}
		time.Sleep(proberEvery)
	}
}

func (prober *prober) probe(ctx context.Context, router *router) {
	version, acceptedAt := prober.soak.version()
	run := fmt.Sprint(router.name, " run ", router.incarnation())
	sentAt := time.Now()
	status := prober.ask(ctx, router, version)
	if run != fmt.Sprint(router.name, " run ", router.incarnation()) {
		return
	}
	if newest, _ := prober.soak.version(); newest != version {
		return
	}
	late := sentAt.After(acceptedAt.Add(applyWithin))
	switch {
	case status == http.StatusOK || status == http.StatusBadGateway:
		prober.served[run] = version
	case status == http.StatusNotFound && prober.served[run] == version:
		prober.soak.violate("configuration went back", "%s served version %d and no longer does", run, version)
	case status == http.StatusNotFound && late && prober.soak.calmBetween(acceptedAt.Add(-settled), time.Now()):
		prober.soak.violate("configuration late", "%s has not version %d %v after it was accepted", run, version, sentAt.Sub(acceptedAt))
	}
}

// ask returns the status of a request on the route of version, zero for none.
func (prober *prober) ask(ctx context.Context, router *router, version int) int {
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
