// Package stage starts entry routers as processes on loopback, with a store, runners and clients
// around them, for the scripts of the second review.
package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// MemoryMB is the memory of a machine of class edge in the small site files.
const MemoryMB = 284

// Config is the value of op/config, as PROTOCOL.md spells it.
type Config struct {
	Version  uint64         `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []Tenant       `json:"tenants"`
}

// Route is one route of a Config.
type Route struct {
	Name           string `json:"name"`
	Host           string `json:"host"`
	Prefix         string `json:"prefix"`
	RouteType      string `json:"route-type"`
	TimeoutMs      int    `json:"timeout-ms"`
	TargetMs       int    `json:"target-latency-ms"`
	Priority       int    `json:"priority"`
	Service        string `json:"service"`
	MaxAttempts    int    `json:"max-attempts"`
	Public         bool   `json:"public"`
	StickySessions bool   `json:"sticky-sessions"`
	ResumeStreams  bool   `json:"resume-streams"`
}

// Service is one service of a Config.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health-path"`
	MaxConnections int    `json:"max-connections"`
}

// Tenant is one tenant of a Config.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api-keys"`
}

// Limits returns the limits of the small site files.
func Limits() map[string]int {
	return map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
}

// Stage holds the store, the runners and the routers of one script. Close ends them.
type Stage struct {
	// Store is the platform's store.
	Store *standin.Platform

	storeAddress string
	dir          string
	record       *os.File
	recordMu     sync.Mutex
	startedAt    time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	listeners    []net.Listener
	routers      []*Router
}

// Open returns a stage whose record is written to the file with the given name.
func Open(recordName string) (*Stage, error) {
	record, err := os.Create(recordName)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	stage := &Stage{Store: new(standin.Platform), dir: dir, record: record, startedAt: time.Now()}
	stage.ctx, stage.cancel = context.WithCancel(context.Background())
	stage.storeAddress, err = stage.Serve(stage.Store)
	return stage, err
}

// Record writes one line to the record, with the time since the start.
func (stage *Stage) Record(format string, values ...any) {
	stage.recordMu.Lock()
	defer stage.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(stage.startedAt).Seconds(), fmt.Sprintf(format, values...))
	// A record that can't be written shows in the file.
	_, _ = stage.record.WriteString(line)
	fmt.Print(line)
}

// Serve serves handler on a free loopback port until Close, and returns the address.
func (stage *Stage) Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	stage.listeners = append(stage.listeners, listener)
	server := &server{server: &http.Server{Handler: handler}, listener: listener}
	go server.run()
	return listener.Addr().String(), nil
}

type server struct {
	server   *http.Server
	listener net.Listener
}

// run ends when the listener is closed.
func (server *server) run() { _ = server.server.Serve(server.listener) }

// PutConfig writes op/config, as the operator does.
func (stage *Stage) PutConfig(config Config) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	stage.Store.Write(platform.Record{Table: "op", Key: "config", Value: value})
	return nil
}

// Router is one process of the deploy file's role entry.
type Router struct {
	// Front is the address for consumers.
	Front string

	ready    string
	settings string
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
	err      error
}

// freeAddresses returns free addresses on a loopback address that no other process uses:
// outgoing connections can't take their ports.
func freeAddresses(count int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, 1+pid%254, 1+rand.IntN(254))
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// StartRouter starts a router with the settings that deploy/entry.json.template makes of the
// settings of a machine of class edge, and waits until it is ready.
func (stage *Stage) StartRouter(name string) (*Router, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"VM": name, "Zone": "richard-toll", "Platform": stage.storeAddress,
		"CallerListen": addresses[0], "ReadyListen": addresses[1],
		"PeerListen": addresses[2], "MetricsListen": addresses[3],
		"StopTimeoutMs": 8000, "LoadMultiple": 2, "RetryShare": 0.2, "RetrySlack": 54,
		"HeartbeatMs": 1200, "LinkMbps": 1000, "MaxDescriptors": 4100, "MemoryMB": MemoryMB,
		"AdmissionControl": true, "Zones": map[string]string{"richard-toll": "fleuve"},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	router := &Router{Front: addresses[0], ready: addresses[1], settings: filepath.Join(stage.dir, name+".json")}
	if err := os.WriteFile(router.settings, content, 0o600); err != nil {
		return nil, err
	}
	if router.log, err = os.Create(filepath.Join(stage.dir, name+".log")); err != nil {
		return nil, err
	}
	stage.routers = append(stage.routers, router)
	router.command = exec.Command("target/hickoryhead-entry", "entry")
	router.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HICKORYHEAD_BOOT=" + router.settings}
	router.command.Stdout, router.command.Stderr = router.log, router.log
	router.ended = make(chan struct{})
	if err := router.command.Start(); err != nil {
		return nil, err
	}
	go router.run()
	stage.Record("router %s started, process %d, consumers at %s", name, router.command.Process.Pid, router.Front)
	for range 100 {
		response, err := http.Get("http://" + router.ready + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return router, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("router %s is not ready within 10 s", name)
}

// run waits for the end of the process.
func (router *Router) run() {
	router.err = router.command.Wait()
	close(router.ended)
}

// Ended reports whether the process has ended.
func (router *Router) Ended() bool {
	select {
	case <-router.ended:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (router *Router) Kill() {
	// Killing a process that has exited fails without effect.
	_ = router.command.Process.Signal(syscall.SIGKILL)
	<-router.ended
}

// ResidentMB returns the resident memory of the process in MB, and zero once it has ended.
func (router *Router) ResidentMB() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kilobytes >> 10
		}
	}
	return 0
}

// Close ends all processes and listeners, and removes the temporary folder. With the
// variable KEEP set it leaves the folder.
func (stage *Stage) Close() {
	for _, router := range stage.routers {
		if router.command.Process != nil {
			router.Kill()
		}
		_ = router.log.Close()
	}
	stage.cancel()
	for _, listener := range stage.listeners {
		_ = listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(stage.dir)
	} else {
		fmt.Println("logs:", stage.dir)
	}
	_ = stage.record.Close()
}
