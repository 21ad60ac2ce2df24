package forward

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/result"
)

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
)

// errHeadRefused ends the reading of a head that has been refused. net/http adds no answer of its
// own to an error of this type, as it would to io.EOF.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("head refused")}

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
	hasRoom := !listener.Memory.GivenUp(&checkedConn.headHolding)
	if added > 0 {
		hasRoom = listener.Memory.Grow(now, &checkedConn.headHolding, added)
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

// endRequest records that a request has been answered, and releases its head. It is called by
// the goroutine of the connection, between requests, while no other one reads.
func (checkedConn *checkedConn) endRequest() {
	answered := checkedConn.recordAnswered()
	if checkedConn.heldHead > 0 && checkedConn.heldHead <= answered {
		checkedConn.listener.Memory.Release(&checkedConn.headHolding)
		checkedConn.heldHead = 0
	}
}

// refuseHead writes the answer to a head that is refused, and reads and drops the rest of it for a
// short time: unread bytes would reset the connection, and the answer might get lost.
func (checkedConn *checkedConn) refuseHead(answer string, buffer []byte) {
	checkedConn.listener.Memory.Release(&checkedConn.headHolding)
	checkedConn.skipHeads()
	if checkedConn.SetWriteDeadline(time.Now().Add(memory.MaxStall)) != nil {
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

// maxHeadBytes returns the longest head that is read. It is twice as much as the
// configuration allows, so that most callers get the code HeadTooLarge.
func (listener *Listener) maxHeadBytes() int {
	if listener.MaxHeadBytes == nil {
		return defaultMaxHeadBytes
	}
	return max(2*listener.MaxHeadBytes(), defaultMaxHeadBytes)
}
