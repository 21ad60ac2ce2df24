package crowdtest_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// memoryMB is the memory of the smallest VM.
	memoryMB = 136
	// maxBodyBytes is the limit of the configuration for a request body.
	maxBodyBytes = 4 << 20
	// descriptorLimit is the descriptor limit of the process, and maxDescriptors how many
	// of them it may have open: an eighth is left for connections to upstreams, the store
	// and other routers.
	descriptorLimit = 400
	maxDescriptors  = descriptorLimit - descriptorLimit/8
	// sampleInterval is how often the descriptors are counted.
	sampleInterval = 20 * time.Millisecond
	readyTimeout   = 20 * time.Second
)

// programDir holds the program under test.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programDir = dir
	output, err := exec.Command("go", "build", "-o", dir+"/", "github.com/hickoryhead/hickoryhead/cmd/hickoryhead").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// router is a router process in front of one upstream.
type router struct {
	t         *testing.T
	upstream  *upstream
	settings  config.Entry
	addresses entry.Addresses
	process   *os.Process
	ended     chan struct{}
	log       fleettest.Buffer

	peakDescriptors atomic.Int64
	stopSampling    chan struct{}
}

// startRouter starts a store, an upstream and a router with the descriptor limit, and waits
// until the router serves.
func startRouter(t *testing.T) *router {
	t.Helper()
	router := &router{t: t, upstream: startUpstream(t), ended: make(chan struct{}), stopSampling: make(chan struct{})}
	store := new(standin.Platform)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	write := func(table platform.TableName, key platform.Key, value string) {
		store.Write(platform.Record{Table: table, Key: key, Value: []byte(value)})
	}
	write(platform.ServerTable, "i-1", fmt.Sprintf(`{"service":"pool","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold-remaining-ms":0,"seq":4,"born":1700000000000}`, router.upstream.address))
	route := func(name, kind string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","prefix":"/%s/","route-type":%q,"timeout-ms":40000,"target-latency-ms":20000,"priority":1,"service":"pool","max-attempts":2,"public":true}`, name, name, kind)
	}
	write(platform.OperatorTable, platform.ConfigKey, fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[{"name":"pool","health-path":"/healthz","max-connections":4000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t","api-keys":["k"]}]}`,
		route("plain", "idempotent"), route("stream", "streaming"), maxBodyBytes))
	listen := fleettest.AnyPort()
	router.settings = config.Entry{
		VM: "vm-1", Zone: "a", Platform: strings.TrimPrefix(server.URL, "http://"),
		CallerListen: listen, ReadyListen: listen, PeerListen: listen, MetricsListen: listen,
		StopTimeoutMs: 8000, LoadMultiple: 2, RetryShare: 0.2, RetrySlack: 20, MemoryMB: memoryMB,
	}
	router.start()
	router.waitServing("a router that serves", readyTimeout)
	return router
}

// start starts the process and waits until it listens.
func (router *router) start() {
	router.t.Helper()
	content, err := json.Marshal(router.settings)
	if err != nil {
		router.t.Fatal(err)
	}
	path := filepath.Join(router.t.TempDir(), "entry.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		router.t.Fatal(err)
	}
	// The shell sets the limit and becomes the router.
	script := fmt.Sprintf("ulimit -n %d && exec %s entry --settings %s", descriptorLimit, filepath.Join(programDir, "hickoryhead"), path)
	command := exec.Command("/bin/sh", "-c", script)
	command.Stderr = &router.log
	output, err := command.StdoutPipe()
	if err != nil {
		router.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		router.t.Fatal(err)
	}
	router.process = command.Process
	started := make(chan entry.Addresses, 1)
	go func() {
		defer close(router.ended)
		reader := bufio.NewReader(output)
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				break
			}
			_, _ = router.log.Write(line)
			if addresses, found := fleettest.EntryStarted(string(line)); found {
				started <- addresses
			}
		}
		if err := command.Wait(); err != nil {
			_, _ = router.log.Write([]byte(err.Error() + "\n"))
		}
	}()
	router.t.Cleanup(router.stop)
	select {
	case router.addresses = <-started:
	case <-router.ended:
		router.t.Fatalf("router ended before it listened:\n%s", router.log.String())
	case <-time.After(readyTimeout):
		router.t.Fatalf("router does not listen:\n%s", router.log.String())
	}
	go router.sample()
}

func (router *router) stop() {
	close(router.stopSampling)
	// Killing a process that has exited fails without effect.
	_ = router.process.Kill()
	<-router.ended
	if router.t.Failed() {
		router.t.Logf("end of the router's log:\n%s", lastBytes(router.log.String(), 4000))
	}
}

func lastBytes(text string, count int) string { return text[max(len(text)-count, 0):] }

// sample records the highest number of open descriptors.
func (router *router) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-router.stopSampling:
			return
		case <-ticker.C:
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", router.process.Pid))
		if err != nil {
			continue
		}
		router.peakDescriptors.Store(max(router.peakDescriptors.Load(), int64(len(entries))))
	}
}

// peakMemoryKB returns the most memory that was resident, in KB.
func (router *router) peakMemoryKB() (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		}
	}
	return 0, errors.New("no peak of the resident memory")
}

// check checks that the process lives and that it has kept to its memory and descriptors.
func (router *router) check() {
	router.t.Helper()
	select {
	case <-router.ended:
		router.t.Fatal("the router has ended, want it to run")
	default:
	}
	peak, err := router.peakMemoryKB()
	if err != nil {
		router.t.Fatal(err)
	}
	descriptors := router.peakDescriptors.Load()
	router.t.Logf("peak of %d KB resident and %d descriptors", peak, descriptors)
	if want := memoryMB << 10; peak > want {
		router.t.Errorf("got a peak of %d KB resident, want at most %d", peak, want)
	}
	if descriptors > maxDescriptors {
		router.t.Errorf("got a peak of %d open descriptors, want at most %d", descriptors, maxDescriptors)
	}
}
