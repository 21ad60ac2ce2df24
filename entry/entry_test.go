package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// site is a store, some upstreams and a router before them.
type site struct {
	t         *testing.T
	store     *standin.Platform
	storeAt   string
	upstreams map[string]*upstream
	config    config.Entry
	log       syncBuffer
	daemon    *entry.Daemon
	// at is where the router listens.
	at     entry.Addresses
	cancel context.CancelFunc
	done   chan struct{}
}

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (buffer *syncBuffer) Write(data []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.buffer.Write(data)
}

func (buffer *syncBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.buffer.String()
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

// anyPort lets a router listen on a port that is free.
const anyPort = "127.0.0.1:0"

// patient bounds the requests of the tests.
var patient = &http.Client{Transport: new(http.Transport), Timeout: 10 * time.Second}

func startSite(t *testing.T, ids ...string) *site {
	t.Helper()
	made := &site{t: t, store: new(standin.Platform), upstreams: make(map[string]*upstream)}
	server := httptest.NewServer(made.store)
	t.Cleanup(server.Close)
	made.storeAt = strings.TrimPrefix(server.URL, "http://")
	for _, id := range ids {
		made.upstreams[id] = &upstream{id: id, started: make(chan struct{}, 1)}
		made.upstreams[id].server = httptest.NewServer(made.upstreams[id])
		t.Cleanup(made.upstreams[id].server.Close)
		made.list(id, "ready")
	}
	made.configure(1, "/first/")
	made.config = config.Entry{
		VM: "vm-1", Zone: "a", Platform: made.storeAt,
		CallerListen: anyPort, ReadyListen: anyPort, PeerListen: anyPort,
		StopTimeoutMs: 8000, LoadMultiple: 2, RetryShare: 0.2, RetrySlack: 20,
	}
	return made
}

// list writes the row of an upstream.
func (site *site) list(id, state string) {
	address := strings.TrimPrefix(site.upstreams[id].server.URL, "http://")
	value := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"cold-remaining-ms":0,"seq":4,"born":1700000000000}`, address, state)
	site.store.Write(platform.Record{Table: platform.ServerTable, Key: platform.Key(id), Value: []byte(value)})
}

// configure writes a configuration with one route.
func (site *site) configure(version int, prefix string) {
	value := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","prefix":%q,"route-type":"idempotent","timeout-ms":6000,"target-latency-ms":300,"priority":1,"service":"pool","max-attempts":2,"public":true}],"services":[{"name":"pool","health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4096,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t","api-keys":["k"]}]}`, version, prefix)
	site.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(value)})
}

func (site *site) start() {
	site.daemon = &entry.Daemon{Config: site.config, Logger: slog.New(slog.NewJSONHandler(&site.log, nil))}
	ctx, cancel := context.WithCancel(context.Background())
	site.cancel, site.done = cancel, make(chan struct{})
	running := &running{daemon: site.daemon, done: site.done, t: site.t}
	started := make(chan entry.Addresses, 1)
	site.daemon.Started = func(addresses entry.Addresses) { started <- addresses }
	go running.run(ctx)
	site.t.Cleanup(func() {
		cancel()
		<-running.done
	})
	select {
	case site.at = <-started:
	case <-running.done:
		site.t.Fatal("got a router that ended at its start, want one that listens")
	}
}

// running runs a daemon and tells when it has ended.
type running struct {
	daemon *entry.Daemon
	done   chan struct{}
	t      *testing.T
}

func (running *running) run(ctx context.Context) {
	defer close(running.done)
	if err := running.daemon.Run(ctx); err != nil {
		running.t.Errorf("got error %v from the daemon, want none", err)
	}
}

