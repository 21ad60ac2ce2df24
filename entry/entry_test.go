package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// fixture is a store, some upstreams and a router in front of them.
type fixture struct {
	t            *testing.T
	store        *standin.Platform
	storeAddress string
	upstreams    map[string]*upstream
	config       config.Entry
	// reload, unless nil, reads the settings again.
	reload    func() (config.Entry, error)
	log       fleettest.Buffer
	daemon    *entry.Daemon
	addresses entry.Addresses
	cancel    context.CancelFunc
	done      chan struct{}
}

// upstream answers each request with its own ID, after a delay.
type upstream struct {
	id      string
	server  *httptest.Server
	delay   atomic.Int64
	served  atomic.Int64
	started chan struct{}
}

func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if got := request.Header.Get("Hickoryhead-Expect-Instance"); got != upstream.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	upstream.served.Add(1)
	select {
	case upstream.started <- struct{}{}:
	default:
	}
	time.Sleep(time.Duration(upstream.delay.Load()))
	writer.Header().Set("Hickoryhead-Attempt-Id", request.Header.Get("Hickoryhead-Attempt-Id"))
	writer.Header().Set("Hickoryhead-Response-Signature", "s")
	_, _ = io.WriteString(writer, upstream.id)
}

// anyPort makes the system choose a free port.
const anyPort = "127.0.0.1:0"

// client sends the requests of the tests, bounded by a timeout.
var client = &http.Client{Transport: new(http.Transport), Timeout: 10 * time.Second}

// newFixture returns a fixture with a configuration and a ready upstream for
// each of ids. Its router is not started.
func newFixture(t *testing.T, ids ...string) *fixture {
	t.Helper()
	fixture := &fixture{t: t, store: new(standin.Platform), upstreams: make(map[string]*upstream)}
	server := httptest.NewServer(fixture.store)
	t.Cleanup(server.Close)
	fixture.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for _, id := range ids {
		fixture.upstreams[id] = &upstream{id: id, started: make(chan struct{}, 1)}
		fixture.upstreams[id].server = httptest.NewServer(fixture.upstreams[id])
		t.Cleanup(fixture.upstreams[id].server.Close)
		fixture.writeUpstream(id, "ready")
	}
	fixture.writeConfig(1, "/first/")
	fixture.config = config.Entry{
		VM: "vm-1", Zone: "a", Platform: fixture.storeAddress,
		CallerListen: anyPort, ReadyListen: anyPort, PeerListen: anyPort,
		StopTimeoutMs: 8000, LoadMultiple: 2, RetryShare: 0.2, RetrySlack: 20,
	}
	return fixture
}

// serverRow is the row of an upstream, as the platform spells it.
type serverRow struct {
	Service string     `json:"service"`
	Address string     `json:"address"`
	Zone    ident.Zone `json:"zone"`
	Version string     `json:"version"`
	Slots   int        `json:"slots"`
	State   string     `json:"state"`
	// ColdRemaining is how much longer the upstream is cold, or nil if the row doesn't say.
	ColdRemaining *ident.Milliseconds `json:"cold-remaining-ms,omitempty"`
	Seq           int                 `json:"seq"`
	// Born is when the process started, in Unix milliseconds.
	Born int64 `json:"born"`
}

// rowOf returns the row of an upstream that is ready and has not started again.
func (fixture *fixture) rowOf(id string) serverRow {
	address := strings.TrimPrefix(fixture.upstreams[id].server.URL, "http://")
	return serverRow{Service: "pool", Address: address, Zone: "a", Version: "v1", Slots: 4, State: "ready", Seq: 4, Born: 1700000000000}
}

func (fixture *fixture) writeRow(id string, row serverRow) {
	fixture.t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.store.Write(platform.Record{Table: platform.ServerTable, Key: platform.Key(id), Value: value})
}

// writeUpstream writes the row of an upstream with the state, which is not cold.
func (fixture *fixture) writeUpstream(id, state string) {
	row := fixture.rowOf(id)
	row.State, row.ColdRemaining = state, new(ident.Milliseconds)
	fixture.writeRow(id, row)
}

