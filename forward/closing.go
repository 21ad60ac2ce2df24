package forward

import (
	"time"

	"github.com/hickoryhead/hickoryhead/socket"
)

// A connection of a caller is open, closing or closed. The router closes it at once while no
// goroutine reads from it. While one does, that one may have bytes which it has not recorded yet, so
// that the connection is only closing: its read ends by a deadline, and the goroutine closes it
// unless the read has brought bytes or more have come. Then the connection is open again, and what
// was read is served.

// keepIfUnread keeps open a connection that was to be closed, if bytes have come since the read of
// its goroutine was made to end. It reports whether they have.
func (checkedConn *checkedConn) keepIfUnread() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	if !checkedConn.closing || checkedConn.closed || !socket.HasUnread(checkedConn.Conn) {
		return false
	}
	checkedConn.cancelClose()
	checkedConn.listener.reportKept(KeptUnread)
	return true
}

// cancelClose keeps open a connection that was to be closed. The caller holds mu.
func (checkedConn *checkedConn) cancelClose() {
	checkedConn.closing, checkedConn.closeReason = false, ""
	// An error means that the connection is closed.
	_ = checkedConn.Conn.SetReadDeadline(checkedConn.readDeadline)
}

// closeNow closes the connection: the next read or write of its goroutine fails. The caller sees
// the close; an error would change nothing.
func (checkedConn *checkedConn) closeNow() { _ = checkedConn.Conn.Close() }

// closeUnused closes the connection unless a request has begun, and reports whether it does.
func (checkedConn *checkedConn) closeUnused(reason CloseReason) bool {
	return checkedConn.beginClose(reason, func() bool { return checkedConn.requestStartedAt.IsZero() })
}

// closeHalfRead closes the connection if a request has begun whose head has neither ended nor
// brought bytes since a time, and reports whether it does.
func (checkedConn *checkedConn) closeHalfRead(reason CloseReason, since time.Time) bool {
	return checkedConn.beginClose(reason, func() bool {
		return !checkedConn.requestStartedAt.IsZero() && !checkedConn.headIsWhole() && checkedConn.readAt.Before(since)
	})
}

// endStalledRead makes the read of a body end whose caller has stalled, and reports whether there
// is one. Without one it is the router that does not go on. Behind a whole body net/http reads only
// to notice that the caller leaves.
func (checkedConn *checkedConn) endStalledRead(reason CloseReason) bool {
	return checkedConn.beginClose(reason, func() bool { return checkedConn.reading && checkedConn.scanner.InBody() })
}

// beginClose closes the connection if mayClose, which is called while mu is held, returns true
// and no bytes wait to be read. While a goroutine reads it only makes that read end: the goroutine
// closes the connection, unless it has read bytes, which it serves. It reports whether the
// connection is closed or to be closed.
func (checkedConn *checkedConn) beginClose(reason CloseReason, mayClose func() bool) bool {
	checkedConn.mu.Lock()
	if checkedConn.closed || !mayClose() {
		checkedConn.mu.Unlock()
		return false
	}
	if socket.HasUnread(checkedConn.Conn) {
		checkedConn.listener.reportKept(KeptUnread)
		checkedConn.mu.Unlock()
		return false
	}
	if !checkedConn.closing && !checkedConn.reading {
		checkedConn.listener.reportClosed(reason)
	}
	checkedConn.closing, checkedConn.closeReason = true, reason
	reading := checkedConn.reading
	checkedConn.closed = !reading
	if reading {
		// An error means that the connection is closed.
		_ = checkedConn.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	checkedConn.mu.Unlock()
	if !reading {
		checkedConn.closeNow()
	}
	return true
}

// isClosing reports whether the connection is closed, or to be closed unless bytes have been read.
func (checkedConn *checkedConn) isClosing() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.closing
}

// isClosed reports whether the router has closed the connection for good.
func (checkedConn *checkedConn) isClosed() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.closed
}

// closeFor closes the connection for a reason.
func (checkedConn *checkedConn) closeFor(reason CloseReason) {
	checkedConn.mu.Lock()
	checkedConn.closing, checkedConn.closed, checkedConn.closeReason = true, true, reason
	checkedConn.listener.reportClosed(reason)
	checkedConn.mu.Unlock()
	checkedConn.closeNow()
}
