package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/faultproxy"
	"github.com/hickoryhead/hickoryhead/registry"
)

// togetherUpstream answers the first requests once as many have arrived, so that a router
// has as many connections open, and any other at once.
type togetherUpstream struct {
	arrived sync.WaitGroup
}

func (upstream *togetherUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if strings.HasSuffix(request.URL.Path, "/together") {
		upstream.arrived.Done()
		upstream.arrived.Wait()
	}
	writer.Header().Set("Hickoryhead-Attempt-Id", request.Header.Get("Hickoryhead-Attempt-Id"))
	writer.Header().Set("Hickoryhead-Response-Signature", "s")
	_, _ = io.WriteString(writer, "fine")
}

// TestNextRequestAfterASilentUpstreamConnection guards against requests that are lost on one
// silent connection to an upstream after the other: behind the first that gets no answer,
// the next one has to go over a new connection.
func TestNextRequestAfterASilentUpstreamConnection(t *testing.T) {
	const connections = 5
	upstream := new(togetherUpstream)
	upstream.arrived.Add(connections)
	server := httptest.NewServer(upstream)
	defer server.Close()
	proxy, err := faultproxy.Start(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	router := startRouter(t)
	router.handler.Registry.Replace(time.Now(), 1, []registry.Upstream{{ID: "i-0", Service: "pool", Address: proxy.Address()}})
	var group sync.WaitGroup
	for index := range connections {
		group.Go(func() {
			router.send(t, fmt.Sprint("t", index), http.MethodPost, "/once/together", "").check(t, http.StatusOK, "fine")
		})
	}
	group.Wait()
	if got := proxy.Open(); got != connections {
		t.Fatalf("got %d connections, want %d", got, connections)
	}
	proxy.Silence()
	if got := router.send(t, "a1", http.MethodPost, "/again/x", ""); got.status == http.StatusOK {
		t.Errorf("got status %d on a silent connection, want a failure", got.status)
	}
	router.send(t, "a2", http.MethodPost, "/again/x", "").check(t, http.StatusOK, "fine")
}
