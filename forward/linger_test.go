package forward_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestGivenUpChunkedCallerMaySend guards against a connection that is reset while the caller of
// a chunked body that was given up still sends: it never gets the refusal then.
func TestGivenUpChunkedCallerMaySend(t *testing.T) {
	router := startLargeBodyRouter(t, startUpstream(t, echo))
	stalled := router.dial(t)
	stalled.begin("stalled", "Transfer-Encoding: chunked")
	piece := []byte(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, bytes.Repeat([]byte("x"), 64<<10)))
	for range 15 {
		stalled.send(piece)
	}
	router.awaitStalledBody(t)
	whole := router.dial(t)
	whole.begin("whole", fmt.Sprintf("Content-Length: %d", largeBodyBytes))
	whole.send(bytes.Repeat([]byte("y"), largeBodyBytes))
	whole.check(http.StatusOK)
	for range 4 {
		time.Sleep(50 * time.Millisecond)
		stalled.send([]byte("4\r\nabcd\r\n"))
	}
	stalled.check(http.StatusServiceUnavailable)
}
