package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the longest event of a stream.
	maxEventBytes = 1 << 20
	// eventEnd ends an event.
	eventEnd = "\n\n"
)

var (
	errPartialEvent = errors.New("stream ended inside an event")
	errBrokenEvent  = errors.New("stream ended with its connection inside an event")
	errNoEvent      = errors.New("stream ended with its connection before its first event")
	errEventTooLong = errors.New("event too long")
)

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
			// The caller may have closed its sending half only.
			exchange.aborted = exchange.started
			return code
		}
		if !exchange.started {
			return code
		}
		exchange.awaitRow(answer)
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
		if _, found := exchange.chooseNext(); !found {
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
