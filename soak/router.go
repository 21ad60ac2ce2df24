package soak

import (
	"cmp"
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
	"github.com/hickoryhead/hickoryhead/faultproxy"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// plannedStopTimeout is the time that a router has for a planned stop.
	plannedStopTimeout = 6 * time.Second
	// readyProbeInterval is the interval and the timeout of the readiness probes
	// of the load balancer.
	readyProbeInterval = 300 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes that takes a
	// router out of rotation.
	maxFailedProbes = 2
)

// router is a router process, which may be started several times. The runs share
// the name, settings, addresses and log.
type router struct {
	name    string
	program string
	// previous is the program that the router runs until it is upgraded; empty means
	// that it is.
	previous string
	path     string
	settings config.Entry
	store    *faultproxy.Proxy
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	err     error
	// runs counts the starts. wasReady says that the current run has been ready,
	// and stopping, frozen and killed say which signals were sent to it.
	runs         int
	wasReady     bool
	stopping     bool
	frozen       bool
	killed       bool
	failedProbes int
	startedAt    time.Time
}

func newRouter(name, program, dir, storeAt string, ports *portBlock) (*router, error) {
	store, err := faultproxy.Start(storeAt)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	router := &router{name: name, program: program, path: filepath.Join(dir, name+".json"), store: store, log: log}
	router.settings = config.Entry{
		VM: ident.VMID(name), Zone: "a", Platform: store.Address(),
		MemoryMB: maxRouterMB, StopTimeoutMs: 6000, LoadMultiple: 2, RetryShare: 0.2, RetrySlack: 50,
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

// start starts the process.
func (router *router) start() error {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.command = exec.Command(cmp.Or(router.previous, router.program), "entry", "--settings", router.path)
	router.command.Stdout = router.log
	router.command.Stderr = router.log
	router.ended = make(chan struct{})
	router.runs++
	router.wasReady, router.stopping, router.frozen, router.killed = false, false, false, false
	router.failedProbes = maxFailedProbes
	router.startedAt = time.Now()
	if err := router.command.Start(); err != nil {
		return errors.Wrap(err, router.name)
	}
	exitWaiter := &exitWaiter{router: router, command: router.command, ended: router.ended}
	go exitWaiter.run()
	return nil
}

// exitWaiter waits for the end of a run and records its error.
type exitWaiter struct {
	router  *router
	command *exec.Cmd
	ended   chan struct{}
}

func (exitWaiter *exitWaiter) run() {
	err := exitWaiter.command.Wait()
	exitWaiter.router.mu.Lock()
	exitWaiter.router.err = err
	exitWaiter.router.mu.Unlock()
	close(exitWaiter.ended)
}

// signal sends a signal to the process of the current run, by its ID.
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
	// Signalling a process that has exited fails without effect.
	_ = router.command.Process.Signal(signal)
}

// kill kills the process.
func (router *router) kill() {
	router.signal(syscall.SIGCONT)
	router.signal(syscall.SIGKILL)
}

// end kills the process and waits for its end.
func (router *router) end() {
	router.kill()
	<-router.ended
}

// crashed reports whether the current run has ended although it was neither stopped
// nor killed.
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

// stoppedBadly reports whether the run ended with an error after SIGTERM. One that
// was not ready yet may end by that signal: a process that has just begun does not
// handle signals, and has taken no request.
func (router *router) stoppedBadly() bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	var exit *exec.ExitError
	if errors.As(router.err, &exit) && !router.wasReady {
		status, known := exit.Sys().(syscall.WaitStatus)
		return !known || !status.Signaled() || status.Signal() != syscall.SIGTERM
	}
	return router.err != nil
}

// probe sends one readiness probe, as a load balancer does, and records the result.
func (router *router) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyProbeInterval)
	defer cancel()
	ready := standin.Ready(ctx, router.settings.ReadyListen)
	router.mu.Lock()
	defer router.mu.Unlock()
	if ready {
		router.failedProbes = 0
		router.wasReady = true
		return
	}
	router.failedProbes++
}

// inRotation reports whether the load balancer sends callers to the router.
func (router *router) inRotation() bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.failedProbes < maxFailedProbes
}

// incarnation returns the number of the current run, counted from 1.
func (router *router) incarnation() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.runs
}

func (router *router) close() {
	router.end()
	router.store.Close()
	_ = router.log.Close()
}
