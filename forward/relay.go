package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

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
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the longest event of a stream.
	maxEventBytes = 1 << 20
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
	pool := exchange.pool()
	if !exchange.chooseNext(pool) {
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

// stream is the state of a relayed event stream.
type stream struct {
	// pending holds the bytes after the last complete event.
	pending []byte
	// sequence is that of the events that were written to the caller.
	sequence eventSequence
}

// relayStream relays complete events as they arrive. If the stream breaks,
// another upstream continues it where the route allows that.
func (exchange *exchange) relayStream(answer *answer) result.Code {
	var stream stream
	if exchange.head.TakesUp() {
		stream.sequence = resumeAfter(exchange.head.LastEvent)
	}
	first := answer
	controller := http.NewResponseController(exchange.writer)
	for {
		err := exchange.copyEvents(first, answer, &stream, controller)
		if err == nil {
			exchange.handler.recordOutcome(answer.upstream, health.Succeeded)
			exchange.recordSurvival(answer)
			answer.progress.observeOutput()
			answer.release()
			if !exchange.started {
				exchange.copyHeader(first)
				exchange.start(first.response.StatusCode)
			}
			exchange.extendWriteDeadline()
			return result.OK
		}
		exchange.setCause(err)
		code := exchange.truncationCode()
		exchange.recordFailure(answer.upstream, code)
		answer.fail(exchange.broke)
		if exchange.callerLeft() {
			return code
		}
		if !exchange.started {
			return code
		}
		if exchange.originRefuted(answer) {
			exchange.refuteOrigin(answer)
			exchange.aborted = true
			return result.AnswerCut
		}
		next := exchange.resume(code, stream.sequence.lastID)
		if next == nil {
			exchange.aborted = true
			return result.AnswerCut
		}
		stream.pending = stream.pending[:0]
		stream.sequence.resume()
		answer = next
	}
}

var (
	errPartialEvent = errors.New("stream ended inside an event")
	errBrokenEvent  = errors.New("stream ended with its connection inside an event")
	errNoEvent      = errors.New("stream ended with its connection before its first event")
	errEventTooLong = errors.New("event too long")
)

// copyEvents relays the events of answer until its end. It returns nil if the
// stream is complete. The header of first is written before the first event.
func (exchange *exchange) copyEvents(first, answer *answer, stream *stream, controller *http.ResponseController) error {
	buffer := make([]byte, streamBufferBytes)
	for {
		count, err := answer.response.Body.Read(buffer)
		if length := stream.add(buffer[:count]); length > 0 {
			readAt, events := time.Now(), bytes.Count(stream.pending[:length], []byte(eventEnd))
			if err := exchange.writeEvents(first, stream, length, controller); err != nil {
				return err
			}
			answer.progress.observeEvents(readAt, events, &stream.sequence)
		}
		if len(stream.pending) > maxEventBytes || !exchange.mayHold(2*len(stream.pending)) {
			return errEventTooLong
		}
		switch {
		case errors.Is(err, io.EOF):
			return exchange.checkEnd(answer, stream)
		case err != nil:
			return err
		}
	}
}

// checkEnd returns an error if a stream that has ended is not complete: if it ended
// inside an event, or with its connection before the first one of its answer.
func (exchange *exchange) checkEnd(answer *answer, stream *stream) error {
	inEvent := len(bytes.TrimSpace(stream.pending)) > 0
	switch {
	case inEvent && answer.endsWithConnection():
		return errBrokenEvent
	case inEvent:
		return errPartialEvent
	case answer.endsWithConnection() && (!exchange.started || stream.sequence.resumed):
		return errNoEvent
	}
	return nil
}

// writeEvents writes the first length bytes of the pending events, which are complete
// events, to the caller, up to the first that is not the next of the stream.
func (exchange *exchange) writeEvents(first *answer, stream *stream, length int, controller *http.ResponseController) error {
	good, checkErr := stream.check(length)
	if checkErr != nil {
		exchange.handler.Metrics.CountEvent("stream.rejected")
	}
	if good == 0 {
		return checkErr
	}
	if !exchange.started {
		exchange.recordOrigin(first)
		exchange.copyHeader(first)
		exchange.start(first.response.StatusCode)
		if !exchange.route.Resumable {
			exchange.releaseBody(first)
		}
	}
	if _, err := (callerWriter{exchange}).Write(stream.pending[:good]); err != nil {
		return err
	}
	if err := controller.Flush(); err != nil {
		exchange.callerFailed = true
		return err
	}
	rest := stream.pending[good:]
	if exchange.reserved > 0 && exchange.earlier == 0 && len(rest) <= ownBufferBytes/2 {
		// The long event has been written, and its buffer is not needed any more.
		stream.pending = append([]byte(nil), rest...)
		exchange.releaseAnswer()
		return checkErr
	}
	stream.pending = append(stream.pending[:0], rest...)
	return checkErr
}

// check returns how many of the first length bytes are events that follow those before, and
// an error if not all of them are.
func (stream *stream) check(length int) (int, error) {
	good := 0
	for good < length {
		end := bytes.Index(stream.pending[good:length], []byte(eventEnd))
		if end < 0 {
			break
		}
		if err := stream.sequence.add(stream.pending[good : good+end]); err != nil {
			return good, err
		}
		good += end + len(eventEnd)
	}
	return good, nil
}

// eventEnd ends an event.
const eventEnd = "\n\n"

// add appends data to the pending bytes. It returns the length of the part of
// them that consists of complete events.
func (stream *stream) add(data []byte) int {
	// The bytes before data hold no end of an event, but may hold its first part.
	searched := max(len(stream.pending)-len(eventEnd)+1, 0)
	stream.pending = append(stream.pending, data...)
	end := bytes.LastIndex(stream.pending[searched:], []byte(eventEnd))
	if end < 0 {
		return 0
	}
	return searched + end + len(eventEnd)
}

// resume asks other upstreams for the rest of a stream. It returns nil if the
// route does not allow that or no upstream can continue the stream.
func (exchange *exchange) resume(code result.Code, lastEvent string) *answer {
	for lastEvent != "" && exchange.route.Resumable {
		pool := exchange.pool()
		if pool == nil || !exchange.shouldRetry(code, pool) {
			return nil
		}
		exchange.handler.Metrics.CountRetry(result.AnswerCut)
		if !exchange.chooseNext(pool) {
			return nil
		}
		var answer *answer
		answer, code = exchange.attempt(lastEvent)
		if code == result.OK && isEventStream(answer.response) {
			exchange.logResumed(answer, lastEvent)
			return answer
		}
		if code == result.OK {
			code = exchange.rejectAnswer(answer, errNoStream)
		}
		exchange.logAttempt(code)
	}
	return nil
}
