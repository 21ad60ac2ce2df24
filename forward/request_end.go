package forward

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/socket"
)

// EndReason says why a request that was read whole got no complete answer. It is empty for one
// that got it.
type EndReason string

// The reasons, as they appear in log lines and counters.
const (
	// EndCallerClosed is an end of the caller's sending half, EndReset a connection that the
	// caller's side reset.
	EndCallerClosed EndReason = "caller-closed"
	EndReset        EndReason = "reset"
	// EndReadDeadline and EndWriteDeadline are deadlines of the router on the connection.
	EndReadDeadline  EndReason = "read-deadline"
	EndWriteDeadline EndReason = "write-deadline"
	// EndClosed is a connection that the router closed, or whose answer it gave up.
	EndClosed EndReason = "closed"
	// EndUpstreamCut is an answer that its upstream cut, EndDeadline one that was still being
	// relayed at the deadline of its request.
	EndUpstreamCut EndReason = "upstream-cut"
	EndDeadline    EndReason = "deadline"
	// EndRouter is the end of the router, EndPanic a fault in it.
	EndRouter EndReason = "router-end"
	EndPanic  EndReason = "panic"
	// EndUnknown is any other one: the errors of the connection are in the log.
	EndUnknown EndReason = "unknown"
)

// requestEnd is how a request ended that got no complete answer, with the last errors of its
// connection. It is zero for an answered request.
type requestEnd struct {
	reason            EndReason
	readErr, writeErr error
	closeReason       CloseReason
}

func (end requestEnd) unanswered() bool { return end.reason != "" }

// byCaller reports whether the caller ended the request.
func (end requestEnd) byCaller() bool {
	return end.reason == EndCallerClosed || end.reason == EndReset
}

// handledRequest is a request whose handler has returned, but whose answer net/http may still have
// to write. The zero value is none.
type handledRequest struct {
	handler *Handler
	attempt ident.AttemptID
	status  int
	code    result.Code
}

// awaitWrite records a request whose answer net/http writes from now on.
func (checkedConn *checkedConn) awaitWrite(handled handledRequest) {
	if checkedConn == nil {
		return
	}
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.handled = handled
}

// Write writes to the connection. If that fails after the handler of a request has returned, the
// request is reported as unanswered.
func (checkedConn *checkedConn) Write(data []byte) (int, error) {
	count, err := checkedConn.Conn.Write(data)
	if count == 0 && checkedConn.extendLateWrite(err) {
		count, err = checkedConn.Conn.Write(data)
	}
	if err != nil {
		checkedConn.recordWriteError(err)
	}
	return count, err
}

// extendLateWrite moves the deadline of a write that the router has begun too late, as its caller
// has taken all that was written before, and reports whether it did.
func (checkedConn *checkedConn) extendLateWrite(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && socket.HasSentAll(checkedConn.Conn) &&
		checkedConn.Conn.SetWriteDeadline(time.Now().Add(writeGrace)) == nil
}

func (checkedConn *checkedConn) recordWriteError(err error) {
	checkedConn.mu.Lock()
	checkedConn.writeErr = err
	handled := checkedConn.handled
	checkedConn.handled = handledRequest{}
	checkedConn.mu.Unlock()
	if handled.handler != nil {
		handled.handler.reportUnwritten(handled, checkedConn.end(true))
	}
}

// end returns how a request ended whose answer could not be written, or whose caller left.
func (checkedConn *checkedConn) end(writeFailed bool) requestEnd {
	if checkedConn == nil {
		return requestEnd{reason: EndUnknown}
	}
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	end := requestEnd{readErr: checkedConn.readErr, writeErr: checkedConn.writeErr, closeReason: checkedConn.closeReason}
	if end.writeErr != nil && errors.Is(end.readErr, net.ErrClosed) {
		// net/http closes a connection to which it cannot write.
		end.readErr = nil
	}
	switch {
	case end.closeReason != "":
		end.reason = EndClosed
	case writeFailed && end.writeErr != nil:
		end.reason = reasonOf(end.writeErr, EndWriteDeadline)
	default:
		end.reason = reasonOf(end.readErr, EndReadDeadline)
	}
	return end
}

// reasonOf returns the reason for an error of a connection, which is deadline for a deadline.
func reasonOf(err error, deadline EndReason) EndReason {
	switch {
	case errors.Is(err, io.EOF):
		return EndCallerClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return deadline
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndReset
	}
	return EndUnknown
}

