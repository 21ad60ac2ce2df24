package changetest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// readyTimeout bounds the start of the router, and changeTimeout how long a change takes.
	readyTimeout  = time.Minute
	changeTimeout = time.Minute
	pollInterval  = 20 * time.Millisecond
	// stopTimeoutMs is how long the router has from the signal to its end.
	stopTimeoutMs = 8000
)

// router is a router process in front of two services with one upstream each.
type router struct {
	t         *testing.T
	store     *standin.Platform
	upstreams map[string]*upstream
	settings  config.Entry
	path      string
	process   *fleettest.Process
	addresses entry.Addresses
}

// startRouter starts a store with a configuration, the upstreams and a router with one
// processor, and waits until it is ready.
func startRouter(t *testing.T, first configuration) *router {
	t.Helper()
	router := &router{t: t, store: new(standin.Platform), upstreams: make(map[string]*upstream)}
	server := httptest.NewServer(router.store)
	t.Cleanup(server.Close)
	for _, service := range []string{serviceA, serviceB} {
		router.upstreams[service] = startUpstream(t)
		router.write(platform.ServerTable, platform.Key("i-"+service), fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"seq":4,"born":1700000000000}`, service, router.upstreams[service].address))
	}
	router.apply(first)
	listen := fleettest.AnyPort()
	router.settings = config.Entry{
		VM: "vm-1", Zone: "a", Platform: strings.TrimPrefix(server.URL, "http://"),
		CallerListen: listen, ReadyListen: listen, PeerListen: listen, MetricsListen: listen,
		StopTimeoutMs: stopTimeoutMs, LoadMultiple: 2, RetryShare: 0.2, RetrySlack: 20,
	}
	router.path = filepath.Join(t.TempDir(), "entry.json")
	router.writeSettings()
	t.Setenv("GOMAXPROCS", "1")
	router.process, router.addresses = fleettest.StartEntry(t, router.path)
	waitFor(t, readyTimeout, "readiness", router.isReady)
	return router
}

func (router *router) write(table platform.TableName, key platform.Key, value string) {
	router.store.Write(platform.Record{Table: table, Key: key, Value: []byte(value)})
}

// apply writes a configuration to the store.
func (router *router) apply(configuration configuration) {
	router.write(platform.OperatorTable, platform.ConfigKey, configuration.encode())
}

// writeSettings replaces the settings file.
func (router *router) writeSettings() {
	router.t.Helper()
	content, err := json.Marshal(router.settings)
	if err != nil {
		router.t.Fatal(err)
	}
	if err := os.WriteFile(router.path+".new", content, 0o600); err != nil {
		router.t.Fatal(err)
	}
	if err := os.Rename(router.path+".new", router.path); err != nil {
		router.t.Fatal(err)
	}
}

func (router *router) isReady() bool {
	return status("http://"+router.addresses.Ready+"/readyz") == http.StatusOK
}

// hasReloaded reports whether the router counts a reload of changed settings.
func (router *router) hasReloaded() bool {
	response, err := client.Get("http://" + router.addresses.Internal + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && bytes.Contains(body, []byte(`event="settings.reloaded"`))
}

// hasVersion reports whether the router serves the route that only one version has.
func (router *router) hasVersion(version int) bool {
	return status("http://"+router.addresses.Callers+versionPrefix(version)+"x") == http.StatusOK
}

// client sends each request on a connection of its own.
var client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}, Timeout: callerTimeout}

// status returns the status of the answer to a GET request, or zero if there is none.
func status(url string) int {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Hickoryhead-Attempt-Id", "probe")
	request.Header.Set("Hickoryhead-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", limit, what)
		}
	}
}

// hasEnded reports whether the process has ended.
func (router *router) hasEnded() bool {
	select {
	case <-router.process.Ended():
		return true
	default:
		return false
	}
}

// hasReachedUpstream reports whether a request has reached an upstream.
func (router *router) hasReachedUpstream(id string) bool {
	for _, upstream := range router.upstreams {
		if upstream.hasReached(id) {
			return true
		}
	}
	return false
}

// limit lets the upstreams name a rate in their answers, or none for zero.
func (router *router) limit(perSecond int64) {
	for _, upstream := range router.upstreams {
		upstream.limit.Store(perSecond)
	}
}

// reload changes the settings file in series, each time with a signal, and waits until a change is
// in force.
func (router *router) reload(t *testing.T) {
	t.Helper()
	for number := range changesInSeries {
		router.settings.RetrySlack = float64(30 + number%2)
		router.writeSettings()
		router.process.Hangup()
		time.Sleep(changeGap)
	}
	waitFor(t, changeTimeout, "the changed settings", router.hasReloaded)
}

const (
	// A process with a small share of a core runs for runningTime and then stands still for
	// stoppedTime.
	runningTime = 10 * time.Millisecond
	stoppedTime = 90 * time.Millisecond
)

// coreShare gives a process a small share of a core.
type coreShare struct {
	process *fleettest.Process
}

// run stops and continues the process until ctx ends, and leaves it running.
func (coreShare *coreShare) run(ctx context.Context) {
	for ctx.Err() == nil {
		coreShare.process.Freeze()
		time.Sleep(stoppedTime)
		coreShare.process.Resume()
		time.Sleep(runningTime)
	}
}
