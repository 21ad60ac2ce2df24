package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// maxLinger is how long a refused caller may go on sending its body before its
	// connection is closed, and lingerStall how long it may pause: closing it at once would
	// destroy the answer. The largest body takes 3.4 s on a link of 10 Mbit/s. What is beyond
	// maxLingerBytes belongs to no request of a legal size.
	maxLinger      = 5 * time.Second
	lingerStall    = time.Second
	maxLingerBytes = 16 << 20
	// lingerBufferBytes is the size of the buffer into which such bytes are read.
	lingerBufferBytes = 4 << 10
)

// lingers reports whether the caller of a request that was refused with code may still be
// sending its body.
func lingers(code result.Code) bool {
	return code == result.MemoryFull || code == result.BodyTooSlow || code == result.BodyTooLarge
}

// prepareToLinger makes the answer of a refused request the last on its connection, and
// leaves the rest of its body unread for now.
func (exchange *exchange) prepareToLinger() {
	exchange.body = nil
	exchange.releaseMemory()
	exchange.writer.Header().Set("Connection", "close")
	if err := http.NewResponseController(exchange.writer).EnableFullDuplex(); err != nil {
		exchange.handler.Logger.Debug("Could not answer before the end of the body.", "Error", err)
	}
}

// linger sends the answer of a refused request, by the deadline that boundRefusal has set, and
// reads and drops what its caller still sends, for a short time: unread bytes would reset the
// connection, and the answer might get lost.
func (exchange *exchange) linger() {
	controller := http.NewResponseController(exchange.writer)
	exchange.conn.waitForReader(time.Now())
	if controller.Flush() != nil {
		return
	}
	exchange.conn.closeWrite()
	exchange.conn.waitForSender(time.Now())
	buffer := make([]byte, lingerBufferBytes)
	end := time.Now().Add(maxLinger)
	var source io.Reader = exchange.request.Body
	for dropped := 0; dropped < maxLingerBytes; {
		now := time.Now()
		if !now.Before(end) || controller.SetReadDeadline(earlier(end, now.Add(lingerStall))) != nil {
			return
		}
		count, err := source.Read(buffer)
		dropped += count
		switch {
		case err == nil:
		case dropped == 0 && !errors.Is(err, io.EOF) && exchange.conn != nil && source != exchange.conn.Conn:
			// A chunked body repeats the error that ended its reading, although the caller
			// still sends. The framing of what follows does not matter.
			source = exchange.conn.Conn
		default:
			return
		}
	}
}