func (site *site) ready() bool {
	response, err := patient.Get("http://" + site.at.Ready + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// get sends a request and returns the status, zero for none, and the body.
func (site *site) get(path string) (int, string, http.Header) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+site.at.Callers+path, nil)
	if err != nil {
		site.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Hickoryhead-Attempt-Id", "a1")
	request.Header.Set("Hickoryhead-Deadline-Ms", "5000")
	response, err := patient.Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	if response.Close {
		// net/http takes the header out.
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, string(body), response.Header
}

// within waits until holds, for at most limit.
func (site *site) within(limit time.Duration, what string, holds func() bool) {
	site.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	site.t.Errorf("got no %s within %v, want it", what, limit)
}

func TestCalmDay(t *testing.T) {
	site := startSite(t, "i-1", "i-2")
	site.start()
	site.within(3*time.Second, "readiness", site.ready)
	if status, body, _ := site.get("/first/x"); status != 200 || !strings.HasPrefix(body, "i-") {
		t.Errorf("got %d %q, want the answer of an upstream", status, body)
	}
	if status, _, _ := site.get("/second/x"); status != 404 {
		t.Errorf("got status %d for a route of no configuration, want 404", status)
	}
	var line struct{ Attempt, Route, Upstream, Reason string }
	site.within(time.Second, "log line of the request", func() bool {
		for text := range strings.SplitSeq(site.log.String(), "\n") {
			if json.Unmarshal([]byte(text), &line) == nil && line.Attempt == "a1" && line.Upstream != "" {
				return true
			}
		}
		return false
	})
}

// TestConfigurationIsInForceAndStays changes the configuration, also while the
// history of the store is lost, and lets an older one come afterwards.
func TestConfigurationIsInForceAndStays(t *testing.T) {
	site := startSite(t, "i-1")
	site.start()
	site.within(3*time.Second, "readiness", site.ready)
	serves := func(path string) func() bool {
		return func() bool {
			status, _, _ := site.get(path)
			return status == 200
		}
	}
	site.configure(5, "/second/")
	site.within(2*time.Second, "second configuration", serves("/second/x"))
	site.configure(9, "/third/")
	site.store.Forget()
	site.within(2*time.Second, "third configuration", serves("/third/x"))
	site.configure(7, "/second/")
	time.Sleep(500 * time.Millisecond)
	if status, _, _ := site.get("/third/x"); status != 200 {
		t.Errorf("got status %d after an older configuration came, want the newest one in force", status)
	}
}

// TestLeavingUpstreamGetsNoNewWork holds the router to two seconds from the
// write that says so.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	site := startSite(t, "i-1", "i-2")
	site.start()
	site.within(3*time.Second, "readiness", site.ready)
	site.list("i-1", "draining")
	site.store.Remove(platform.RowName{Table: platform.ServerTable, Key: "i-9"})
	time.Sleep(2 * time.Second)
	before := site.upstreams["i-1"].served.Load()
	for range 20 {
		if status, body, _ := site.get("/first/x"); status != 200 || body != "i-2" {
			t.Errorf("got %d %q, want an answer of i-2", status, body)
		}
	}
	if got := site.upstreams["i-1"].served.Load(); got != before {
		t.Errorf("got %d requests at the leaving upstream, want none", got-before)
	}
}

// TestUnreadableRows come from another writer and change nothing else.
func TestUnreadableRows(t *testing.T) {
	site := startSite(t, "i-1")
	for i, value := range []string{`{`, `{"service":7}`, `{"service":"pool","address":"nowhere","state":"ready"}`, `{"service":"pool","address":"127.0.0.1:9","state":"asleep"}`, `[]`, ``} {
		site.store.Write(platform.Record{Table: platform.ServerTable, Key: platform.Key(fmt.Sprint("x-", i)), Value: []byte(value)})
	}
	site.store.Write(platform.Record{Table: platform.OperatorTable, Key: "other", Value: []byte(`{"version":99}`)})
	site.start()
	site.within(3*time.Second, "readiness", site.ready)
	for range 5 {
		if status, body, _ := site.get("/first/x"); status != 200 || body != "i-1" {
			t.Errorf("got %d %q, want an answer of i-1", status, body)
		}
	}
}

// TestStoreAway takes the store away under a running router, and from one that
// starts.
func TestStoreAway(t *testing.T) {
	site := startSite(t, "i-1")
	site.start()
	site.within(3*time.Second, "readiness", site.ready)
	site.store.Switch(standin.PlatformSwitches{Outage: true})
	time.Sleep(time.Second)
	if status, _, _ := site.get("/first/x"); status != 200 || !site.ready() {
		t.Errorf("got status %d while the store is away, want 200 and a ready router", status)
	}
	site.cancel()
	<-site.done
	site.start()
	site.within(time.Second, "listener", func() bool {
		status, _, header := site.get("/first/x")
		return status == 503 && header.Get("Retry-After") != ""
	})
	if site.ready() {
		t.Error("got a ready router without a configuration, want one that is not")
	}
	site.store.Switch(standin.PlatformSwitches{})
	site.within(3*time.Second, "recovery", func() bool {
		status, _, _ := site.get("/first/x")
		return status == 200 && site.ready()
	})
}

// TestPlannedStopCutsNothing stops the router while a request is running and
// while its caller goes on to send.
func TestPlannedStopCutsNothing(t *testing.T) {
	site := startSite(t, "i-1")
	site.start()
	site.within(3*time.Second, "readiness", site.ready)
	site.upstreams["i-1"].delay.Store(int64(1500 * time.Millisecond))
	slow := &slowCall{site: site, done: make(chan struct{})}
	go slow.run()
	<-site.upstreams["i-1"].started
	site.upstreams["i-1"].delay.Store(0)
	site.cancel()
	time.Sleep(100 * time.Millisecond)
	if site.ready() {
		t.Error("got a ready router that stops, want one that is not")
	}
	if status, _, header := site.get("/first/x"); status != 200 || header.Get("Connection") != "close" {
		t.Errorf("got status %d and Connection %q during the stop, want 200 and close", status, header.Get("Connection"))
	}
	<-slow.done
	if slow.status != 200 || slow.body != "i-1" {
		t.Errorf("got %d %q for the request in flight, want its whole answer", slow.status, slow.body)
	}
	select {
	case <-site.done:
	case <-time.After(8 * time.Second):
		t.Error("got a router that runs on after its time to stop, want its end")
	}
}

// slowCall is a request in flight.
type slowCall struct {
	site   *site
	done   chan struct{}
	status int
	body   string
}

func (call *slowCall) run() {
	defer close(call.done)
	call.status, call.body, _ = call.site.get("/first/slow")
}

// TestTwoRoutersKnowEachOther lets the second one find the first by the store.
func TestTwoRoutersKnowEachOther(t *testing.T) {
	first := startSite(t, "i-1")
	first.start()
	first.within(3*time.Second, "readiness", first.ready)
	second := &site{t: t, store: first.store, storeAt: first.storeAt, upstreams: first.upstreams, config: first.config}
	second.config.VM = ident.VMID("vm-2")
	second.start()
	second.within(3*time.Second, "readiness", second.ready)
	first.within(2*time.Second, "word of the second router", func() bool {
		return strings.Contains(first.log.String(), second.at.Peers)
	})
}

// slowConfig is a store that takes too long to give the operators' table.
type slowConfig struct {
	store *standin.Platform
}

func (slow *slowConfig) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("table") == string(platform.OperatorTable) {
		time.Sleep(2 * platform.AnswerSilence)
	}
	slow.store.ServeHTTP(writer, request)
}

