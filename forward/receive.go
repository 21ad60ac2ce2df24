package forward

import (
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/strike"
)

// receiveHead reads responses until the one to this request and skips those to
// earlier requests.
func (exchange *exchange) receiveHead(answer *answer) result.Code {
	for range maxStrayAnswers {
		if code := exchange.awaitFirstByte(answer); code != result.OK {
			return code
		}
		response, err := answer.conn.Receive(exchange.request.Method)
		if err != nil {
			return exchange.failureCode(err)
		}
		head := platform.DecodeResponse(response)
		exchange.recordAnnouncement(answer.upstream, response.StatusCode, head)
		if head.Attempt != "" && head.Attempt != exchange.head.Attempt {
			exchange.handler.Metrics.CountEvent("answer.stray")
			exchange.handler.Logger.Warn("Answer to another request dropped.", "Attempt", exchange.head.Attempt, "Got", head.Attempt, "Upstream", answer.upstream.ID)
			if !http1.Skip(response) {
				exchange.setCauseText("stray answer without an end")
				return result.OutcomeUnknown
			}
			continue
		}
		answer.response, answer.head = response, head
		answer.prefillDone()
		return exchange.classify(answer)
	}
	exchange.setCauseText("too many stray answers")
	return result.OutcomeUnknown
}

// awaitFirstByte waits for the first byte of a response until the deadline. An
// upstream that takes longer than the no-response timeout gets a failure
// recorded at once; the wait continues unless the request switches to another
// upstream.
func (exchange *exchange) awaitFirstByte(answer *answer) result.Code {
	noResponseTimeout := max(noResponseTargetFactor*exchange.route.Target.Duration(), minNoResponseTimeout)
	suspectAt := time.Now().Add(noResponseTimeout)
	if suspectAt.Before(exchange.deadline) {
		began, err := answer.conn.Await(suspectAt)
		if err != nil {
			return exchange.failureCode(err)
		}
		if began {
			return exchange.readUntilDeadline(answer)
		}
		exchange.handler.recordOutcome(answer.upstream, health.NoResponse)
		exchange.handler.Strikes.Waiting(exchange.suspect(), exchange.strike(time.Now(), answer.upstream))
		if exchange.shouldSwitch() {
			exchange.setUnanswered("no answer within " + noResponseTimeout.String())
			return result.OutcomeUnknown
		}
	}
	began, err := answer.conn.Await(exchange.deadline)
	if err != nil {
		return exchange.failureCode(err)
	}
	if !began {
		exchange.setUnanswered("no answer before the deadline")
		return result.DeadlineExpired
	}
	return exchange.readUntilDeadline(answer)
}

// shouldSwitch reports whether a request without a response is sent to another
// upstream instead, and if so takes that retry from the budget. Without another
// upstream it is better to wait for a late response.
func (exchange *exchange) shouldSwitch() bool {
	if !exchange.route.Retryable() || exchange.standing().Allowance != strike.Free || exchange.runs+1 >= exchange.route.MaxAttempts {
		return false
	}
	alternative, found := exchange.handler.choose(exchange.pool(), exchange.choiceRequest())
	if !found || alternative.Reason == balance.LastResort || !exchange.handler.spendRetry(time.Now(), exchange.service) {
		return false
	}
	exchange.retryReserved = true
	return true
}

func (exchange *exchange) readUntilDeadline(answer *answer) result.Code {
	if err := answer.conn.SetReadDeadline(exchange.deadline); err != nil {
		exchange.setCause(err)
		return result.OutcomeUnknown
	}
	return result.OK
}

// classify records the load and the limit that the head of an answer reports, and returns
// what the head says about the request. OK means that the answer can be
// relayed.
func (exchange *exchange) classify(answer *answer) result.Code {
	if answer.head.Load != nil {
		answer.progress.observePace(answer.head.Load.Pace)
		exchange.handler.Loads.RecordReport(time.Now(), answer.upstream.ID, answer.head.Load.Running+answer.head.Load.Waiting)
	}
	if answer.response.StatusCode != http.StatusMisdirectedRequest && exchange.matchesRequest(answer) {
		exchange.recordLimit(answer)
		if answer.head.Cold == nil {
			exchange.handler.Quota.Answered(time.Now(), answer.upstream, exchange.sentAt, nil)
		}
	}
	switch {
	case answer.head.NotRun && exchange.matchesRequest(answer):
		exchange.setCauseText(answer.response.Status)
		exchange.recordTurnedAway(answer)
		return result.QueueFull
	case answer.response.StatusCode < http.StatusMultipleChoices && !answer.head.Signed:
		exchange.setCauseText("answer without a signature")
		return result.OutcomeUnknown
	case oncehttp.ImpliesNotRun(answer.response.StatusCode):
		exchange.setCauseText(answer.response.Status + " without proof")
		return result.OutcomeUnknown
	}
	return result.OK
}

// matchesRequest reports whether an answer certainly belongs to this request:
// it carries the request's ID, or no other request was sent on the connection.
func (exchange *exchange) matchesRequest(answer *answer) bool {
	return answer.head.Attempt == exchange.head.Attempt || answer.conn.Requests == 1
}

// failureCode returns the code of an attempt that ended with err and stores err
// as its cause.
func (exchange *exchange) failureCode(err error) result.Code {
	exchange.setCause(err)
	if !oncehttp.Sent(err) {
		return result.UpstreamUnreachable
	}
	return result.OutcomeUnknown
}

// recordFailure records a failed attempt in the health of upstream, unless the
// caller has left. A refusal counts as a success, since the upstream responded.
func (exchange *exchange) recordFailure(upstream registry.Upstream, code result.Code) {
	exchange.recordRun(upstream, code)
	if exchange.callerLeft() || exchange.handler.ended() {
		return
	}
	if exchange.broke || code == result.UpstreamUnreachable {
		exchange.handler.Quota.Failed(time.Now(), upstream, exchange.sentAt)
	}
	switch code {
	case result.UpstreamUnreachable:
		exchange.handler.recordOutcome(upstream, health.Broken)
	case result.OutcomeUnknown, result.AnswerCut:
		exchange.handler.Metrics.CountEvent("attempt.broken")
		exchange.handler.recordOutcome(upstream, health.Broken)
	case result.QueueFull:
		exchange.handler.recordOutcome(upstream, health.Succeeded)
	}
}
