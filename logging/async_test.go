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

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (writer *stuckWriter) Write(data []byte) (int, error) {
	<-writer.release
	return writer.got.Write(data)
}

// runner runs an Async and tells when it has ended.
type runner struct {
	async *logging.Async
	done  chan struct{}
}

func (runner *runner) run(ctx context.Context) {
	defer close(runner.done)
	runner.async.Run(ctx)
}

// TestReaderThatNeverReads logs far more than the queue holds to a writer that
// takes nothing: the caller is not held up, and what was dropped is counted.
func TestReaderThatNeverReads(t *testing.T) {
	const lines = 20000
	out := &stuckWriter{release: make(chan struct{})}
	async := logging.NewAsync(out)
	running := &runner{async: async, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go running.run(ctx)
	logger := slog.New(slog.NewJSONHandler(async, nil))
	began := time.Now()
	for i := range lines {
		logger.Info("line", "N", i)
	}
	if took, most := time.Since(began), 2*time.Second; took > most {
		t.Errorf("got %d lines logged in %v, want at most %v", lines, took, most)
	}
	if got := async.Dropped(); got < lines/2 {
		t.Errorf("got %d lines dropped, want most of %d", got, lines)
	}
	close(out.release)
	cancel()
	<-running.done
	if got := int64(strings.Count(out.got.String(), `"msg":"line"`)); got+async.Dropped() != lines {
		t.Errorf("got %d lines written and %d dropped, want %d together", got, async.Dropped(), lines)
	}
}
