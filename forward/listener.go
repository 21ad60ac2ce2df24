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
	// body, in nanoseconds; zero while the router does not wait for it. progress counts
	// bytes since then.
	waitingSince atomic.Int64
	progress     int

	// headHolding is what a long head takes until its request has been answered, and
	// heldHeadBytes how much the unfinished head takes there. headsRead and
	// headsAnswered count the heads that have ended and those whose requests have been
	// answered; heldHead is the number of the finished head that is held, or zero.
	headHolding              memory.Holding
	heldHeadBytes            int64
	headsRead, headsAnswered int
	heldHead                 int

	mu sync.Mutex
	// readAt is when bytes were last read, and headStartedAt when the first ones since the
	// last request were, or zero. closing is set once the connection is closed because there
	// were none.
	readAt        time.Time
	headStartedAt time.Time
	closing       bool
}

// Read reads from the connection. After a request with ambiguous framing it reads nothing more and
// returns io.EOF. A head that is too long, or for which there is no memory, is refused.
func (checkedConn *checkedConn) Read(buffer []byte) (int, error) {
	if checkedConn.ambiguous.Load() {
		return 0, io.EOF
	}
	count, err := checkedConn.Conn.Read(buffer)
	if count > 0 && !checkedConn.recordRead() {
		return 0, io.EOF
	}
	if !checkedConn.scanner.Scan(buffer[:count]) {
		checkedConn.ambiguous.Store(true)
	}
	if answer := checkedConn.holdHead(); answer != "" {
		checkedConn.refuseHead(answer, buffer)
		return 0, errHeadRefused
	}
	return count, err
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

// waitForCaller records that the router waits for the caller to send or to read.
func (checkedConn *checkedConn) waitForCaller(now time.Time) {
	if checkedConn != nil {
		checkedConn.progress = 0
		checkedConn.waitingSince.Store(now.UnixNano())
	}
}

// recordProgress records that the caller has sent or read count bytes.
func (checkedConn *checkedConn) recordProgress(now time.Time, count int) {
	if checkedConn == nil {
		return
	}
	if checkedConn.progress += count; checkedConn.progress >= progressBytes {
		checkedConn.waitForCaller(now)
	}
}

// endWait records that the router does not wait for the caller any more.
func (checkedConn *checkedConn) endWait() {
	if checkedConn != nil {
		checkedConn.waitingSince.Store(0)
	}
}

// stalledFor returns for how long the router has waited for the caller without progress, but for
// its own stalls.
func (checkedConn *checkedConn) stalledFor(now time.Time, stalls *memory.Stalls) time.Duration {
	since := checkedConn.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return stalls.Waited(now, time.Unix(0, since))
}

// hasReadSince reports whether bytes were read after a time.
func (checkedConn *checkedConn) hasReadSince(since time.Time) bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.readAt.After(since)
}

// recordRead records that bytes were read. It returns false if the connection is being
// closed as unused, so that what they belong to is not served.
func (checkedConn *checkedConn) recordRead() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	if checkedConn.closing {
		return false
	}
	checkedConn.readAt = time.Now()
	if checkedConn.headStartedAt.IsZero() {
		checkedConn.headStartedAt = checkedConn.readAt
	}
	return true
}

// awaitHead says that the next bytes begin a head.
func (checkedConn *checkedConn) awaitHead() {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	checkedConn.headStartedAt = time.Time{}
}

// headStart returns when the head began that is being read, or zero if none has.
func (checkedConn *checkedConn) headStart() time.Time {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	return checkedConn.headStartedAt
}

// closeUnlessRead closes the connection unless bytes were read since a time, and reports
// whether it did. A request is either served or never read.
func (checkedConn *checkedConn) closeUnlessRead(since time.Time) bool {
	checkedConn.mu.Lock()
	unread := !checkedConn.readAt.After(since)
	checkedConn.closing = checkedConn.closing || unread
	checkedConn.mu.Unlock()
	if unread {
		// The caller sees the close; an error would change nothing.
		_ = checkedConn.Conn.Close()
	}
	return unread
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
