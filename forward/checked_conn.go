package forward

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/framing"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/socket"
)

// checkedConn is a caller's connection whose bytes are scanned for requests
// that don't have the form of the protocol, so that their end is ambiguous, and for heads that are
// too long.
type checkedConn struct {
	net.Conn
	listener  *Listener
	scanner   framing.Scanner
	malformed atomic.Bool

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
	// readAt is when bytes were last read, requestStartedAt when the first ones of the next
	// request were, or zero. headsHandled counts the heads whose requests a handler has got, or
	// that were refused, and headsAnswered those whose requests have been answered.
	readAt           time.Time
	requestStartedAt time.Time
	headsHandled     int
	headsAnswered    int
	// reading is set while a goroutine reads, and closing once the connection is to be closed
	// because no request has begun, or it makes no progress: by that goroutine, unless it has read bytes
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

// Read reads from the connection. Behind bytes that are out of form it reads nothing more and
// returns io.EOF. A head that is too long, or for which there is no memory, is refused.
func (checkedConn *checkedConn) Read(buffer []byte) (int, error) {
	if checkedConn.malformed.Load() || !checkedConn.beginRead() {
		return 0, io.EOF
	}
	count, err := checkedConn.Conn.Read(buffer)
	if count == 0 && checkedConn.keepIfUnread() {
		count, err = checkedConn.Conn.Read(buffer)
	}
	if !checkedConn.endRead(buffer[:count], err) {
		checkedConn.malformed.Store(true)
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
// had the form of requests. Bytes keep open a connection that was to be closed: what was read is served.
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
	if checkedConn.requestStartedAt.IsZero() {
		checkedConn.requestStartedAt = checkedConn.readAt
	}
	if checkedConn.closing && !checkedConn.closed {
		checkedConn.cancelClose()
		checkedConn.listener.reportKept(KeptRead)
	}
	return checkedConn.scanner.Scan(data)
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

// bodyIsMalformed reports whether the chunks or trailers of the request that is being handled don't
// have the form of the protocol. Bytes of a request behind it don't count.
func (checkedConn *checkedConn) bodyIsMalformed() bool {
	if checkedConn == nil || !checkedConn.malformed.Load() {
		return false
	}
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.scanner.InBody() && checkedConn.scanner.Heads() == checkedConn.headsHandled
}

// hasRequest reports whether bytes of a request that has not been answered were read.
func (checkedConn *checkedConn) hasRequest() bool { return !checkedConn.requestStart().IsZero() }

// requestStart returns when the first bytes of the request were read that is being read or served,
// or zero if there were none.
func (checkedConn *checkedConn) requestStart() time.Time {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.requestStartedAt
}

// recordAnswered records that a request has been answered, and returns how many have been. The first
// bytes of the next one may have been read before its answer ended.
func (checkedConn *checkedConn) recordAnswered() int {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	// Track may report a connection idle that has had no request.
	checkedConn.headsAnswered = min(checkedConn.headsAnswered+1, checkedConn.scanner.Heads())
	checkedConn.requestStartedAt = time.Time{}
	// net/http ends its pending read by a deadline between two requests.
	checkedConn.readErr, checkedConn.handled = nil, handledRequest{}
	if checkedConn.scanner.HeadBytes() > 0 || checkedConn.headIsWhole() {
		checkedConn.requestStartedAt = checkedConn.readAt
	}
	return checkedConn.headsAnswered
}

// headIsWhole reports whether a head has ended whose request has not been answered. The caller
// holds mu.
func (checkedConn *checkedConn) headIsWhole() bool {
	return checkedConn.scanner.Heads() > checkedConn.headsAnswered
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
