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
	for end := time.Now().Add(5 * time.Second); router.handler.Memory.Held() < largeBodyBytes*9/10; {
		if time.Now().After(end) {
			t.Fatal("got no body that is held, want one")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
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
