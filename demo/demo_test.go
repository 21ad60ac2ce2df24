package demo_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/demo"
)

// TestDemo runs a small demo. Run fails if an answer breaks a guarantee.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	options := demo.Options{Engines: 2, Requests: 200, Out: &out, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if err := demo.Run(t.Context(), options); err != nil {
		t.Fatalf("got %v, want a successful run:\n%s", err, out.String())
	}
	for _, want := range []string{"engine-1 has left", "configuration is in force everywhere", "entry-1 is stopped as planned"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got output without %q, want it included:\n%s", want, out.String())
		}
	}
}
