package forward_test

import (
	"net/http"
	"testing"
)

// TestLateBodyIsNotMalformed guards against a proper request that gets 400, which its caller takes
// as final, because its body has not arrived before the request's deadline.
func TestLateBodyIsNotMalformed(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			caller := startRouter(t, startUpstream(t, echo)).dial(t)
			caller.begin("late", framing)
			caller.send([]byte("2"))
			caller.check(http.StatusServiceUnavailable)
		})
	}
}
