package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/platform"
)

// TestAdmissionControlIsTurnedOnWithoutARestart guards against a changed setting that is in
// force only after a restart, against refusals without it, and against refusals while there is
// room.
func TestAdmissionControlIsTurnedOnWithoutARestart(t *testing.T) {
	fixture := newStreamFixture(t)
	release := make(chan struct{})
	for id, upstream := range fixture.upstreams {
		upstream.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if !strings.HasSuffix(request.URL.Path, "/hold") {
				serveStream(writer, request)
				return
			}
			serveStream(writer, request)
			_ = http.NewResponseController(writer).Flush()
			select {
			case <-release:
			case <-request.Context().Done():
			}
		}))
		t.Cleanup(upstream.server.Close)
		fixture.writeUpstream(id, "ready")
	}
	value := `{"version":3,"routes":[{"name":"r","host":"a.example","prefix":"/first/","route-type":"streaming","timeout-ms":60000,"target-latency-ms":300,"service":"pool","public":true,"sticky-sessions":true}],"services":[{"name":"pool","engine":{"slots":1,"kv-capacity":100000}}]}`
	fixture.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(value)})
	var on atomic.Bool
	fixture.reload = func() (config.Entry, error) {
		changed := fixture.config
		changed.AdmissionControl = on.Load()
		return changed, nil
	}
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)

	// The held streams outlast the timeout of the common client.
	patient := &http.Client{Transport: new(http.Transport)}
	ask := func(path, prompt string) *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+fixture.addresses.Callers+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "a.example"
		request.Header.Set("Hickoryhead-Attempt-Id", "a1")
		request.Header.Set("Hickoryhead-Prompt-Prefix", prompt)
		response, err := patient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	// More requests than the slots of both upstreams, at each of them.
	var held []*http.Response
	for n := range 8 {
		response := ask("/first/hold", fmt.Sprintf("h%d:400,own%d:100", n, n))
		if response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d for a held stream, want 200", response.StatusCode)
		}
		held = append(held, response)
	}
	fixture.stream()
	on.Store(true)
	fixture.waitFor(20*time.Second, "reload", func() bool {
		return strings.Contains(fixture.log.String(), `"Changed":true,"RestartNeeded":false`)
	})
	response := ask("/first/x", "house:400,own:100")
	if body, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusServiceUnavailable || !strings.HasPrefix(string(body), "HH2022 ") {
		t.Errorf("got %d %q at the same loads after the reload, want 503 HH2022", response.StatusCode, body)
	}
	close(release)
	for _, response := range held {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	for range 30 {
		fixture.stream()
	}
}