// writeConfig writes a configuration with one route at prefix.
func (fixture *fixture) writeConfig(version int, prefix string) {
	fixture.writeConfigWith(version, prefix, `"tls":false`)
}

// writeConfigWith writes a configuration with one route at prefix, and more members of its service.
func (fixture *fixture) writeConfigWith(version int, prefix, members string) {
	value := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","prefix":%q,"route-type":"idempotent","timeout-ms":6000,"target-latency-ms":300,"priority":1,"service":"pool","max-attempts":2,"public":true}],"services":[{"name":"pool","health-path":"/healthz","max-connections":100,"protocol":"h1",%s}],"limits":{"max-header-bytes":16384,"max-body-bytes":4096,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t","api-keys":["k"]}]}`, version, prefix, members)
	fixture.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(value)})
}

// start runs a router until the test ends and waits until it listens.
func (fixture *fixture) start() {
	fixture.daemon = &entry.Daemon{Config: fixture.config, Reload: fixture.reload, Logger: slog.New(slog.NewJSONHandler(&fixture.log, nil))}
	ctx, cancel := context.WithCancel(context.Background())
	fixture.cancel, fixture.done = cancel, make(chan struct{})
	runner := &daemonRunner{daemon: fixture.daemon, done: fixture.done, t: fixture.t}
	started := make(chan entry.Addresses, 1)
	fixture.daemon.OnStart = func(addresses entry.Addresses) { started <- addresses }
	go runner.run(ctx)
	fixture.t.Cleanup(func() {
		cancel()
		<-runner.done
	})
	select {
	case fixture.addresses = <-started:
	case <-runner.done:
		fixture.t.Fatal("router ended before it listened")
	}
}

// daemonRunner runs a daemon and closes done when it has ended.
type daemonRunner struct {
	daemon *entry.Daemon
	done   chan struct{}
	t      *testing.T
}

func (runner *daemonRunner) run(ctx context.Context) {
	defer close(runner.done)
	if err := runner.daemon.Run(ctx); err != nil {
		runner.t.Errorf("Run: got error %v, want none", err)
	}
}

func (fixture *fixture) ready() bool {
	response, err := client.Get("http://" + fixture.addresses.Ready + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// get sends a request and returns the status, body and headers of the answer.
// On failure the status is zero and the body is the text of the error.
func (fixture *fixture) get(path string) (int, string, http.Header) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+fixture.addresses.Callers+path, nil)
	if err != nil {
		fixture.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Hickoryhead-Attempt-Id", "a1")
	request.Header.Set("Hickoryhead-Deadline-Ms", "5000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	if response.Close {
		// net/http removes the header.
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, string(body), response.Header
}

// waitFor fails the test unless condition becomes true within limit.
func (fixture *fixture) waitFor(limit time.Duration, what string, condition func() bool) {
	fixture.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	fixture.t.Errorf("got no %s within %v", what, limit)
}

func TestServesRequests(t *testing.T) {
	fixture := newFixture(t, "i-1", "i-2")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	if status, body, _ := fixture.get("/first/x"); status != 200 || !strings.HasPrefix(body, "i-") {
		t.Errorf("got %d %q, want the answer of an upstream", status, body)
	}
	if status, _, _ := fixture.get("/second/x"); status != 404 {
		t.Errorf("got status %d for a path without a route, want 404", status)
	}
	var line struct{ Attempt, Route, Upstream, Reason string }
	fixture.waitFor(time.Second, "log line of the request", func() bool {
		for text := range strings.SplitSeq(fixture.log.String(), "\n") {
			if json.Unmarshal([]byte(text), &line) == nil && line.Attempt == "a1" && line.Upstream != "" {
				return true
			}
		}
		return false
	})
}

// TestNewestConfigurationStaysInForce guards against a configuration change
// that is missed when the store loses its history, and against an older
// configuration that replaces a newer one.
func TestNewestConfigurationStaysInForce(t *testing.T) {
	fixture := newFixture(t, "i-1")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	servesPath := func(path string) func() bool {
		return func() bool {
			status, _, _ := fixture.get(path)
			return status == 200
		}
	}
	fixture.writeConfig(5, "/second/")
	fixture.waitFor(2*time.Second, "second configuration", servesPath("/second/x"))
	fixture.writeConfig(9, "/third/")
	fixture.store.Forget()
	fixture.waitFor(2*time.Second, "third configuration", servesPath("/third/x"))
	fixture.writeConfig(7, "/second/")
	time.Sleep(500 * time.Millisecond)
	if status, _, _ := fixture.get("/third/x"); status != 200 {
		t.Errorf("got status %d after an older configuration was written, want 200 from the newest one", status)
	}
}

// TestLeavingUpstreamGetsNoNewWork checks that an upstream receives no requests
// from two seconds after the store lists it as leaving.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	fixture := newFixture(t, "i-1", "i-2")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	fixture.writeUpstream("i-1", "draining")
	fixture.store.Remove(platform.RowName{Table: platform.ServerTable, Key: "i-9"})
	time.Sleep(2 * time.Second)
	before := fixture.upstreams["i-1"].served.Load()
	for range 20 {
		if status, body, _ := fixture.get("/first/x"); status != 200 || body != "i-2" {
			t.Errorf("got %d %q, want an answer of i-2", status, body)
		}
	}
	if got := fixture.upstreams["i-1"].served.Load(); got != before {
		t.Errorf("got %d requests at the leaving upstream, want none", got-before)
	}
}

// TestUnreadableRowsAreIgnored guards against rows that the router can't
// decode, as another writer may leave them: they must not affect the other
// rows.
func TestUnreadableRowsAreIgnored(t *testing.T) {
	fixture := newFixture(t, "i-1")
	for i, value := range []string{`{`, `{"service":7}`, `{"service":"pool","address":"nowhere","state":"ready"}`, `{"service":"pool","address":"127.0.0.1:9","state":"asleep"}`, `[]`, ``} {
		fixture.store.Write(platform.Record{Table: platform.ServerTable, Key: platform.Key(fmt.Sprint("x-", i)), Value: []byte(value)})
	}
	fixture.store.Write(platform.Record{Table: platform.OperatorTable, Key: "other", Value: []byte(`{"version":99}`)})
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	for range 5 {
		if status, body, _ := fixture.get("/first/x"); status != 200 || body != "i-1" {
			t.Errorf("got %d %q, want an answer of i-1", status, body)
		}
	}
}

// TestStoreOutage checks that a running router keeps serving while the store is
// unavailable, and that a router started during the outage refuses requests
// until the store recovers.
func TestStoreOutage(t *testing.T) {
	fixture := newFixture(t, "i-1")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	fixture.store.Switch(standin.PlatformSwitches{Outage: true})
	time.Sleep(time.Second)
	if status, _, _ := fixture.get("/first/x"); status != 200 || !fixture.ready() {
		t.Errorf("got status %d during a store outage, want 200 and a ready router", status)
	}
	fixture.cancel()
	<-fixture.done
	fixture.start()
	fixture.waitFor(time.Second, "listener", func() bool {
		status, _, header := fixture.get("/first/x")
		return status == 503 && header.Get("Retry-After") != ""
	})
	if fixture.ready() {
		t.Error("got a ready router without a configuration, want not ready")
	}
	fixture.store.Switch(standin.PlatformSwitches{})
	fixture.waitFor(3*time.Second, "recovery", func() bool {
		status, _, _ := fixture.get("/first/x")
		return status == 200 && fixture.ready()
	})
}

// TestPlannedStopFinishesRequests stops the router during a request and sends
// another one before the listener closes. Both must get a complete answer.
func TestPlannedStopFinishesRequests(t *testing.T) {
	fixture := newFixture(t, "i-1")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	fixture.upstreams["i-1"].delay.Store(int64(1500 * time.Millisecond))
	slow := &slowCall{fixture: fixture, done: make(chan struct{})}
	go slow.run()
	<-fixture.upstreams["i-1"].started
	fixture.upstreams["i-1"].delay.Store(0)
	fixture.cancel()
	time.Sleep(100 * time.Millisecond)
	if fixture.ready() {
		t.Error("got a ready router during its stop, want not ready")
	}
	if status, _, header := fixture.get("/first/x"); status != 200 || header.Get("Connection") != "close" {
		t.Errorf("got status %d and Connection %q during the stop, want 200 and close", status, header.Get("Connection"))
	}
	<-slow.done
	if slow.status != 200 || slow.body != "i-1" {
		t.Errorf("got %d %q for the request in flight, want its complete answer", slow.status, slow.body)
	}
	select {
	case <-fixture.done:
	case <-time.After(8 * time.Second):
		t.Error("router still runs 8 s after the last answer, want it to have ended")
	}
}

// slowCall is a request that is still in flight when the router stops.
type slowCall struct {
	fixture *fixture
	done    chan struct{}
	status  int
	body    string
}

func (call *slowCall) run() {
	defer close(call.done)
	call.status, call.body, _ = call.fixture.get("/first/slow")
}

// TestRoutersDiscoverEachOther checks that a running router learns the address
// of one that finds it in the store.
func TestRoutersDiscoverEachOther(t *testing.T) {
	first := newFixture(t, "i-1")
	first.start()
	first.waitFor(3*time.Second, "readiness", first.ready)
	second := &fixture{t: t, store: first.store, storeAddress: first.storeAddress, upstreams: first.upstreams, config: first.config}
	second.config.VM = ident.VMID("vm-2")
	second.start()
	second.waitFor(3*time.Second, "readiness", second.ready)
	first.waitFor(2*time.Second, "message from the second router", func() bool {
		return strings.Contains(first.log.String(), second.addresses.Peers)
	})
}

// slowConfigStore is a store that answers calls for the operators' table only
// after the client has timed out.
type slowConfigStore struct {
	store *standin.Platform
}

func (store *slowConfigStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("table") == string(platform.OperatorTable) {
		time.Sleep(2 * platform.ResponseIdleTimeout)
	}
	store.store.ServeHTTP(writer, request)
}

// TestConfigurationFromPeerRouter checks that a router which can't read the
// configuration from the store in time gets it from another router.
func TestConfigurationFromPeerRouter(t *testing.T) {
	first := newFixture(t, "i-1")
	first.start()
	first.waitFor(3*time.Second, "readiness", first.ready)
	slow := httptest.NewServer(&slowConfigStore{store: first.store})
	t.Cleanup(slow.Close)
	second := &fixture{t: t, store: first.store, upstreams: first.upstreams, config: first.config}
	second.config.Platform = strings.TrimPrefix(slow.URL, "http://")
	second.config.VM = "vm-2"
	second.start()
	second.waitFor(2*time.Second, "readiness", second.ready)
	if status, _, _ := second.get("/first/x"); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
	first.writeConfig(4, "/second/")
	second.waitFor(2*time.Second, "second configuration", func() bool {
		status, _, _ := second.get("/second/x")
		return status == 200
	})
}

// TestSlowLinkAsksRoutersFirst checks that a router behind a slow link reads
// the configuration from another router, even if the store would answer at
// once.
func TestSlowLinkAsksRoutersFirst(t *testing.T) {
	first := newFixture(t, "i-1")
	first.start()
	first.waitFor(3*time.Second, "readiness", first.ready)
	second := &fixture{t: t, store: first.store, upstreams: first.upstreams, config: first.config}
	second.config.VM = "vm-2"
	second.config.LinkMbps = 10
	second.start()
	second.waitFor(2*time.Second, "readiness", second.ready)
	if !strings.Contains(second.log.String(), "Configuration read from a router.") {
		t.Error("got the configuration from the store, want it from the other router")
	}
}
