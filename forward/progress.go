package forward

import (
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/registry"
)

// maxWriteTime is the longest time to write an event after which the time until the next one
// is learned from: behind a caller that reads slowly, events are read late.
const maxWriteTime = 2 * time.Millisecond

// progress is what is learned from one answer of an upstream. A nil progress learns nothing.
type progress struct {
	model    *cost.Model
	loads    *balance.Loads
	metrics  *metrics.Set
	upstream registry.Upstream
	request  cost.Request
	sentAt   time.Time
	// work is what the upstream had to do until the first event, and expected the time
	// that was predicted for it. timed is set if they are known, and whole if the answer
	// holds all events of the stream.
	work     cost.Work
	expected time.Duration
	timed    bool
	whole    bool
	// prompt is set for a request with a prompt, whose answer takes generation.
	prompt bool

	// generation is how many tokens are expected yet, of which a counted event holds
	// unit.
	generation ident.Tokens
	unit       float64
	// counted is the number of the last event if these are numbered, else how many there
	// were, and reads how often some were read.
	// lastAt is when the last one was read, or zero if the caller took long to read it.
	counted int64
	reads   int
	lastAt  time.Time
}

// newProgress returns the progress of an answer to the request that is about to be sent, or
// nil if no costs are learned.
func (exchange *exchange) newProgress(answer *answer, lastEvent string) *progress {
	model := exchange.handler.tuning.Load().Costs
	if model == nil {
		return nil
	}
	request, choice := exchange.costRequest(), exchange.choice
	progress := &progress{
		model: model, loads: exchange.handler.Loads, metrics: exchange.handler.Metrics,
		upstream: answer.upstream, request: request, sentAt: time.Now(),
		work:     cost.Work{Prefill: answer.pendingPrefill, Local: choice.Local, Remote: choice.Load.PendingPrefill - choice.Local},
		expected: choice.Expected,
		whole:    lastEvent == "" && !exchange.head.TakesUp(),
		prompt:   len(exchange.head.Prompt) > 0,
	}
	// A designated upstream is chosen without a look at its load.
	progress.timed = progress.whole && progress.prompt && choice.Reason != balance.Designated
	if progress.prompt {
		progress.generation, progress.unit = model.Output(request).Mean, model.Unit(request.Route)
		progress.loads.AddGeneration(answer.upstream.ID, progress.generation)
	}
	return progress
}

// costRequest describes the request for the prediction of its output.
func (exchange *exchange) costRequest() cost.Request {
	return cost.Request{Route: exchange.route.Name, Workspace: exchange.workspaceID(), Hint: exchange.head.LengthHint, MaxOutput: exchange.head.MaxOutput}
}

// observePace records the pace that the upstream reports; zero means that it reports none.
func (progress *progress) observePace(pace float64) {
	if progress != nil && pace > 0 {
		progress.model.ObservePace(time.Now(), progress.upstream, pace)
	}
}

// observeEvents records that so many events were read at a time and then written to the
// caller.
func (progress *progress) observeEvents(readAt time.Time, events int, sequence *eventSequence) {
	if progress == nil || !progress.prompt {
		return
	}
	counted := progress.counted + int64(events)
	if sequence.numeric {
		counted = max(sequence.number, progress.counted)
	}
	if progress.reads == 0 {
		progress.observeFirst(readAt)
	} else {
		progress.observeGap(readAt, counted-progress.counted)
	}
	// The first event of the rest of a stream counts those that another answer brought.
	if progress.whole || progress.reads > 0 {
		progress.countDown(counted - progress.counted)
	}
	progress.counted = counted
	progress.reads++
	progress.lastAt = readAt
	if time.Since(readAt) > maxWriteTime {
		progress.lastAt = time.Time{}
	}
}

// observeFirst records the time to the first event.
func (progress *progress) observeFirst(readAt time.Time) {
	if !progress.timed {
		return
	}
	took := readAt.Sub(progress.sentAt)
	progress.metrics.ObservePrediction(took, progress.expected)
	progress.model.ObserveFirstEvent(readAt, progress.upstream, progress.work, took)
}

// observeGap records the time since the events before, unless prompts were to be prefilled
// in it.
func (progress *progress) observeGap(readAt time.Time, counted int64) {
	load := progress.loads.Estimate(readAt, progress.upstream.ID)
	if progress.lastAt.IsZero() || load.PendingPrefill > 0 {
		return
	}
	progress.model.ObserveGap(readAt, progress.upstream, load.Requests, int(counted), readAt.Sub(progress.lastAt))
}

// countDown subtracts what the events bring from the generation that is expected yet.
func (progress *progress) countDown(counted int64) {
	done := ident.Tokens(min(float64(counted)*progress.unit, float64(progress.generation)))
	progress.loads.AddGeneration(progress.upstream.ID, -done)
	progress.generation -= done
}

// observeOutput records the length of a complete stream.
func (progress *progress) observeOutput() {
	if progress != nil && progress.whole && progress.reads > 0 {
		progress.model.ObserveOutput(time.Now(), progress.request, int(progress.counted))
	}
}

// observePlain records the time of a complete plain answer.
func (progress *progress) observePlain(status int) {
	if progress == nil || status >= http.StatusInternalServerError {
		return
	}
	now := time.Now()
	progress.model.ObservePlain(now, progress.request.Route, now.Sub(progress.sentAt))
}

// end subtracts what is still expected.
func (progress *progress) end() {
	if progress == nil {
		return
	}
	progress.loads.AddGeneration(progress.upstream.ID, -progress.generation)
	progress.generation = 0
}
