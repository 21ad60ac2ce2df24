package forward

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/framing"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/socket"
)

// contextKey is the type of the context keys of this package.
type contextKey int

const connContextKey contextKey = 0

// checkedConn is a caller's connection whose bytes are scanned for requests
// with ambiguous framing, and for heads that are too long.
type checkedConn struct {
	net.Conn
	listener  *Listener
	scanner   framing.Scanner
	ambiguous atomic.Bool

	// waitingSince is since when the caller has neither sent nor read progressBytes of a
	// body, in nanoseconds; zero while the router does not wait for it. It waits for the caller
	// to read if answering is set, else for it to send. progress counts bytes since then.
	waitingSince atomic.Int64
	answering    atomic.Bool
	progress     int

	// headHolding is what a long head takes until its request has been answered, and
	// heldHeadBytes how much the unfinished head takes there. headsRead counts the heads that
	// have ended; heldHead is the number of the finished head that is held, or zero.
	headHolding   memory.Holding
	heldHeadBytes int64
	headsRead     int
	heldHead      int

	// mu also guards changes of scanner, which the goroutine that reads makes.
	mu sync.Mutex
	// readAt is when bytes were last read, headStartedAt when the first ones of the next
	// request were, or zero. headsHandled counts the heads whose requests a handler has got, or
	// that were refused, and headsAnswered those whose requests have been answered.
	readAt        time.Time
	headStartedAt time.Time
	headsHandled  int
	headsAnswered int
	// reading is set while a goroutine reads, and closing once the connection is to be closed
	// because no request has begun, or none goes on: by that goroutine, unless it has read bytes
	// meanwhile. closed is set once that can't be taken back.
	reading, closing, closed bool
	// readDeadline is the deadline that was set for reads.
	readDeadline time.Time

	// readErr is how the last read failed, or nil if it brought bytes, and writeErr how the last
	// write did. closeReason is why the router closes the connection, or empty.
	readErr, writeErr error
	closeReason       CloseReason
	// handled is the request whose handler has returned, until its answer has been written.
	handled handledRequest
}

// Read reads from the connection. After a request with ambiguous framing it reads nothing more and
// returns io.EOF. A head that is too long, or for which there is no memory, is refused.
func (checkedConn *checkedConn) Read(buffer []byte) (int, error) {
	if checkedConn.ambiguous.Load() || !checkedConn.beginRead() {
		return 0, io.EOF
	}
	count, err := checkedConn.Conn.Read(buffer)
	if count == 0 && checkedConn.keepOpen() {
		count, err = checkedConn.Conn.Read(buffer)
	}
	if !checkedConn.endRead(buffer[:count], err) {
		checkedConn.ambiguous.Store(true)
	}
	if answer := checkedConn.holdHead(); answer != "" {
		checkedConn.refuseHead(answer, buffer)
		return 0, errHeadRefused
	}
	return count, err
}

// beginRead records that a goroutine reads. It returns false if the connection is being closed.
func (checkedConn *checkedConn) beginRead() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.reading = !checkedConn.closing
	return checkedConn.reading
}

// endRead records and scans the bytes that were read, and reports whether all requests so far
// were unambiguous. Bytes keep open a connection that was to be closed: what was read is served.
func (checkedConn *checkedConn) endRead(data []byte, err error) bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.reading = false
	checkedConn.readErr = err
	if len(data) == 0 {
		if checkedConn.closing && !checkedConn.closed {
			checkedConn.listener.reportClosed(checkedConn.closeReason)
		}
		return true
	}
	checkedConn.readAt = time.Now()
	if checkedConn.headStartedAt.IsZero() {
		checkedConn.headStartedAt = checkedConn.readAt
	}
	if checkedConn.closing && !checkedConn.closed {
		checkedConn.cancelClose()
		checkedConn.listener.reportKept(KeptRead)
	}
	return checkedConn.scanner.Scan(data)
}

