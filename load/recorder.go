package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// recorder gathers the measurements of a run from all workers.
type recorder struct {
	mu       sync.Mutex
	report   Report
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	finished *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		report: Report{
			Codes:      make(map[string]int),
			Details:    make(map[string]string),
			Outcomes:   make(map[result.Outcome]int),
			Workspaces: make(map[ident.WorkspaceID]Tally),
		},
		first:    newHistogram(),
		between:  newHistogram(),
		finished: newHistogram(),
	}
}

// gap records the time between two events of one answer.
func (recorder *recorder) gap(now, before time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	record(recorder.between, now.Sub(before))
}

// firstEvent records the first event of an answer.
func (recorder *recorder) firstEvent(now, arrived time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	record(recorder.first, now.Sub(arrived))
}

// try counts one reply.
func (recorder *recorder) try(reply reply) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	report := &recorder.report
	report.Tries++
	if reply.resumed > 0 {
		report.Resumed++
	}
	switch reply.ending {
	case endedProblem:
		name := reply.code.Name()
		if report.Codes[name] == 0 {
			report.Details[name] = reply.detail
		}
		report.Codes[name]++
		report.Outcomes[reply.code.Outcome()]++
	case endedCut:
		report.Cut++
	case endedUnsent:
		report.Unreachable++
	case endedWrong:
		report.Wrong++
	case endedWhole:
	}
}

// finish counts one request by its last reply. A whole answer that is not the
// right one counts as wrong.
func (recorder *recorder) finish(now time.Time, arrival Arrival, last reply, right bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	report := &recorder.report
	report.Requests++
	tally := report.Workspaces[arrival.Workspace]
	tally.Requests++
	switch {
	case last.ending == endedWhole && !right:
		report.Wrong++
	case last.ending == endedWhole:
		tally.Whole++
		recorder.whole(now, arrival, last)
	case notRun(last):
		tally.Refused++
	}
	report.Workspaces[arrival.Workspace] = tally
}

// whole counts a whole, right answer. The caller holds the lock.
func (recorder *recorder) whole(now time.Time, arrival Arrival, last reply) {
	report := &recorder.report
	report.Whole++
	record(recorder.finished, now.Sub(arrival.At))
	if arrival.Kind != Generate {
		return
	}
	report.PromptTokens += last.prompt
	report.CachedTokens += last.cached
	report.Tokens += ident.Tokens(len(last.text) / bytesPerToken)
}

// summary returns the report of a run that took elapsed.
func (recorder *recorder) summary(elapsed time.Duration) *Report {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	report := recorder.report
	report.FirstToken = quantilesOf(recorder.first)
	report.BetweenTokens = quantilesOf(recorder.between)
	report.Finished = quantilesOf(recorder.finished)
	report.ElapsedMs = elapsed.Milliseconds()
	if report.PromptTokens > 0 {
		report.Reuse = float64(report.CachedTokens) / float64(report.PromptTokens)
	}
	if elapsed > 0 {
		report.TokensPerSecond = float64(report.Tokens) / elapsed.Seconds()
	}
	return &report
}
