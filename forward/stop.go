package forward

import (
	"context"
	"net/http"
	"time"
)

// stopRetryAfter is the Retry-After of a request that a router refuses because it stops:
// callers reach another router with their next connection.
const stopRetryAfter = 20 * time.Millisecond

// Stop bounds the requests of a router that stops as planned. The zero value is that of a
// router that runs on.
type Stop struct {
	// LateFrom is from when requests are late: the balancer sends no more callers then.
	LateFrom time.Time
	// AnswerBy is when the last request gets its answer, so that none is cut when the
	// process ends.
	AnswerBy time.Time
}

// Takes reports whether a request that was read at now, and has to be answered until its
// deadline, may be sent to an upstream. One that is late is refused unless its time ends
// before the router does.
func (stop Stop) Takes(now, deadline time.Time) bool {
	return stop.AnswerBy.IsZero() || now.Before(stop.LateFrom) || !deadline.After(stop.AnswerBy)
}

// Deadline returns until when a request with the given deadline may wait for its answer.
func (stop Stop) Deadline(deadline time.Time) time.Time {
	if stop.AnswerBy.IsZero() {
		return deadline
	}
	return earlier(deadline, stop.AnswerBy)
}

// Leave begins a planned stop: answers close their connections from now on, late requests
// are refused, and at AnswerBy those that still wait for their upstream are ended with an
// answer. It is called once.
func (handler *Handler) Leave(stop Stop) {
	handler.stop.Store(&stop)
	handler.initEnding()
	time.AfterFunc(time.Until(stop.AnswerBy), handler.end)
}

// leaving reports whether a planned stop has begun.
func (handler *Handler) leaving() bool { return handler.stop.Load() != nil }

// currentStop returns the bounds of the planned stop, if one has begun.
func (handler *Handler) currentStop() Stop {
	if stop := handler.stop.Load(); stop != nil {
		return *stop
	}
	return Stop{}
}

// initEnding creates the context that ends when requests may wait no longer.
func (handler *Handler) initEnding() {
	handler.endingOnce.Do(func() { handler.ending, handler.end = context.WithCancel(context.Background()) })
}

// closeAtEnd calls closing when requests may wait no longer, until the returned function is
// called.
func (handler *Handler) closeAtEnd(closing func()) func() bool {
	handler.initEnding()
	return context.AfterFunc(handler.ending, closing)
}

// ended reports whether requests may wait no longer.
func (handler *Handler) ended() bool {
	handler.initEnding()
	return handler.ending.Err() != nil
}

// closeIfLeaving asks the caller to use another connection if the router stops.
func (exchange *exchange) closeIfLeaving(header http.Header) {
	if exchange.handler.leaving() {
		header.Set("Connection", "close")
	}
}
