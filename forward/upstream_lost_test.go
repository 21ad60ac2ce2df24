package forward_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
)

// TestLastUpstreamGoesDuringAServerError guards against a panic where a service
// loses its last upstream while the answer to a retryable request is read.
func TestLastUpstreamGoesDuringAServerError(t *testing.T) {
	var known atomic.Pointer[registry.Registry]
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		known.Load().Replace(time.Now(), 2, nil)
		write(conn, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 4\r\n\r\nfail", request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	})
	router := startRouter(t, upstream)
	known.Store(router.handler.Registry)
	router.send(t, "a1", "GET", "/again/x", "").check(t, 500, "fail")
}
