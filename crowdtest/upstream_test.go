package crowdtest_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// Paths behind the prefix of a route, which say how the upstream answers.
const (
	// slowPath is that of requests whose bodies the upstream leaves unread for
	// slowToAccept.
	slowPath = "slow"
	// longPath is that of long answers.
	longPath = "long"

	slowToAccept = 4 * time.Second
	// longAnswerBytes is more than the sockets on the way hold.
	longAnswerBytes = 64 << 20
)

// upstream answers ordinary requests with the length of their bodies.
type upstream struct {
	address string
	served  atomic.Int64
}

func startUpstream(t *testing.T) *upstream {
	upstream := new(upstream)
	upstream.address = fleettest.StartServer(t, upstream)
	return upstream
}

// ServeHTTP answers one request.
func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.served.Add(1)
	if strings.HasSuffix(request.URL.Path, slowPath) {
		time.Sleep(slowToAccept)
	}
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	header := writer.Header()
	header.Set("Hickoryhead-Attempt-Id", request.Header.Get("Hickoryhead-Attempt-Id"))
	header.Set("Hickoryhead-Response-Signature", "s")
	streaming := strings.HasPrefix(request.URL.Path, "/stream/")
	switch {
	case strings.HasSuffix(request.URL.Path, longPath) && streaming:
		header.Set("Content-Type", "text/event-stream")
		filler := strings.Repeat("x", 64<<10)
		for sent := 0; sent < longAnswerBytes; sent += len(filler) {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", sent/len(filler), filler); err != nil {
				return
			}
		}
	case strings.HasSuffix(request.URL.Path, longPath):
		filler := make([]byte, 64<<10)
		for sent := 0; sent < longAnswerBytes; sent += len(filler) {
			if _, err := writer.Write(filler); err != nil {
				return
			}
		}
	default:
		_, _ = fmt.Fprintf(writer, "%d", length)
	}
}
