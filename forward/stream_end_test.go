package forward_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/memory"
)

// TestStreamEndsAfterPause guards against a complete stream that is cut because its last event
// was written longer ago than a caller may take to read.
func TestStreamEndsAfterPause(t *testing.T) {
	t.Parallel()
	const event = "id: 1\ndata: a\n\n"
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk(event))
		time.Sleep(memory.MaxStall + time.Second)
		write(conn, "0\r\n\r\n")
		return true
	})
	router := startLargeBodyRouter(t, upstream)
	router.send(t, "a1", "POST", "/stream/", "", "Hickoryhead-Deadline-Ms", "20000").check(t, 200, event)
}

// TestLongAnswerEndsAfterPause guards against the same for an answer that is relayed while it
// arrives.
func TestLongAnswerEndsAfterPause(t *testing.T) {
	t.Parallel()
	body := make([]byte, 3<<20)
	for i := range body {
		body[i] = 'a'
	}
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", request.header.Get("Hickoryhead-Attempt-Id"))+chunk(string(body)))
		time.Sleep(memory.MaxStall + time.Second)
		write(conn, "0\r\n\r\n")
		return true
	})
	router := startLargeBodyRouter(t, upstream)
	router.send(t, "a1", "POST", "/once/", "", "Hickoryhead-Deadline-Ms", "20000").check(t, 200, string(body))
}
