package forward_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// lineCounter counts the log lines of finished requests by level.
type lineCounter struct {
	slog.Handler
	mu    sync.Mutex
	lines map[slog.Level]int
}

func (lineCounter *lineCounter) Enabled(context.Context, slog.Level) bool { return true }

func (lineCounter *lineCounter) Handle(_ context.Context, record slog.Record) error {
	lineCounter.mu.Lock()
	defer lineCounter.mu.Unlock()
	if strings.HasPrefix(record.Message, "Request finished") {
		lineCounter.lines[record.Level]++
	}
	return nil
}

func (lineCounter *lineCounter) count(level slog.Level) int {
	lineCounter.mu.Lock()
	defer lineCounter.mu.Unlock()
	return lineCounter.lines[level]
}

// TestLogLinesOfServedRequestsAreLimited sends many requests that succeed and
// some that fail. The log lines of the first are limited, those of the second
// are all written.
func TestLogLinesOfServedRequestsAreLimited(t *testing.T) {
	const served, failed, burst, perSecond = 300, 40, 20, 50
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		attempt := request.header.Get("Hickoryhead-Attempt-Id")
		if strings.HasPrefix(attempt, "bad") {
			write(conn, "HTTP/1.1 500 Internal Server Error\r\nHickoryhead-Attempt-Id: "+attempt+"\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		write(conn, completeResponse(attempt, "fine"))
		return true
	})
	router := startRouter(t, upstream)
	lineCounter := &lineCounter{Handler: slog.DiscardHandler, lines: make(map[slog.Level]int)}
	router.handler.Logger = slog.New(lineCounter)
	router.handler.LogLimiter = rate.NewLimiter(perSecond, burst)
	began := time.Now()
	for n := range served {
		router.send(t, fmt.Sprint("good-", n), "GET", "/again/x", "").check(t, 200, "fine")
	}
	for n := range failed {
		router.send(t, fmt.Sprint("bad-", n), "POST", "/once/x", "").check(t, 500, "")
	}
	// A request is logged after its answer was written.
	for end := time.Now().Add(5 * time.Second); lineCounter.count(slog.LevelWarn) < failed && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	maxLines := burst + 1 + int(perSecond*time.Since(began).Seconds())
	if got := lineCounter.count(slog.LevelInfo); got > maxLines || got < burst {
		t.Errorf("got %d log lines for %d served requests, want %d to %d", got, served, burst, maxLines)
	}
	if got := lineCounter.count(slog.LevelWarn); got != failed {
		t.Errorf("got %d log lines for %d failed requests, want one each", got, failed)
	}
}
