package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// maxBufferedBytes is the longest plain answer that is read completely
	// before any of it is relayed, so that the request can be retried if the
	// answer is truncated.
	maxBufferedBytes = 1 << 20
	// writeGrace is how long after the request's deadline its answer may still
	// be written.
	writeGrace = time.Second
)

// relay writes an answer to the caller. If it returns a code other than OK and
// has not started the caller's answer, the request may be sent again.
func (exchange *exchange) relay(answer *answer) result.Code {
	success := answer.response.StatusCode < http.StatusMultipleChoices
	switch {
	case exchange.route.Kind != routing.Stream || !success:
		return exchange.relayPlain(answer)
	case exchange.mayBeStream(answer):
		return exchange.relayStream(answer)
	case exchange.head.TakesUp():
		return exchange.rejectAnswer(answer, errNoStream)
	}
	return exchange.relayPlain(answer)
}

// mayBeStream reports whether a successful answer on a stream route is a stream. A first
// answer may leave its type out.
func (exchange *exchange) mayBeStream(answer *answer) bool {
	if isEventStream(answer.response) {
		return true
	}
	untyped := answer.response.StatusCode == http.StatusOK && answer.response.Header.Get("Content-Type") == ""
	return untyped && !exchange.head.TakesUp()
}

// rejectAnswer discards an answer that is not what the request asked for. The request has run
// there.
func (exchange *exchange) rejectAnswer(answer *answer, reason error) result.Code {
	exchange.setCause(reason)
	exchange.handler.Metrics.CountEvent("stream.rejected")
	exchange.handler.recordOutcome(answer.upstream, health.ServerError)
	answer.discard()
	return result.OutcomeUnknown
}

// relayPlain relays an answer that is no event stream. It reads the answer
// completely before it writes any of it, unless the answer is too long.
func (exchange *exchange) relayPlain(answer *answer) result.Code {
	body, whole, err := exchange.readHeld(answer.response.Body)
	if err == nil && !whole {
		return exchange.relayUnbuffered(answer, body)
	}
	if err != nil {
		exchange.setCause(err)
		code := exchange.truncationCode()
		exchange.recordFailure(answer.upstream, code)
		answer.fail(exchange.broke)
		return code
	}
	status := answer.response.StatusCode
	answer.progress.observePlain(status)
	answer.release()
	exchange.recordSurvival(answer)
	if status >= http.StatusInternalServerError {
		exchange.handler.recordOutcome(answer.upstream, health.ServerError)
		if exchange.shouldRetry(result.UpstreamFailed, exchange.pool()) {
			exchange.handler.Metrics.CountRetry(result.UpstreamFailed)
			return exchange.retryServerError(answer, body)
		}
	} else {
		exchange.handler.recordOutcome(answer.upstream, health.Succeeded)
	}
	return exchange.writePlain(answer, body)
}

// relayUnbuffered relays an answer that is longer than maxBufferedBytes, or than the
// request may hold, while it arrives. beginning holds the bytes that were read already.
func (exchange *exchange) relayUnbuffered(answer *answer, beginning []byte) result.Code {
	exchange.copyHeader(answer)
	if answer.response.ContentLength > 0 {
		exchange.writer.Header().Set("Content-Length", strconv.FormatInt(answer.response.ContentLength, 10))
	}
	exchange.start(answer.response.StatusCode)
	exchange.releaseBody(answer)
	_, err := callerWriter{exchange}.Write(beginning)
	exchange.releaseAnswer()
	if err == nil {
		_, err = io.CopyBuffer(callerWriter{exchange}, answer.response.Body, make([]byte, copyBufferBytes))
	}
	if err != nil {
		exchange.setCause(err)
		exchange.recordFailure(answer.upstream, exchange.truncationCode())
		answer.discard()
		exchange.aborted = true
		return result.AnswerCut
	}
	exchange.handler.recordOutcome(answer.upstream, health.Succeeded)
	exchange.recordSurvival(answer)
	answer.release()
	exchange.extendWriteDeadline()
	return result.OK
}

// retryServerError sends a request that one upstream failed with a server error
// to another one. If that gives no answer, the caller gets the server error
// with its body.
func (exchange *exchange) retryServerError(failed *answer, body []byte) result.Code {
	if _, found := exchange.chooseNext(); !found {
		return exchange.writePlain(failed, body)
	}
	exchange.earlier = exchange.reserved
	answer, code := exchange.attempt("")
	if code == result.OK {
		code = exchange.relay(answer)
	}
	if code == result.OK || exchange.started || exchange.callerLeft() {
		return code
	}
	exchange.logAttempt(code)
	return exchange.writePlain(failed, body)
}

// writePlain writes an answer whose body was read completely.
func (exchange *exchange) writePlain(answer *answer, body []byte) result.Code {
	header := exchange.writer.Header()
	exchange.copyHeader(answer)
	switch {
	case exchange.request.Method == http.MethodHead && answer.response.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(answer.response.ContentLength, 10))
	case hasBody(exchange.request.Method, answer.response.StatusCode):
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	exchange.start(answer.response.StatusCode)
	exchange.releaseBody(answer)
	if _, err := (callerWriter{exchange}).Write(body); err != nil {
		exchange.setCause(err)
	}
	if answer.response.StatusCode >= http.StatusInternalServerError {
		exchange.code = result.UpstreamFailed
	}
	return exchange.code
}

// hasBody reports whether an answer with status to a request with method has a
// body, even if the body is empty.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeader copies the header of the upstream's answer and suppresses the
// headers that net/http would add.
func (exchange *exchange) copyHeader(answer *answer) {
	header := exchange.writer.Header()
	closing := header.Get("Connection")
	platform.EncodeResponse(header, answer.response.Header)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, present := header[name]; !present {
			header[name] = nil
		}
	}
	if closing != "" {
		header.Set("Connection", "close")
	}
	exchange.closeIfLeaving(header)
}

// start sets the write deadline, writes the status to the caller and records
// the time to the first byte.
func (exchange *exchange) start(status int) {
	exchange.started = true
	exchange.status = status
	exchange.firstByte = time.Now()
	exchange.handler.Metrics.ObserveFirstByte(exchange.route.Kind.String(), exchange.firstByte.Sub(exchange.arrived))
	exchange.moveWriteDeadline(exchange.firstByte)
	exchange.writer.WriteHeader(status)
}

// setWriteDeadline limits how long writing to a caller that does not read may
// take. net/http clears the deadline before the next request.
func (exchange *exchange) setWriteDeadline(until time.Time) {
	if err := http.NewResponseController(exchange.writer).SetWriteDeadline(until); err != nil {
		exchange.handler.Logger.Debug("Could not set the write deadline.", "Error", err)
	}
}

// callerLeft reports whether the caller has disconnected.
func (exchange *exchange) callerLeft() bool {
	return exchange.callerFailed || exchange.request.Context().Err() != nil
}

// truncationCode returns the code of a request whose answer was truncated.
func (exchange *exchange) truncationCode() result.Code {
	if !time.Now().Before(exchange.deadline) {
		return result.DeadlineExpired
	}
	return result.OutcomeUnknown
}
