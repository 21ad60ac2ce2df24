package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// recorder collects the measurements of all workers of a run. It is safe for
// concurrent use.
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

// observeGap records the time between two events of one answer.
func (recorder *recorder) observeGap(now, before time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	record(recorder.between, now.Sub(before))
}

// observeFirstEvent records the time from the planned arrival of a request to
// the first event of its answer.
func (recorder *recorder) observeFirstEvent(now, arrived time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	record(recorder.first, now.Sub(arrived))
}

// countTry counts the reply to one try.
func (recorder *recorder) countTry(reply reply) {
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
	case endedTruncated:
		report.Cut++
	case endedUnsent:
		report.Unreachable++
	case endedWrong:
		report.Wrong++
	case endedComplete:
	}
}

// finish counts one request by its last reply. A complete answer that is not
// correct counts as wrong.
func (recorder *recorder) finish(now time.Time, arrival Arrival, last reply, correct bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	report := &recorder.report
	report.Requests++
	tally := report.Workspaces[arrival.Workspace]
	tally.Requests++
	switch {
	case last.ending == endedComplete && !correct:
		report.Wrong++
	case last.ending == endedComplete:
		tally.Whole++
		recorder.complete(now, arrival, last)
	case notRun(last):
		tally.Refused++
	}
	report.Workspaces[arrival.Workspace] = tally
}

// complete counts a complete and correct answer. The caller holds the lock.
func (recorder *recorder) complete(now time.Time, arrival Arrival, last reply) {
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
