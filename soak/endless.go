package soak

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// maxEndlessTime is how long after its start the connection of an answer
	// without an end must be closed: the routes' timeout and a second.
	maxEndlessTime = routeTimeout*time.Millisecond + time.Second
	// maxRouterMB is the memory that an entry VM has.
	maxRouterMB = 284
)

// endlessSpan is the time for which an upstream sent an answer without an end.
type endlessSpan struct {
	answer string
	span   span
}

// upstreamEndless makes an upstream send answers without an end.
func (schedule *schedule) upstreamEndless(length time.Duration) {
	upstream := schedule.upstream()
	answer := standin.EndlessAnswers[schedule.random.IntN(len(standin.EndlessAnswers))]
	if !schedule.claim(upstream) {
		return
	}
	heal := schedule.soak.beginBreak("upstream sends without end")
	schedule.inject(heal, length, func() { upstream.runner.Endless(&answer) }, func() {
		upstream.runner.Endless(nil)
		schedule.release(upstream)
	})
}

// recordEndless records an answer without an end whose connection has closed.
func (soak *Soak) recordEndless(answer string, started, closed time.Time) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.endless = append(soak.endless, endlessSpan{answer: answer, span: span{from: started, until: closed}})
}

// checkEndless checks that routers closed the connections of answers without an
// end in time, and that none of them held too much memory.
func (soak *Soak) checkEndless() {
	soak.mu.Lock()
	endless := soak.endless
	soak.mu.Unlock()
	for _, answer := range endless {
		took := answer.span.until.Sub(answer.span.from)
		if took > maxEndlessTime && soak.inTouch(answer.span.from.Add(-settleTime), answer.span.until) {
			soak.violate("answer without end kept open", "%s was read for %v, want at most %v", answer.answer, took, maxEndlessTime)
		}
	}
	for _, router := range soak.routers {
		if peak := router.peakMB(); peak > maxRouterMB {
			soak.violate("too much memory", "%s held %d MB, want at most %d", router.name, peak, maxRouterMB)
		}
	}
}

// peakMB returns the most memory that the current run of the router held, in MB,
// or zero if the system does not say.
func (router *router) peakMB() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(router.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}
