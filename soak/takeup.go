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

// softwareVersions are the versions of the upstreams' software.
var softwareVersions = []ident.SoftwareVersion{"v1", "v2", "v3"}

const (
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 3
	// takeUpPause is the pause before a caller takes a stream up.
	takeUpPause = 150 * time.Millisecond
	// minTakeUps is the number of take-ups from which on the share of those that continue
	// is checked, and minTakeUpShare that share (LOST).
	minTakeUps     = 12
	minTakeUpShare = 0.5
)

// takeUps counts the take-ups that had to continue.
type takeUps struct {
	sent   int
	wentOn int
}

// takenUp is a stream that its caller takes up after it was cut.
type takenUp struct {
	caller *caller
	first  *call
	events []standin.StreamEvent
}

// takeUp takes up a stream that was cut behind an event, until it is complete, refused
// for good or taken up often enough.
func (caller *caller) takeUp(ctx context.Context, cut *call, prompt int, body string) {
	events, _ := standin.ParseStream(cut.reply.Body)
	if !cut.kind.resumable || cut.reply.Status != http.StatusOK || cut.reply.Err == nil || len(events) == 0 {
		return
	}
	stream := &takenUp{caller: caller, first: cut, events: events}
	for number := range maxTakeUps {
		time.Sleep(takeUpPause)
		if !stream.try(ctx, number, prompt, body) {
			return
		}
	}
}

// try takes the stream up once and reports whether it may be taken up again.
func (stream *takenUp) try(ctx context.Context, number, prompt int, body string) bool {
	caller := stream.caller
	if caller.router == nil && !caller.connect() {
		return true
	}
	last := stream.events[len(stream.events)-1]
	call := &call{
		kind:      stream.first.kind,
		attempt:   ident.AttemptID(fmt.Sprintf("%s-take-%d", stream.first.attempt, number)),
		router:    caller.router,
		sentAt:    time.Now(),
		earlier:   caller.router.earlier(),
		resumes:   stream.first.attempt,
		own:       stream.first.attempt,
		lastEvent: fmt.Sprint(last.ID),
	}
	caller.soak.recordSender(call)
	call.perform(context.WithoutCancel(ctx), caller.client, prompt, body)
	if call.reply.Err != nil {
		caller.disconnect()
	}
	return caller.soak.checkTakeUp(call, stream)
}

// checkTakeUp checks a take-up and adds its events to the stream. It reports whether the
// stream may be taken up again.
func (soak *Soak) checkTakeUp(call *call, stream *takenUp) bool {
	software := stream.events[0].Software
	soak.countTakeUp(call, software)
	events, whole := standin.ParseStream(call.reply.Body)
	if call.reply.Status != http.StatusOK {
		if call.reply.Err == nil && meansNotRun(call.reply.Status) {
			soak.recordNotRun(call.attempt)
		}
		return true
	}
	for _, event := range events {
		next := stream.events[len(stream.events)-1].ID + 1
		switch {
		case event.Software != software && call.earlier:
			// What the earlier program does is not checked.
			return false
		case event.Software != software:
			soak.violate("joined from two versions", "%s began at %s and goes on as %s at %s by %s", stream.first.attempt, software, call.attempt, event.Software, call.router.name)
			return false
		case event.ID != next:
			soak.violate("wrong answer", "%s got event %d of %s, want %d", call.attempt, event.ID, stream.first.attempt, next)
			return false
		}
		stream.events = append(stream.events, event)
	}
	return call.reply.Err != nil && whole && len(events) > 0
}

// countTakeUp counts a take-up, also among those that had to continue: no fault was active
// around it, and two upstreams of its version served.
func (soak *Soak) countTakeUp(call *call, software ident.SoftwareVersion) {
	served := call.reply.Status == http.StatusOK
	hadTo := soak.options.Previous == "" && soak.undisturbed(call.sentAt.Add(-standin.ContactTime), call.sentAt) && soak.serving(software, call.sentAt.Add(-standin.ContactTime)) >= 2
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Requests[fmt.Sprint("take-up ", call.reply.Status)]++
	if !hadTo {
		return
	}
	soak.report.Requests[fmt.Sprint("take-up in touch ", call.reply.Status)]++
	soak.takeUps.sent++
	if served {
		soak.takeUps.wentOn++
	}
}

// serving returns how many upstreams have had a version, and not left, since a time.
func (soak *Soak) serving(software ident.SoftwareVersion, since time.Time) int {
	count := 0
	for _, upstream := range soak.upstreams {
		if upstream.servesSince(software, since) {
			count++
		}
	}
	return count
}

// checkTakeUps checks that enough of the take-ups continued that had to.
func (soak *Soak) checkTakeUps() {
	soak.mu.Lock()
	takeUps := soak.takeUps
	soak.mu.Unlock()
	if takeUps.sent >= minTakeUps && float64(takeUps.wentOn) < minTakeUpShare*float64(takeUps.sent) {
		soak.violate("take-ups refused", "%d of %d went on in touch", takeUps.wentOn, takeUps.sent)
	}
}

// checkVersions checks that the events of a stream are of one software version.
func (soak *Soak) checkVersions(call *call) {
	events, _ := standin.ParseStream(call.reply.Body)
	for _, event := range events {
		if event.Software != events[0].Software {
			soak.violate("joined from two versions", "%s has events of %s and %s from %s", call.attempt, events[0].Software, event.Software, call.router.name)
			return
		}
	}
}

// isWholeStream reports whether a body is the complete stream that answers a request.
func isWholeStream(call *call) bool {
	events, whole := standin.ParseStream(call.reply.Body)
	if !whole || len(events) != standin.RunnerEvents {
		return false
	}
	for n, event := range events {
		if event.ID != n+1 || event.Attempt != call.attempt {
			return false
		}
	}
	return true
}

// randomVersion returns one of the software versions.
func randomVersion(random *rand.Rand) ident.SoftwareVersion {
	return softwareVersions[random.IntN(len(softwareVersions))]
}

// killAllRouters ends all routers at once, and starts them again.
func (schedule *schedule) killAllRouters(length time.Duration) {
	var claimed []*router
	for _, router := range schedule.soak.routers {
		if schedule.claim(router) {
			claimed = append(claimed, router)
		}
	}
	end := func() {
		for _, router := range claimed {
			router.kill()
		}
		for _, router := range claimed {
			<-router.ended
		}
	}
	restart := func() {
		for _, router := range slices.Backward(claimed) {
			schedule.restart(router)
		}
	}
	schedule.inject(schedule.soak.beginRouterFault("all routers killed", claimed...), length/2, end, restart)
}