// TestConfigurationFromARouter starts a router whose store is too slow for the
// configuration, beside one that has it.
func TestConfigurationFromARouter(t *testing.T) {
	first := startSite(t, "i-1")
	first.start()
	first.within(3*time.Second, "readiness", first.ready)
	slow := httptest.NewServer(&slowConfig{store: first.store})
	t.Cleanup(slow.Close)
	second := &site{t: t, store: first.store, upstreams: first.upstreams, config: first.config}
	second.config.Platform = strings.TrimPrefix(slow.URL, "http://")
	second.config.VM = "vm-2"
	second.start()
	second.within(2*time.Second, "readiness", second.ready)
	if status, _, _ := second.get("/first/x"); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
	first.configure(4, "/second/")
	second.within(2*time.Second, "second configuration", func() bool {
		status, _, _ := second.get("/second/x")
		return status == 200
	})
}

// TestSlowLinkAsksRoutersFirst starts a router behind a slow link beside one that
// has the configuration, with a store that would give it at once.
func TestSlowLinkAsksRoutersFirst(t *testing.T) {
	first := startSite(t, "i-1")
	first.start()
	first.within(3*time.Second, "readiness", first.ready)
	second := &site{t: t, store: first.store, upstreams: first.upstreams, config: first.config}
	second.config.VM = "vm-2"
	second.config.LinkMbps = 10
	second.start()
	second.within(2*time.Second, "readiness", second.ready)
	if !strings.Contains(second.log.String(), "Configuration read from a router.") {
		t.Error("got a configuration from the store, want it from the other router")
	}
}
