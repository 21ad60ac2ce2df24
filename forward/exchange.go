package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/overload"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/strike"
)

// exchange is one request of a caller and all attempts to serve it.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	table     *routing.Table
	route     *routing.Route
	service   ident.ServiceName
	head      platform.RequestHead
	workspace *routing.Workspace
	// allowed are the only regions in which the request may run; nil means any.
	allowed []ident.Region
	// conn is the caller's connection, or nil if no Listener accepted it.
	conn *checkedConn
	// body is the complete body in parts, bodyHolding what it takes in the memory account,
	// and bodyHeld set if it takes anything there.
	body        [][]byte
	bodyHolding memory.Holding
	bodyHeld    bool
	// knownSuspect is what suspect returned, or nil.
	knownSuspect *strike.Request
	// aloneNotBefore is the time before which the request doesn't run alone, turnDeadline
	// until when it waits for that, and trial its run alone. postponed is set if it may run
	// alone only and is refused for now, and postponedUntil when more upstreams may serve,
	// or zero if that is not known.
	aloneNotBefore time.Time
	turnDeadline   time.Time
	trial          strike.Trial
	postponed      bool
	postponedUntil time.Time
	// prefixIDs identify the prompt parts that other requests share, the
	// deepest first. They are set on sticky routes only.
	prefixIDs []ident.ChatID
	// deadline is the earlier of callerDeadline and the route's timeout.
	// callerDeadline is when the caller stops waiting, or the route's timeout
	// if the caller does not state it.
	deadline       time.Time
	callerDeadline time.Time

	// tried are the upstreams that the request was offered to, and runs counts
	// the attempts that may have run it.
	tried []ident.UpstreamID
	runs  int
	// withdrawn counts those of tried from which the request was withdrawn before any of it
	// was sent.
	withdrawn int
	// sentAt is when the last attempt was sent, and connectedAt when the connection
	// that carried it was established.
	sentAt      time.Time
	connectedAt time.Time
	// answerHolding is what answers take, reserved its size, earlier the part of it that a
	// kept answer of an earlier attempt takes, and answerWatched set while it may be given
	// up. writeDeadline is by when the next bytes have to be written.
	answerHolding memory.Holding
	reserved      int64
	earlier       int64
	answerWatched bool
	writeDeadline time.Time
	// retryReserved is set if the next retry was already taken from the budget.
	retryReserved bool
	// takenAt is when the limit of the chosen upstream allowed the request.
	takenAt time.Time
	choice  balance.Choice
	// admission is the admission control that was in force when the exchange began, or nil:
	// a change of the settings applies to later requests.
	admission *overload.Controller
	// room is what was last decided about the room for the request.
	room room
	// binding restricts the request to one software version, and certainAt is when
	// the version that began the stream of a refused take-up will be known, or zero.
	binding   binding
	certainAt time.Time
	// began is the answer that brought the first event of a stream.
	began *answer
	// started is set once the header of an answer was written to the caller.
	started bool
	// firstByte is when the answer to the caller began.
	firstByte time.Time
	status    int
	code      result.Code
	cause     string
	// refusal says why the request is refused, if it crashes upstreams, and limitedAt
	// when an upstream takes it, if all are at their limits.
	refusal   strike.Refusal
	limitedAt time.Time
	// broke is set if the last cause is a connection to an upstream that broke,
	// and unanswered if it is an upstream that gave no answer in time.
	broke      bool
	unanswered bool
	// callerFailed is set once a write to the caller has failed.
	callerFailed bool
	// aborted is set if the answer to the caller is truncated or not begun, so
	// that its connection must be broken.
	aborted bool
	// returned is set once the request has been served or refused without a panic.
	returned bool
}

// serve reads the request, forwards it and writes the answer.
func (exchange *exchange) serve() {
	defer exchange.releaseMemory()
	exchange.closeIfLeaving(exchange.writer.Header())
	if code := exchange.prepare(); code != result.OK {
		exchange.refuse(code)
		return
	}
	exchange.handler.countRequest(exchange.arrived, exchange.service)
	if exchange.standing().Allowance == strike.Refused {
		exchange.refuse(result.CrashingRequest)
		return
	}
	if code := exchange.bindVersion(); code != result.OK {
		exchange.refuse(code)
		return
	}
	if exchange.route.Sticky {
		exchange.handler.awaitWarm(exchange.request.Context())
	}
	exchange.admission = exchange.handler.tuning.Load().Overload
	if exchange.admission != nil {
		if code := exchange.admit(exchange.pool()); code != result.OK {
			exchange.refuse(code)
			return
		}
	}
	exchange.tryUpstreams()
}

// tryUpstreams sends the request to one upstream after another until it is
// answered or may not be sent again.
func (exchange *exchange) tryUpstreams() {
	for {
		pool, found := exchange.chooseNext()
		if !found {
			exchange.abandon(exchange.noChoiceCode(pool))
			return
		}
		answer, code := exchange.attempt("")
		if code == result.OK {
			code = exchange.relay(answer)
		}
		if exchange.started || code == result.OK || exchange.callerLeft() {
			exchange.code = code
			exchange.markCallerLeft()
			// Without an answer net/http would write an empty one with status 200.
			exchange.aborted = exchange.aborted || !exchange.started
			return
		}
		exchange.logAttempt(code)
		if !exchange.shouldRetry(code, pool) {
			exchange.abandon(code)
			return
		}
		exchange.handler.Metrics.CountRetry(code)
	}
}

