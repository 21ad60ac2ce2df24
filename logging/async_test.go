package logging_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/logging"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (writer *blockedWriter) Write(data []byte) (int, error) {
	<-writer.release
	return writer.written.Write(data)
}

// asyncRunner runs an Async and closes done when it has ended.
type asyncRunner struct {
	async *logging.Async
	done  chan struct{}
}

func (runner *asyncRunner) run(ctx context.Context) {
	defer close(runner.done)
	runner.async.Run(ctx)
}

// TestAsyncBlockedWriter guards against a log reader that stops reading and so
// blocks the daemon: logging far more lines than the queue holds must not
// block, and dropped lines must be counted.
func TestAsyncBlockedWriter(t *testing.T) {
	const lines = 20000
	out := &blockedWriter{release: make(chan struct{})}
	async := logging.NewAsync(out)
	runner := &asyncRunner{async: async, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go runner.run(ctx)
	logger := slog.New(slog.NewJSONHandler(async, nil))
	began := time.Now()
	for i := range lines {
		logger.Info("line", "N", i)
	}
	if got, limit := time.Since(began), 2*time.Second; got > limit {
		t.Errorf("got %d lines logged in %v, want at most %v", lines, got, limit)
	}
	if got := async.Dropped(); got < lines/2 {
		t.Errorf("got %d lines dropped, want most of %d", got, lines)
	}
	close(out.release)
	cancel()
	<-runner.done
	if got := int64(strings.Count(out.written.String(), `"msg":"line"`)); got+async.Dropped() != lines {
		t.Errorf("got %d lines written and %d dropped, want %d together", got, async.Dropped(), lines)
	}
}