// keepOpen keeps open a connection that was to be closed, if bytes have come since the read of
// its goroutine was made to end. It reports whether they have.
func (checkedConn *checkedConn) keepOpen() bool {
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

// SetReadDeadline sets the deadline for reads. It does not keep open a connection that is being
// closed.
func (checkedConn *checkedConn) SetReadDeadline(deadline time.Time) error {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.readDeadline = deadline
	if checkedConn.closing {
		return nil
	}
	return checkedConn.Conn.SetReadDeadline(deadline)
}

// closeWrite says to the caller that no more bytes follow.
func (checkedConn *checkedConn) closeWrite() {
	if checkedConn == nil {
		return
	}
	if conn, ok := checkedConn.Conn.(interface{ CloseWrite() error }); ok {
		// An error means that the caller has disconnected.
		_ = conn.CloseWrite()
	}
}

// closeNow closes the connection: the next read or write of its goroutine fails. The caller sees
// the close; an error would change nothing.
func (checkedConn *checkedConn) closeNow() { _ = checkedConn.Conn.Close() }

// Close closes the connection.
func (checkedConn *checkedConn) Close() error {
	if account := checkedConn.listener.Memory; account != nil {
		account.Release(&checkedConn.headHolding)
	}
	return checkedConn.Conn.Close()
}

// waitForSender records that the router waits for the caller to send.
func (checkedConn *checkedConn) waitForSender(now time.Time) { checkedConn.startWait(now, false) }

// waitForReader records that the router waits for the caller to read its answer.
func (checkedConn *checkedConn) waitForReader(now time.Time) { checkedConn.startWait(now, true) }

func (checkedConn *checkedConn) startWait(now time.Time, answering bool) {
	if checkedConn != nil {
		checkedConn.progress = 0
		checkedConn.answering.Store(answering)
		checkedConn.waitingSince.Store(now.UnixNano())
	}
}

// recordProgress records that the caller has sent or read count bytes.
func (checkedConn *checkedConn) recordProgress(now time.Time, count int) {
	if checkedConn == nil {
		return
	}
	if checkedConn.progress += count; checkedConn.progress >= progressBytes {
		checkedConn.startWait(now, checkedConn.answering.Load())
	}
}

// endWait records that the router does not wait for the caller any more.
func (checkedConn *checkedConn) endWait() {
	if checkedConn != nil {
		checkedConn.waitingSince.Store(0)
	}
}

// stalledFor returns for how long the router has waited for the caller without progress, but for
// its own stalls. A caller does not stall while the next step is the router's.
func (checkedConn *checkedConn) stalledFor(now time.Time, stalls *memory.Stalls) time.Duration {
	since := checkedConn.waitingSince.Load()
	if since == 0 {
		return 0
	}
	waited := stalls.Waited(now, time.Unix(0, since))
	if waited > minStall && checkedConn.awaitsRouter() {
		return 0
	}
	return waited
}

// awaitsRouter reports whether the caller has sent its whole body or bytes that wait to be read, or
// has taken all that was written of its answer.
func (checkedConn *checkedConn) awaitsRouter() bool {
	if checkedConn.answering.Load() {
		return socket.HasSentAll(checkedConn.Conn)
	}
	return !checkedConn.inBody() || socket.HasUnread(checkedConn.Conn)
}

// inBody reports whether the body of the request has not been read to its end.
func (checkedConn *checkedConn) inBody() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.scanner.InBody()
}

// hasBegun reports whether bytes of a request that has not been answered were read.
func (checkedConn *checkedConn) hasBegun() bool { return !checkedConn.headStart().IsZero() }

// headStart returns when the first bytes of the request were read that is being read or served,
// or zero if there were none.
func (checkedConn *checkedConn) headStart() time.Time {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.headStartedAt
}

// awaitHead records that a request has been answered, and returns how many have been. The first
// bytes of the next one may have been read before its answer ended.
func (checkedConn *checkedConn) awaitHead() int {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.headsAnswered = min(checkedConn.headsAnswered+1, checkedConn.scanner.Heads())
	checkedConn.headStartedAt = time.Time{}
	// net/http ends its pending read by a deadline between two requests.
	checkedConn.readErr, checkedConn.handled = nil, handledRequest{}
	if checkedConn.scanner.HeadBytes() > 0 || checkedConn.headIsWhole() {
		checkedConn.headStartedAt = checkedConn.readAt
	}
	return checkedConn.headsAnswered
}

