package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// stopTime is what a router is given for a planned stop.
	stopTime = 6 * time.Second
	// probeEvery is the time between two questions of the balancer.
	probeEvery = 300 * time.Millisecond
	// missesOut is how many answers other than 200 take a router out.
	missesOut = 2
)

// router is one router process, over all its runs.
type router struct {
	name     string
	program  string
	path     string
	settings config.Entry
	store    *proxy
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	err     error
	// runs counts the starts, and stopping and frozen say what was done to the
	// present run.
	runs     int
	stopping bool
	frozen   bool
	killed   bool
	misses   int
	startAt  time.Time
}

func newRouter(name, program, dir, storeAt string, ports *portBlock) (*router, error) {
	store, err := startProxy(storeAt)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	router := &router{name: name, program: program, path: filepath.Join(dir, name+".json"), store: store, log: log}
	router.settings = config.Entry{
		VM: ident.VMID(name), Zone: "a", Platform: store.address(),
		StopTimeoutMs: 6000, LoadMultiple: 2, RetryShare: 0.2, RetrySlack: 50,
	}
	addresses := []*string{&router.settings.CallerListen, &router.settings.ReadyListen, &router.settings.PeerListen, &router.settings.MetricsListen}
	for _, address := range addresses {
		if *address, err = ports.next(); err != nil {
			return nil, err
		}
	}
	return router, router.writeSettings()
}

func (router *router) writeSettings() error {
	content, err := json.Marshal(router.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(router.path, content, 0o600)
}

// start starts a run of the process.
func (router *router) start() error {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.command = exec.Command(router.program, "entry", "--settings", router.path)
	router.command.Stdout = router.log
	router.command.Stderr = router.log
	router.ended = make(chan struct{})
	router.runs++
	router.stopping, router.frozen, router.killed = false, false, false
	router.misses = missesOut
	router.startAt = time.Now()
	if err := router.command.Start(); err != nil {
		return errors.Wrap(err, router.name)
	}
	waiting := &waiting{router: router, command: router.command, ended: router.ended}
	go waiting.run()
	return nil
}

// waiting waits for the end of a run.
type waiting struct {
	router  *router
	command *exec.Cmd
	ended   chan struct{}
}

func (waiting *waiting) run() {
	err := waiting.command.Wait()
	waiting.router.mu.Lock()
	waiting.router.err = err
	waiting.router.mu.Unlock()
	close(waiting.ended)
}

// signal sends a signal to the present run, by its process ID.
func (router *router) signal(signal syscall.Signal) {
	router.mu.Lock()
	defer router.mu.Unlock()
	switch signal {
	case syscall.SIGTERM:
		router.stopping = true
	case syscall.SIGKILL:
		router.killed = true
	case syscall.SIGSTOP:
		router.frozen = true
	case syscall.SIGCONT:
		router.frozen = false
	}
	// A run that has ended takes no signal, which changes nothing.
	_ = router.command.Process.Signal(signal)
}

// end ends the present run at once and waits for it.
func (router *router) end() {
	router.signal(syscall.SIGCONT)
	router.signal(syscall.SIGKILL)
	<-router.ended
}

// crashed reports whether the present run has ended though nothing ended it.
func (router *router) crashed() bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	select {
	case <-router.ended:
		return !router.stopping && !router.killed
	default:
		return false
	}
}

// probe asks once whether the router is ready, as a balancer does.
func (router *router) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeEvery)
	defer cancel()
	ready := standin.Ready(ctx, router.settings.ReadyListen)
	router.mu.Lock()
	defer router.mu.Unlock()
	if ready {
		router.misses = 0
		return
	}
	router.misses++
}

// inRotation reports whether the balancer sends callers to the router.
func (router *router) inRotation() bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.misses < missesOut
}

// incarnation returns the number of the present run.
func (router *router) incarnation() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.runs
}

func (router *router) close() {
	router.end()
	router.store.close()
	_ = router.log.Close()
}
