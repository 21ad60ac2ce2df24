package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkForward forwards plain requests with a body of 1 KB to an upstream on
// the loopback interface. The allocations include those of the upstream.
func BenchmarkForward(b *testing.B) {
	upstream := startUpstream(b, echo)
	router := startRouter(b, upstream)
	body := strings.Repeat("x", 1000)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "http://a.example/once/x", strings.NewReader(body))
		request.Header.Set("Hickoryhead-Attempt-Id", "a1")
		request.Header.Set("Hickoryhead-Deadline-Ms", "1500")
		request.Header.Set("Authorization", "Token key-1")
		recorder := httptest.NewRecorder()
		router.handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatalf("got status %d, want 200", recorder.Code)
		}
	}
}
