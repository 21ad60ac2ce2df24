package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/strike"
)

// router is a router under test on the loopback interface, with a client for
// it.
type router struct {
	address string
	handler *forward.Handler
	client  *http.Client
}

// testConfig returns a configuration whose route prefixes name the kind of the
// route: a request to /once/ must not run twice, one to /again/ may.
func testConfig() routing.Config {
	shares := []routing.Share{{Service: "pool", Weight: 1}}
	return routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: routing.NonIdempotent, Timeout: 2000, MaxAttempts: 1, Shares: shares},
			{Name: "again", Host: "a.example", Prefix: "/again/", Kind: routing.Idempotent, Timeout: 2000, MaxAttempts: 2, Shares: shares},
			{Name: "stream", Host: "a.example", Prefix: "/stream/", Kind: routing.Stream, Timeout: 2000, MaxAttempts: 1, Sticky: true, Shares: shares},
			{Name: "resume", Host: "a.example", Prefix: "/resume/", Kind: routing.Stream, Resumable: true, Timeout: 2000, MaxAttempts: 2, Sticky: true, Shares: shares},
			{Name: "public", Host: "a.example", Prefix: "/public/", Kind: routing.Idempotent, Timeout: 2000, MaxAttempts: 1, Public: true, Shares: shares},
		},
		Services:   []routing.Service{{Name: "pool", MaxConnections: 100}},
		Workspaces: []routing.Workspace{{ID: "grocer", Keys: []string{"key-1"}}},
		Limits:     routing.Limits{HeaderBytes: 2000, BodyBytes: 1000},
	}
}

// startUnconfiguredRouter starts a router that knows its upstreams but has no
// configuration yet.
func startUnconfiguredRouter(t testing.TB, upstreams ...*fakeUpstream) *router {
	t.Helper()
	var listed []registry.Upstream
	for i, upstream := range upstreams {
		listed = append(listed, registry.Upstream{ID: ident.UpstreamID(fmt.Sprintf("i-%d", i)), Service: "pool", Address: upstream.address(), Software: "v1"})
	}
	known := new(registry.Registry)
	known.Replace(time.Now(), 1, listed)
	cacheIndex, loads, tracker := new(balance.CacheIndex), new(balance.Loads), new(health.Tracker)
	handler := &forward.Handler{
		Routes:      new(routing.CurrentTable),
		Registry:    known,
		Loads:       loads,
		CacheIndex:  cacheIndex,
		Health:      tracker,
		Strikes:     new(strike.Guard),
		Connections: &forward.Connections{Dial: forward.Dialer().DialContext},
		Routers:     func() int { return 1 },
		Logger:      logging.Component(nil, "forward"),
		LogLimiter:  rate.NewLimiter(rate.Inf, 0),
	}
	handler.Tune(forward.Tuning{Chooser: chooserOf(handler), RetryShare: 0.2, RetrySlack: 50})
	listener := listen(t)
	server := &http.Server{Handler: handler, ConnContext: forward.ConnContext, ErrorLog: nil}
	serve(t, server, &forward.Listener{Listener: listener})
	return &router{address: listener.Addr().String(), handler: handler, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// setSoftware changes the software versions that the rows of the upstreams name.
func (router *router) setSoftware(versions ...ident.SoftwareVersion) {
	listed := router.handler.Registry.Upstreams()
	for i, version := range versions {
		listed[i].Software, listed[i].Version = version, 2
	}
	router.handler.Registry.Replace(time.Now(), 2, listed)
}

// chooserOf returns a chooser over what handler knows of its upstreams.
func chooserOf(handler *forward.Handler) *balance.Chooser {
	return &balance.Chooser{
		Loads: handler.Loads, CacheIndex: handler.CacheIndex, Ejected: handler.Health.Ejected, OnProbation: handler.Health.OnProbation,
		Limit: func(now time.Time, upstream registry.Upstream) balance.LimitState {
			return balance.LimitState(handler.Quota.State(now, upstream))
		},
		Multiple: 2, Slack: 1,
	}
}

// startRouter starts a router with the configuration of testConfig.
func startRouter(t testing.TB, upstreams ...*fakeUpstream) *router {
	t.Helper()
	router := startUnconfiguredRouter(t, upstreams...)
	router.handler.Routes.Adopt(routing.New(testConfig()))
	return router
}

// outcome is what the caller received.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error
}

func (router *router) send(t *testing.T, attempt, method, path, body string, header ...string) outcome {
	t.Helper()
	response, err := router.do(t, attempt, method, path, body, header...)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, header: response.Header, body: string(read), err: err}
}

// discard sends a request and reads the answer without keeping its body.
func (router *router) discard(t *testing.T, path string) outcome {
	t.Helper()
	response, err := router.do(t, "a1", "POST", path, "")
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return outcome{status: response.StatusCode, header: response.Header, err: err}
}

func (router *router) do(t *testing.T, attempt, method, path, body string, header ...string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+router.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Hickoryhead-Attempt-Id", attempt)
	request.Header.Set("Hickoryhead-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Token key-1")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return router.client.Do(request)
}

// check fails the test unless the caller received status and body. An empty
// body matches any.
func (outcome outcome) check(t *testing.T, status int, body string) {
	t.Helper()
	if outcome.err != nil || outcome.status != status || body != "" && outcome.body != body {
		t.Errorf("got status %d, body %q and error %v, want status %d and body %q", outcome.status, outcome.body, outcome.err, status, body)
	}
}
