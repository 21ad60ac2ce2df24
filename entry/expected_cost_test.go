package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/platform"
)

// serveStream answers each request with a stream of three events.
func serveStream(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Hickoryhead-Attempt-Id", request.Header.Get("Hickoryhead-Attempt-Id"))
	header.Set("Hickoryhead-Response-Signature", "s")
	header.Set("Hickoryhead-Runner-Load", "1,0,64,100")
	header.Set("Content-Type", "text/event-stream")
	for n := range 3 {
		fmt.Fprintf(writer, "id: %d\ndata: x\n\n", 10*n+10)
	}
}

// newStreamFixture returns a fixture with two upstreams that answer with streams.
func newStreamFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := newFixture(t, "i-1", "i-2")
	for id, upstream := range fixture.upstreams {
		upstream.server = httptest.NewServer(http.HandlerFunc(serveStream))
		t.Cleanup(upstream.server.Close)
		fixture.writeUpstream(id, "ready")
	}
	value := `{"version":2,"routes":[{"name":"r","host":"a.example","prefix":"/first/","route-type":"streaming","timeout-ms":6000,"target-latency-ms":300,"service":"pool","public":true,"sticky-sessions":true}],"services":[{"name":"pool"}]}`
	fixture.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(value)})
	fixture.config.MetricsListen = anyPort
	return fixture
}

// stream sends a request with a prompt, and checks its answer.
func (fixture *fixture) stream() {
	fixture.t.Helper()
	request, err := http.NewRequestWithContext(fixture.t.Context(), http.MethodPost, "http://"+fixture.addresses.Callers+"/first/x", nil)
	if err != nil {
		fixture.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Hickoryhead-Attempt-Id", "a1")
	request.Header.Set("Hickoryhead-Prompt-Prefix", "house:400,own:100")
	response, err := client.Do(request)
	if err != nil {
		fixture.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "id: 30\ndata: x\n\n") {
		fixture.t.Fatalf("got status %d, body %q and error %v, want three events", response.StatusCode, body, err)
	}
}

// predicted reports whether the router has predicted a time to a first event.
func (fixture *fixture) predicted() bool {
	return strings.Contains(fixture.log.String(), `"ExpectedMs":`)
}

// TestExpectedCostIsUsedWhereItIsSet guards against a setting that changes nothing, and
// against predictions on a deployment that doesn't have it.
func TestExpectedCostIsUsedWhereItIsSet(t *testing.T) {
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			fixture := newStreamFixture(t)
			fixture.config.ExpectedCost = on
			fixture.start()
			fixture.waitFor(3*time.Second, "readiness", fixture.ready)
			for range 30 {
				fixture.stream()
			}
			placement := askWhere(t, fixture)
			if placement.Code != "OK" || placement.Reason != "holder" || len(placement.Candidates) != 2 || (placement.ExpectedOutput > 0) != on {
				t.Errorf("got placement %+v, want a holder among 2, and an expected output: %v", placement, on)
			}
			if on {
				fixture.waitFor(time.Second, "log line with an expected time", fixture.predicted)
			} else if fixture.predicted() {
				t.Error("got a log line with an expected time without the setting, want none")
			}
		})
	}
}

// TestExpectedCostIsTurnedOnWithoutARestart guards against a changed setting that is in
// force only after a restart.
func TestExpectedCostIsTurnedOnWithoutARestart(t *testing.T) {
	fixture := newStreamFixture(t)
	fixture.reload = func() (config.Entry, error) {
		changed := fixture.config
		changed.ExpectedCost = true
		return changed, nil
	}
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	fixture.waitFor(20*time.Second, "reload", func() bool {
		return strings.Contains(fixture.log.String(), `"Changed":true,"RestartNeeded":false`)
	})
	for range 30 {
		fixture.stream()
	}
	fixture.waitFor(time.Second, "log line with an expected time", fixture.predicted)
}

// askWhere asks the router of the fixture where a request would go, and for its metrics at
// the same address.
func askWhere(t *testing.T, fixture *fixture) forward.Placement {
	t.Helper()
	var placement forward.Placement
	for path, check := range map[string]func(body []byte) error{
		"/where?host=a.example&target=/first/x": func(body []byte) error { return json.Unmarshal(body, &placement) },
		"/metrics": func(body []byte) error {
			if !strings.Contains(string(body), "hickoryhead_") {
				return errors.New("no metrics")
			}
			return nil
		},
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+fixture.addresses.Internal+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Hickoryhead-Prompt-Prefix", "house:400,own:100")
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			err = check(body)
		}
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d and error %v, want an answer", path, response.StatusCode, err)
		}
	}
	return placement
}
