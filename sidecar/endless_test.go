package sidecar_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/sidecar"
)

// endlessJSON answers with a JSON text without end, and counts its bytes.
type endlessJSON struct {
	status int
	sent   atomic.Int64
}

func (endless *endlessJSON) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(endless.status)
	block := []byte(strings.Repeat("x", 64<<10))
	_, err := writer.Write([]byte(`{"Detail":"`))
	for err == nil {
		_, err = writer.Write(block)
		endless.sent.Add(int64(len(block)))
	}
}

// TestAnswerWithoutEnd guards against a router that runs out of memory because the process
// at a sidecar's address answers a call without end.
func TestAnswerWithoutEnd(t *testing.T) {
	const mostSent = 32 << 20
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		endless := &endlessJSON{status: status}
		server := httptest.NewServer(endless)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		_, err := new(sidecar.Client).Status(ctx, strings.TrimPrefix(server.URL, "http://"))
		if err == nil || ctx.Err() != nil {
			t.Errorf("got error %v (context: %v) for a status %d without end, want one at the bound", err, ctx.Err(), status)
		}
		if got := endless.sent.Load(); got > mostSent {
			t.Errorf("got %d MiB read for a status %d, want at most %d", got>>20, status, mostSent>>20)
		}
		cancel()
		server.Close()
	}
}
