package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// defaultMaxBodyBytes limits a request body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// minPartBytes and maxPartBytes are the sizes of the parts in which a body is kept. The
	// first part is small and the others grow as the body arrives, so that an announced
	// length alone takes no memory; no part is copied to make room. The parts of a small body
	// are at most smallPartBytes, so that little of the last one stays empty. The first part
	// is not counted in the memory account, but with its connection.
	minPartBytes   = 2 << 10
	smallPartBytes = 16 << 10
	maxPartBytes   = 64 << 10
	// deadlineStep is the least by which the deadline for the next byte of a body, or the
	// next write of an answer, is moved.
	deadlineStep = time.Second
	// progressBytes is how many bytes a caller has to send or read to count as making
	// progress, and checkBytes how many are read between two checks of the progress: a chunk
	// may bring as little as a byte.
	progressBytes = 16 << 10
	checkBytes    = 16 << 10
)

var errNoRoom = errors.New("no memory left for the body")

// bodyReader reads the body of a request into parts.
type bodyReader struct {
	exchange   *exchange
	controller *http.ResponseController
	startedAt  time.Time
	// deadline is when the next byte has to arrive.
	deadline time.Time
	// announced is the length of the body, or -1.
	announced int64
	limit     int64
	read      int64
	// unchecked counts the bytes since the last check of the progress.
	unchecked int
}

func (exchange *exchange) readBody() result.Code {
	limit := int64(exchange.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if exchange.request.ContentLength > limit {
		return result.BodyTooLarge
	}
	if exchange.request.ContentLength == 0 {
		return result.OK
	}
	reader := &bodyReader{
		exchange:   exchange,
		controller: http.NewResponseController(exchange.writer),
		startedAt:  time.Now(),
		announced:  exchange.request.ContentLength,
		limit:      limit,
	}
	exchange.conn.waitForSender(reader.startedAt)
	code := reader.readAll()
	exchange.conn.endWait()
	if reader.exchange.bodyHeld && !exchange.handler.Memory.Keep(&exchange.bodyHolding) {
		code = result.MemoryFull
	}
	if code != result.OK {
		return code
	}
	if err := reader.controller.SetReadDeadline(time.Time{}); err != nil {
		exchange.handler.Logger.Debug("Could not clear the read deadline.", "Error", err)
	}
	return result.OK
}

// readAll reads the body to its end.
func (reader *bodyReader) readAll() result.Code {
	exchange := reader.exchange
	reader.moveDeadline()
	for {
		part, hasRoom := reader.newPart()
		if !hasRoom {
			exchange.setCause(errNoRoom)
			return result.MemoryFull
		}
		count, err := reader.fill(part)
		if count > 0 {
			exchange.body = append(exchange.body, part[:count])
		}
		switch {
		case reader.read > reader.limit:
			return result.BodyTooLarge
		case errors.Is(err, io.EOF):
			return result.OK
		case err != nil:
			return reader.failureCode(err)
		}
	}
}

// newPart returns an empty part for the next bytes, and whether there is room for it. All
// but the first are held in the memory account, and may be given up from then on.
func (reader *bodyReader) newPart() ([]byte, bool) {
	// A byte more than the limit shows that the body is too large.
	size := min(max(reader.read, minPartBytes), maxPartBytes, reader.limit+1-reader.read)
	if reader.read < memory.MaxSmallBytes {
		size = min(size, smallPartBytes)
	}
	if reader.announced >= 0 {
		size = min(size, reader.announced-reader.read)
	}
	if reader.read == 0 {
		return make([]byte, size), true
	}
	account, holding := &reader.exchange.handler.Memory, &reader.exchange.bodyHolding
	now := time.Now()
	if !reader.exchange.bodyHeld {
		reader.exchange.bodyHeld = true
		account.Watch(now, holding, reader.interrupt)
	}
	if !account.Grow(now, holding, size) {
		return nil, false
	}
	return make([]byte, size), true
}

// interrupt ends the reading of a body that is given up.
func (reader *bodyReader) interrupt() { _ = reader.controller.SetReadDeadline(time.Unix(1, 0)) }

// fill reads until the part is full or the body ends.
func (reader *bodyReader) fill(part []byte) (int, error) {
	filled := 0
	for filled < len(part) {
		count, err := reader.exchange.request.Body.Read(part[filled:])
		filled += count
		reader.read += int64(count)
		if err != nil {
			return filled, err
		}
		if reader.read == reader.announced {
			// The end of the body is known without another read.
			return filled, io.EOF
		}
		if reader.unchecked += count; reader.unchecked >= checkBytes {
			reader.checkProgress()
		}
	}
	return filled, nil
}

// checkProgress records the bytes since the last check.
func (reader *bodyReader) checkProgress() {
	now := time.Now()
	reader.moveDeadline()
	if reader.exchange.bodyHeld {
		reader.exchange.handler.Memory.Progress(now, &reader.exchange.bodyHolding, reader.unchecked)
	}
	reader.exchange.conn.recordProgress(now, reader.unchecked)
	reader.unchecked = 0
}

// moveDeadline sets by when the next byte has to arrive.
func (reader *bodyReader) moveDeadline() {
	deadline := earlier(reader.startedAt.Add(memory.BodyTime(reader.read)), reader.exchange.deadline)
	if deadline.Sub(reader.deadline) < deadlineStep {
		return
	}
	reader.deadline = deadline
	if err := reader.controller.SetReadDeadline(deadline); err != nil {
		reader.exchange.handler.Logger.Debug("Could not set the read deadline.", "Error", err)
	}
	// The body may have been given up while the deadline was moved.
	if reader.exchange.bodyHeld && reader.exchange.handler.Memory.GivenUp(&reader.exchange.bodyHolding) {
		reader.interrupt()
	}
}

// failureCode returns the code of a request whose body could not be read to its end.
func (reader *bodyReader) failureCode(err error) result.Code {
	exchange := reader.exchange
	exchange.setCauseText(err.Error())
	if reader.exchange.bodyHeld && exchange.handler.Memory.GivenUp(&exchange.bodyHolding) {
		exchange.setCause(errNoRoom)
		return result.MemoryFull
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.BodyTooSlow
	}
	return result.MalformedBody
}
