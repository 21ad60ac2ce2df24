package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/framing"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/result"
)

// contextKey is the type of the context keys of this package.
type contextKey int

const connContextKey contextKey = 0

const (
	// defaultMaxHeadBytes is the longest head that is read while the configuration allows
	// none longer: more than it allows, so that most callers get the code HeadTooLarge.
	defaultMaxHeadBytes = 32 << 10
	// freeHeadBytes is how much of a head is counted with its connection. One that is longer
	// takes headFactor times its bytes in the memory account, as its values are copied for the
	// upstream, and fieldBytes for each header: an entry of a map with a list of values.
	freeHeadBytes = 4 << 10
	headFactor    = 2
	fieldBytes    = 160
	// headTooLongAnswer is sent instead of an answer to a head that is too long to be read.
	headTooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// noRoomAnswer is sent instead of an answer to a head for which there is no memory, with the
	// code and its title as the body.
	noRoomAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
	// refusalTimeout bounds the write of these answers.
	refusalTimeout = 100 * time.Millisecond
)

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

// errHeadRefused ends the reading of a head that has been refused. net/http adds no answer of its
// own to an error of this type, as it would to io.EOF.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("head refused")}

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

// holdHead counts a long head in the memory account until its request has been answered. If the
// head is too long, or if there is no room for it, it returns the answer to it.
func (checkedConn *checkedConn) holdHead() string {
	listener := checkedConn.listener
	if listener.Memory == nil {
		return ""
	}
	if !checkedConn.keepHead() {
		return listener.refuseRoom()
	}
	headBytes := checkedConn.scanner.HeadBytes()
	if headBytes <= freeHeadBytes {
		return ""
	}
	if headBytes > listener.maxHeadBytes() {
		return headTooLongAnswer
	}
	now := time.Now()
	if checkedConn.heldHeadBytes == 0 {
		listener.Memory.Watch(now, &checkedConn.headHolding, checkedConn.interruptRead)
	}
	taken := int64(headFactor*headBytes + fieldBytes*checkedConn.scanner.HeadFields())
	added := taken - checkedConn.heldHeadBytes
	checkedConn.heldHeadBytes = taken
	hasRoom := false
	if added > 0 {
		hasRoom = listener.Memory.Grow(now, &checkedConn.headHolding, added)
	} else {
		hasRoom = !listener.Memory.GivenUp(&checkedConn.headHolding)
	}
	if !hasRoom {
		return listener.refuseRoom()
	}
	return ""
}

// refuseRoom counts a head for which there is no room, and returns the answer to it.
func (listener *Listener) refuseRoom() string {
	if listener.OnNoRoom != nil {
		listener.OnNoRoom()
	}
	entry, _ := result.Lookup(result.MemoryFull)
	body := fmt.Sprintf("%s %s\n", result.MemoryFull, entry.Title)
	return fmt.Sprintf(noRoomAnswer, len(body), body)
}

// keepHead says that the held head has ended, if it has, so that it is not given up any more.
// It returns false if it was given up before. The bytes after it may belong to the next head
// already, whose bytes beyond freeHeadBytes are read only after the answer.
func (checkedConn *checkedConn) keepHead() bool {
	ended := checkedConn.scanner.Heads()
	if ended == checkedConn.headsRead {
		return true
	}
	number := checkedConn.headsRead + 1
	checkedConn.headsRead = ended
	if checkedConn.heldHeadBytes == 0 {
		return true
	}
	checkedConn.heldHead, checkedConn.heldHeadBytes = number, 0
	return checkedConn.listener.Memory.Keep(&checkedConn.headHolding)
}

// endRequest releases the head of a request that has been answered. It is called by the
// goroutine of the connection, between requests, while no other one reads.
func (checkedConn *checkedConn) endRequest() {
	checkedConn.headsAnswered = min(checkedConn.headsAnswered+1, checkedConn.headsRead)
	if checkedConn.heldHead > 0 && checkedConn.heldHead <= checkedConn.headsAnswered {
		checkedConn.listener.Memory.Release(&checkedConn.headHolding)
		checkedConn.heldHead = 0
	}
}

// refuseHead writes the answer to a head that is refused, and reads and drops the rest of it for a
// short time: unread bytes would reset the connection, and the answer might get lost.
func (checkedConn *checkedConn) refuseHead(answer string, buffer []byte) {
	checkedConn.listener.Memory.Release(&checkedConn.headHolding)
	if checkedConn.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(checkedConn.Conn, answer); err != nil {
		return
	}
	checkedConn.closeWrite()
	if checkedConn.Conn.SetReadDeadline(time.Now().Add(lingerStall)) != nil {
		return
	}
	for dropped := 0; dropped < checkedConn.listener.maxHeadBytes(); {
		count, err := checkedConn.Conn.Read(buffer)
		if err != nil {
			return
		}
		dropped += count
	}
}

// interruptRead ends the reading of a head that is given up. The goroutine of the connection then
// refuses it.
func (checkedConn *checkedConn) interruptRead() {
	_ = checkedConn.Conn.SetReadDeadline(time.Unix(1, 0))
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

// closeNow closes the connection, whose goroutine then finds it closed. The caller sees the
// close; an error would change nothing.
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

// stalledFor returns for how long the router has waited for the caller without progress.
func (checkedConn *checkedConn) stalledFor(now time.Time) time.Duration {
	since := checkedConn.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
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

// maxHeadBytes returns the longest head that is read. It is twice as much as the
// configuration allows, so that most callers get the code HeadTooLarge.
func (listener *Listener) maxHeadBytes() int {
	if listener.MaxHeadBytes == nil {
		return defaultMaxHeadBytes
	}
	return max(2*listener.MaxHeadBytes(), defaultMaxHeadBytes)
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
