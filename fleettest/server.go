package fleettest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// StartServer serves HTTP on loopback and returns the address. At the end of the test it closes
// the server and its connections, also those with an answer that is not read.
func StartServer(t testing.TB, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}