// headIsWhole reports whether a head has ended whose request has not been answered. The caller
// holds mu.
func (checkedConn *checkedConn) headIsWhole() bool {
	return checkedConn.scanner.Heads() > checkedConn.headsAnswered
}

// closeUnused closes the connection unless a request has begun, and reports whether it does.
func (checkedConn *checkedConn) closeUnused(reason CloseReason) bool {
	return checkedConn.closeUnread(reason, func() bool { return checkedConn.headStartedAt.IsZero() })
}

// closeHalfRead closes the connection if a request has begun whose head has neither ended nor
// brought bytes since a time, and reports whether it does.
func (checkedConn *checkedConn) closeHalfRead(reason CloseReason, since time.Time) bool {
	return checkedConn.closeUnread(reason, func() bool {
		return !checkedConn.headStartedAt.IsZero() && !checkedConn.headIsWhole() && checkedConn.readAt.Before(since)
	})
}

// endStalledRead makes the read of a body end whose caller has stalled, and reports whether there
// is one. Without one it is the router that does not go on. Behind a whole body net/http reads only
// to notice that the caller leaves.
func (checkedConn *checkedConn) endStalledRead(reason CloseReason) bool {
	return checkedConn.closeUnread(reason, func() bool { return checkedConn.reading && checkedConn.scanner.InBody() })
}

// closeUnread closes the connection if mayClose, which is called while mu is held, returns true
// and no bytes wait to be read. While a goroutine reads it only makes that read end: the goroutine
// closes the connection, unless it has read bytes, which it serves. It reports whether the
// connection is closed or to be closed.
func (checkedConn *checkedConn) closeUnread(reason CloseReason, mayClose func() bool) bool {
	checkedConn.mu.Lock()
	if !mayClose() {
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

// beginRequest records that a handler has got the request of a head.
func (checkedConn *checkedConn) beginRequest() {
	if checkedConn == nil {
		return
	}
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.headsHandled++
}

// skipHeads records that the heads so far go to no handler, as the last one is refused.
func (checkedConn *checkedConn) skipHeads() {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.headsHandled = max(checkedConn.headsHandled, checkedConn.scanner.Heads())
}

// reportUnhandled reports the heads that were read whole and went to no handler.
func (checkedConn *checkedConn) reportUnhandled() {
	checkedConn.mu.Lock()
	heads := checkedConn.scanner.Heads() - checkedConn.headsHandled
	checkedConn.mu.Unlock()
	if heads > 0 && checkedConn.listener.OnUnhandled != nil {
		checkedConn.listener.OnUnhandled(heads)
	}
}

// Listener accepts callers' connections and checks the framing of their
// requests.
type Listener struct {
	net.Listener
	// Memory is the account in which long heads are held; with nil they are not bounded
	// here.
	Memory *memory.Account
	// MaxHeadBytes returns the longest head that the configuration allows, or zero. With nil
	// there is no configuration.
	MaxHeadBytes func() int
	// OnNoRoom, if set, is called when a head is refused because there is no room for it.
	OnNoRoom func()
	// OnClose, if set, is called once for each connection that the router closes before its
	// caller does, and OnKeep each time that it does not close one because bytes have arrived.
	// Neither may block, or use the connection.
	OnClose func(reason CloseReason)
	OnKeep  func(reason KeepReason)
	// OnUnhandled, if set, is called when a connection ends whose last heads were read whole, but
	// went to no handler. It must not block.
	OnUnhandled func(heads int)
}

// Accept returns the next connection. Its requests can be checked with
// Unambiguous.
func (listener *Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, listener: listener}, nil
}

// ConnContext is the ConnContext callback of an http.Server. It stores conn in
// the context of its requests, for Unambiguous.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey, conn)
}

// Unambiguous reports whether all requests so far on the connection of ctx had
// unambiguous framing. It returns true for a connection that no Listener
// accepted.
func Unambiguous(ctx context.Context) bool {
	conn, checked := ctx.Value(connContextKey).(*checkedConn)
	return !checked || !conn.ambiguous.Load()
}
