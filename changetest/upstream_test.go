package changetest_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

const (
	// events is the number of events of a stream, and eventGap the time between them.
	events   = 3
	eventGap = 10 * time.Millisecond
)

// upstream answers with the identifier of the request and the length of its body, and keeps
// which requests have reached it.
type upstream struct {
	address string
	// limit is the number of requests a second that it names in its answers, or zero.
	limit   atomic.Int64
	reached sync.Map
}

func startUpstream(t *testing.T) *upstream {
	upstream := new(upstream)
	upstream.address = fleettest.StartServer(t, upstream)
	return upstream
}

// hasReached reports whether a request has reached the upstream.
func (upstream *upstream) hasReached(id string) bool {
	_, found := upstream.reached.Load(id)
	return found
}

// ServeHTTP answers one request.
func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Hickoryhead-Attempt-Id")
	upstream.reached.Store(id, true)
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	header := writer.Header()
	header.Set("Hickoryhead-Attempt-Id", id)
	header.Set("Hickoryhead-Response-Signature", "s")
	if limit := upstream.limit.Load(); limit > 0 {
		header.Set("Server-Limit", strconv.FormatInt(limit, 10))
	}
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		_, _ = io.WriteString(writer, answer(id, int(length)))
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for number := range events {
		_, _ = io.WriteString(writer, event(number, id))
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventGap)
	}
}

// answer returns the body of the answer to a request.
func answer(id string, length int) string { return fmt.Sprintf("%s %d", id, length) }

// event returns an event of the answer to a request of a stream.
func event(number int, id string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number+1, id) }
