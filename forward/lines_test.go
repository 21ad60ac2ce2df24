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

// lineCounter counts log lines by their level.
type lineCounter struct {
	slog.Handler
	mu    sync.Mutex
	lines map[slog.Level]int
}

func (counter *lineCounter) Enabled(context.Context, slog.Level) bool { return true }

func (counter *lineCounter) Handle(_ context.Context, record slog.Record) error {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	if strings.HasPrefix(record.Message, "Request finished") {
		counter.lines[record.Level]++
	}
	return nil
}

func (counter *lineCounter) count(level slog.Level) int {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.lines[level]
}

// TestLinesOfServedRequestsAreBounded sends many requests that are served at
// their first offer, and some that are not.
func TestLinesOfServedRequestsAreBounded(t *testing.T) {
	const served, failed, burst, perSecond = 300, 40, 20, 50
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request received) bool {
		attempt := request.header.Get("Hickoryhead-Attempt-Id")
		if strings.HasPrefix(attempt, "bad") {
			write(conn, "HTTP/1.1 500 Internal Server Error\r\nHickoryhead-Attempt-Id: "+attempt+"\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		write(conn, whole(attempt, "fine"))
		return true
	})
	front := startRouter(t, upstream)
	counter := &lineCounter{Handler: slog.DiscardHandler, lines: make(map[slog.Level]int)}
	front.handler.Logger = slog.New(counter)
	front.handler.LogLimiter = rate.NewLimiter(perSecond, burst)
	began := time.Now()
	for n := range served {
		front.send(t, fmt.Sprint("good-", n), "GET", "/again/x", "").check(t, 200, "fine")
	}
	for n := range failed {
		front.send(t, fmt.Sprint("bad-", n), "POST", "/once/x", "").check(t, 500, "")
	}
	// A line follows its answer.
	for end := time.Now().Add(5 * time.Second); counter.count(slog.LevelWarn) < failed && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	most := burst + 1 + int(perSecond*time.Since(began).Seconds())
	if got := counter.count(slog.LevelInfo); got > most || got < burst {
		t.Errorf("got %d lines of %d served requests, want %d to %d", got, served, burst, most)
	}
	if got := counter.count(slog.LevelWarn); got != failed {
		t.Errorf("got %d lines of %d failed requests, want all", got, failed)
	}
}
