package demo_test

import (
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/demo"
)

// exclusiveWriter collects output and counts the writes that overlap another
// one. A write of a line with slow takes longer than the progress interval.
type exclusiveWriter struct {
	slow     string
	mu       sync.Mutex
	output   strings.Builder
	overlaps int
}

func (writer *exclusiveWriter) Write(data []byte) (int, error) {
	if !writer.mu.TryLock() {
		writer.mu.Lock()
		writer.overlaps++
	}
	defer writer.mu.Unlock()
	if strings.Contains(string(data), writer.slow) {
		time.Sleep(1200 * time.Millisecond)
	}
	return writer.output.Write(data)
}

// TestDemo runs a small demo. Run fails if an answer breaks a guarantee.
func TestDemo(t *testing.T) {
	out := exclusiveWriter{slow: "engine-1 leaves"}
	options := demo.Options{Engines: 2, Requests: 200, Out: &out, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if err := demo.Run(t.Context(), options); err != nil {
		t.Fatalf("got %v, want a successful run:\n%s", err, out.output.String())
	}
	for _, want := range []string{"engine-1 has left", "configuration is in force everywhere", "entry-1 is stopped as planned"} {
		if !strings.Contains(out.output.String(), want) {
			t.Errorf("got output without %q, want it included:\n%s", want, out.output.String())
		}
	}
	if out.overlaps > 0 {
		t.Errorf("got %d writes that overlap another one, want none", out.overlaps)
	}
}
