package forward

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/socket"
)

const (
	// ownBufferBytes is how much of an answer each request may hold without a holding in the
	// memory account: nearly all answers and events are shorter.
	ownBufferBytes = 8 << 10
	// reserveStep is the least by which a request reserves more.
	reserveStep = 16 << 10
)

// mayHold reports whether the request may hold count bytes of an answer. What it reserves
// for that is released at the end of the request. No body is given up for it: an answer
// that may not be held is relayed while it arrives.
func (exchange *exchange) mayHold(count int) bool {
	missing := int64(count) - ownBufferBytes - (exchange.reserved - exchange.earlier)
	if missing <= 0 {
		return true
	}
	missing = max(missing, reserveStep)
	if !exchange.handler.Memory.TryGrow(&exchange.answerHolding, missing) {
		exchange.handler.Metrics.CountEvent("answer.buffer.full")
		return false
	}
	exchange.reserved += missing
	return true
}

// releaseMemory releases what the request holds.
func (exchange *exchange) releaseMemory() {
	if exchange.bodyHeld {
		exchange.bodyHeld = false
		exchange.handler.Memory.Release(&exchange.bodyHolding)
	}
	exchange.releaseAnswer()
}

// releaseBody releases the body of a request that is not sent again. A body that is still being
// sent, as its upstream has answered early, is held until the end of the request.
func (exchange *exchange) releaseBody(answer *answer) {
	// The fingerprint is that of the body, and goes into the log.
	exchange.suspect()
	exchange.body = nil
	if exchange.bodyHeld && !answer.sending() {
		exchange.bodyHeld = false
		exchange.handler.Memory.Release(&exchange.bodyHolding)
	}
}

// releaseAnswer releases what the request holds of its answer.
func (exchange *exchange) releaseAnswer() {
	if exchange.reserved > 0 {
		exchange.reserved, exchange.earlier = 0, 0
		exchange.handler.Memory.Release(&exchange.answerHolding)
	}
}

// readHeld reads an answer's body to its end, as far as the request may hold it. It reports
// whether that is the whole body.
func (exchange *exchange) readHeld(body io.Reader) ([]byte, bool, error) {
	var read []byte
	for len(read) <= maxBufferedBytes && exchange.mayHold(2*max(len(read), streamBufferBytes)) {
		if len(read) == cap(read) {
			grown := make([]byte, len(read), 2*max(len(read), streamBufferBytes))
			copy(grown, read)
			read = grown
		}
		count, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+count]
		if errors.Is(err, io.EOF) {
			return read, true, nil
		}
		if err != nil {
			return read, false, err
		}
	}
	return read, false, nil
}

const (
	// writePieceBytes is the most that is written to a caller at a time, so that its
	// progress shows.
	writePieceBytes = 64 << 10
	// copyBufferBytes is the size of the buffer of an answer that is relayed while it
	// arrives.
	copyBufferBytes = 16 << 10
)

// callerWriter writes the body of the answer to the caller, and records a failure
// as the caller's: its error looks like that of a connection to an upstream.
type callerWriter struct {
	exchange *exchange
}

// Write writes data to the caller. It fails if the caller reads nothing for memory.MaxStall,
// or if what the request holds for it has been given up.
func (callerWriter callerWriter) Write(data []byte) (int, error) {
	exchange := callerWriter.exchange
	if exchange.reserved > 0 {
		exchange.watchAnswer()
		defer exchange.keepAnswer()
	}
	exchange.conn.waitForReader(time.Now())
	defer exchange.conn.endWait()
	written := 0
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		exchange.moveWriteDeadline(time.Now())
		count, err := exchange.writer.Write(piece)
		written += count
		if err != nil {
			exchange.callerFailed = true
			return written, err
		}
		if written == len(data) {
			return written, nil
		}
		now := time.Now()
		exchange.conn.recordProgress(now, count)
		if exchange.answerWatched {
			exchange.handler.Memory.Progress(now, &exchange.answerHolding, count)
		}
	}
}

// watchAnswer says that the caller has to read what the request holds of its answer: it may
// be given up from now on, which fails the write.
func (exchange *exchange) watchAnswer() {
	exchange.answerWatched = true
	exchange.handler.Memory.WatchAnswer(time.Now(), &exchange.answerHolding, exchange.callerStalls, exchange.interruptWrite)
}

// callerStalls reports whether the caller has not taken all that was written of its answer.
func (exchange *exchange) callerStalls() bool {
	return exchange.conn == nil || !socket.HasSentAll(exchange.conn.Conn)
}

// keepAnswer ends what watchAnswer began.
func (exchange *exchange) keepAnswer() {
	exchange.answerWatched = false
	exchange.handler.Memory.Keep(&exchange.answerHolding)
}

// interruptWrite ends the write of an answer that is given up.
func (exchange *exchange) interruptWrite() {
	exchange.setWriteDeadline(time.Unix(1, 0))
}

// moveWriteDeadline sets by when the next bytes have to be written to the caller.
func (exchange *exchange) moveWriteDeadline(now time.Time) {
	deadline := earlier(exchange.deadline.Add(writeGrace), now.Add(memory.MaxStall))
	if deadline.Sub(exchange.writeDeadline) < deadlineStep {
		return
	}
	exchange.writeDeadline = deadline
	exchange.setWriteDeadline(deadline)
	// The answer may have been given up while the deadline was moved.
	if exchange.answerWatched && exchange.handler.Memory.GivenUp(&exchange.answerHolding) {
		exchange.interruptWrite()
	}
}

// extendWriteDeadline gives the caller time to read the end of its answer: net/http writes the
// last bytes after the handler has returned, and the upstream may have paused before the end
// for longer than the last deadline allowed.
func (exchange *exchange) extendWriteDeadline() {
	exchange.writeDeadline = time.Time{}
	exchange.moveWriteDeadline(time.Now())
}
