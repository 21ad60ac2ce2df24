package forward

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// defaultBufferBytes limits the Buffers whose Limit is zero.
	defaultBufferBytes ident.Bytes = 64 << 20
	// ownBufferBytes is how much of an answer each request may hold on its own: nearly all
	// answers and events are shorter.
	ownBufferBytes = 32 << 10
	// reserveStep is the least by which a request reserves more.
	reserveStep = 64 << 10
)

// Buffers bounds the bytes of answers that all requests together hold in memory, so that
// upstreams which send without end can't use up what the process has. The zero value is
// ready to use. It is safe for concurrent use.
type Buffers struct {
	// Limit is the most that requests hold beyond ownBufferBytes each; zero means
	// defaultBufferBytes. It is set before use.
	Limit ident.Bytes

	held atomic.Int64
}

// reserve reserves bytes and reports whether there were as many left.
func (buffers *Buffers) reserve(count int64) bool {
	limit := buffers.Limit
	if limit == 0 {
		limit = defaultBufferBytes
	}
	if buffers.held.Add(count) > int64(limit) {
		buffers.held.Add(-count)
		return false
	}
	return true
}

func (buffers *Buffers) release(count int64) { buffers.held.Add(-count) }

// Held returns the bytes that are reserved.
func (buffers *Buffers) Held() ident.Bytes { return ident.Bytes(buffers.held.Load()) }

// mayHold reports whether the request may hold count bytes of an answer. What it reserves
// for that is released at the end of the request.
func (exchange *exchange) mayHold(count int) bool {
	missing := int64(count) - ownBufferBytes - exchange.reserved
	if missing <= 0 {
		return true
	}
	missing = max(missing, reserveStep)
	if !exchange.handler.Buffers.reserve(missing) {
		exchange.handler.Metrics.CountEvent("answer.buffer.full")
		return false
	}
	exchange.reserved += missing
	return true
}

// releaseBuffers releases what the request has reserved.
func (exchange *exchange) releaseBuffers() {
	exchange.handler.Buffers.release(exchange.reserved)
	exchange.reserved = 0
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