// maxChoices limits how often an upstream is chosen for one attempt that another
// request of this router uses up in the meantime.
const maxChoices = 8

// chooseNext chooses the upstream of the next attempt. It returns the upstreams that it chose
// from, as they are listed behind all waits, and whether there is one for the request: one that
// crashes upstreams gets none.
func (exchange *exchange) chooseNext() (pool *registry.Pool, found bool) {
	for range maxChoices {
		exchange.awaitCurrent()
		standing, inTime := exchange.awaitTurn()
		pool = exchange.pool()
		if !inTime {
			exchange.postponed = true
			return pool, false
		}
		choice, found := exchange.chooseBy(standing.Allowance, pool)
		if !found {
			return pool, false
		}
		exchange.choice = choice
		if choice.Reason == balance.Designated && !exchange.proposeTrial() {
			continue
		}
		// Another request may have taken the last one that the upstream's limit
		// leaves.
		exchange.takenAt = time.Now()
		if exchange.handler.Quota.Take(exchange.takenAt, choice.Upstream) {
			exchange.tried = append(exchange.tried, choice.Upstream.ID)
			return pool, true
		}
		exchange.cancelTrial()
	}
	return pool, false
}

func (exchange *exchange) chooseBy(allowance strike.Allowance, pool *registry.Pool) (balance.Choice, bool) {
	switch allowance {
	case strike.Free:
		return exchange.chooseWithRoom(pool)
	case strike.Alone:
		return exchange.designate(pool)
	}
	return balance.Choice{}, false
}

// chooseWithRoom chooses among the upstreams that have room, or, if none of them remains,
// among all.
func (exchange *exchange) chooseWithRoom(pool *registry.Pool) (balance.Choice, bool) {
	request := exchange.choiceRequest()
	request.Full = exchange.room.full(pool)
	choice, found := exchange.handler.choose(pool, request)
	if found || request.Full == nil {
		return choice, found
	}
	request.Full = nil
	return exchange.handler.choose(pool, request)
}

func (exchange *exchange) choiceRequest() balance.Request {
	request := balance.Request{
		Keys:      exchange.prefixIDs,
		Tried:     exchange.tried,
		Zone:      exchange.handler.Zone,
		Target:    exchange.route.Target,
		Retryable: exchange.route.Retryable(),
		Own:       ownTokens(exchange.head.Prompt),
		Prompt:    promptTokens(exchange.head.Prompt),
	}
	if exchange.allowed != nil || exchange.handler.Registry.AnyEvacuated() {
		request.MayFetch = exchange.mayFetch
	}
	return request
}

// mayFetch reports whether the chosen upstream may fetch a cached prefix from another one: not
// from a zone that is evacuated, or where the request may not run.
func (exchange *exchange) mayFetch(id ident.UpstreamID) bool {
	known := exchange.handler.Registry
	upstream, listed := known.Upstream(id)
	return !listed || !known.Evacuated(upstream.Zone) && exchange.inRegions(upstream)
}

// sharedPrefixIDs returns the IDs of the prompt parts that other requests
// share, the deepest first. It leaves out the last part, which is the request's
// own, unless that is the only one.
func sharedPrefixIDs(parts []platform.PromptPart) []ident.ChatID {
	shared := parts
	if len(parts) > 1 {
		shared = parts[:len(parts)-1]
	}
	keys := make([]ident.ChatID, 0, len(shared))
	for _, part := range slices.Backward(shared) {
		keys = append(keys, ident.ChatID(part.ID))
	}
	return keys
}

// arrived reports whether an attempt that ended with code reached an upstream. The
// users' platform counts each arrival beyond a request's first as a retry, also
// one that the upstream refused: retry.Unbudgeted holds for the project's own
// interface only.
func arrived(code result.Code) bool {
	switch code {
	case result.UpstreamUnreachable, result.DeadlineUnmeetable, result.ZonesEvacuated, result.UpstreamsCold:
		return false
	}
	return true
}

// shouldRetry reports whether the request is sent again after an attempt that
// ended with code. It counts attempts that may have run, and takes the retry
// from the budget unless nothing arrived or shouldSwitch has taken it.
func (exchange *exchange) shouldRetry(code result.Code, pool *registry.Pool) bool {
	if code.Outcome() != result.NotRun {
		exchange.runs++
	}
	if exchange.standing().Allowance == strike.Refused || exchange.handler.ended() {
		return false
	}
	candidates := 0
	if pool != nil {
		candidates = len(pool.Upstreams)
	}
	now := time.Now()
	action := retry.Next(now, retry.Attempt{
		Code:       code,
		Idempotent: exchange.route.Retryable(),
		Deadline:   exchange.deadline,
		Tried:      len(exchange.tried) - exchange.withdrawn,
		Candidates: candidates,
		Runs:       exchange.runs,
		MaxRuns:    exchange.route.MaxAttempts,
	})
	switch {
	case action == retry.Stop:
		return false
	case !arrived(code):
		return true
	case code == result.QueueFull && !exchange.roomElsewhere(pool):
		exchange.handler.Metrics.CountEvent("retry.room.none")
		return false
	}
	if exchange.retryReserved {
		exchange.retryReserved = false
		return true
	}
	if !exchange.handler.spendRetry(now, exchange.service) {
		exchange.handler.Metrics.CountEvent("retry.budget.spent")
		return false
	}
	return true
}