// recordGivenUp records that the answer that is being written has been given up: the connection
// is closed for that.
func (checkedConn *checkedConn) recordGivenUp() {
	if checkedConn == nil {
		return
	}
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	if checkedConn.closeReason == "" {
		checkedConn.closeReason = CloseGivenUp
		checkedConn.listener.reportClosed(CloseGivenUp)
	}
}

// requestEnd returns how the request ended, as far as the handler knows.
func (exchange *exchange) requestEnd() requestEnd {
	callerLeft := exchange.callerLeft()
	switch {
	case !exchange.returned:
		return exchange.endFor(EndPanic)
	case exchange.callerFailed && exchange.handler.Memory.GivenUp(&exchange.answerHolding):
		exchange.conn.recordGivenUp()
		return exchange.endFor(EndClosed)
	case exchange.callerFailed:
		return exchange.conn.end(true)
	case callerLeft && (exchange.aborted || exchange.code == result.CallerLeft):
		return exchange.conn.end(false)
	case exchange.aborted && exchange.handler.ended():
		return exchange.endFor(EndRouter)
	case exchange.aborted && !time.Now().Before(exchange.deadline):
		return exchange.endFor(EndDeadline)
	case exchange.aborted:
		return exchange.endFor(EndUpstreamCut)
	}
	return requestEnd{}
}

// endFor returns an end whose reason is not in the errors of the connection.
func (exchange *exchange) endFor(reason EndReason) requestEnd {
	end := exchange.conn.end(false)
	end.reason = reason
	return end
}

// logUnanswered counts a request that got no complete answer, and writes its line.
func (exchange *exchange) logUnanswered(end requestEnd) {
	if exchange.handler.countUnanswered(end) {
		exchange.log(slog.LevelWarn, exchange.handler.endAttributes(time.Now(), end))
	}
}

// reportUnwritten counts and logs a request whose answer could not be written after its handler had
// returned, so that the line of its end does not say so.
func (handler *Handler) reportUnwritten(handled handledRequest, end requestEnd) {
	if !handler.countUnanswered(end) {
		return
	}
	attributes := append([]slog.Attr{
		slog.String("Attempt", string(handled.attempt)),
		slog.Int("Status", handled.status),
		slog.String("Code", handled.code.Name()),
	}, handler.endAttributes(time.Now(), end)...)
	handler.Logger.LogAttrs(context.Background(), slog.LevelWarn, "Request ended without an answer.", attributes...)
}

// countUnanswered counts a request that got no complete answer, and reports whether it is logged:
// the lines of callers that left, or do not read, are limited.
func (handler *Handler) countUnanswered(end requestEnd) bool {
	handler.Metrics.CountEvent("request.unanswered." + string(end.reason))
	allowed := true
	switch {
	case end.byCaller():
		allowed = handler.LogLimiter.Allow()
	case end.reason == EndClosed:
		allowed = handler.allowBodyLog(time.Now())
	}
	if !allowed {
		handler.Metrics.CountEvent("log.request.omitted")
	}
	return allowed
}

// endAttributes describes how a request ended that got no complete answer, the configuration in
// force then, and the last stall of the process.
func (handler *Handler) endAttributes(now time.Time, end requestEnd) []slog.Attr {
	attributes := []slog.Attr{slog.String("EndReason", string(end.reason))}
	if end.closeReason != "" {
		attributes = append(attributes, slog.String("CloseReason", string(end.closeReason)))
	}
	if end.readErr != nil {
		attributes = append(attributes, slog.String("ReadError", errors.UnwrapAll(end.readErr).Error()))
	}
	if end.writeErr != nil {
		attributes = append(attributes, slog.String("WriteError", errors.UnwrapAll(end.writeErr).Error()))
	}
	if table := handler.Routes.Table(); table != nil {
		attributes = append(attributes, slog.Uint64("VersionInForce", uint64(table.Version)))
		if !table.InForceSince.IsZero() {
			attributes = append(attributes, slog.Int64("InForceMs", now.Sub(table.InForceSince).Milliseconds()))
		}
	}
	if handler.LastStall == nil {
		return attributes
	}
	if length, until := handler.LastStall(); !until.IsZero() {
		attributes = append(attributes, slog.Int64("StallMs", length.Milliseconds()), slog.Int64("StallAgoMs", now.Sub(until).Milliseconds()))
	}
	return attributes
}
