package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// TestLongEventIsHeldUntilItIsWritten guards against a stream that holds the memory of its longest
// event to its end.
func TestLongEventIsHeldUntilItIsWritten(t *testing.T) {
	end := make(chan struct{})
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		head := fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))
		write(conn, head+chunk("id: 1\ndata: "+strings.Repeat("a", 200<<10)+"\n\n")+chunk("id: 2\ndata: b\n\n"))
		<-end
		write(conn, "0\r\n\r\n")
		return true
	})
	router := startLargeBodyRouter(t, upstream)
	caller := router.dial(t)
	caller.send([]byte("POST /stream/x HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nHickoryhead-Deadline-Ms: 20000\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n"))
	if err := caller.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(caller.conn)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() && lines.Text() != "data: b" {
	}
	if lines.Err() != nil {
		t.Fatal(lines.Err())
	}
	// The stream goes on meanwhile.
	router.awaitNothingHeld(t)
	close(end)
}
