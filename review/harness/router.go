package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// graceSeconds, capMultiplier, retryShare and retrySlack are the bounds of a small
	// deployment.
	graceSeconds  = 8
	capMultiplier = 2
	retryShare    = 0.2
	retrySlack    = 54
	// memoryMB and linkMbps are the limits of its machines.
	memoryMB = 284
	linkMbps = 1000.0
)

// router is a process of the entry role.
type router struct {
	name     string
	front    string
	ready    string
	settings string
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
}

// newRouter makes the settings file of a router, as the platform does from
// deploy/entry.json.template.
func newRouter(folder string, index int, storeAddress string) (*router, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, index+1)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("edge-zone-a-%d", index+1)
	router := &router{
		name:     name,
		front:    fmt.Sprintf("%s:%d", ip, ports[0]),
		ready:    fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(folder, name+".json"),
	}
	content, err := json.Marshal(map[string]any{
		"VM":            name,
		"Zone":          "zone-a",
		"Platform":      storeAddress,
		"CallerListen":  router.front,
		"ReadyListen":   router.ready,
		"PeerListen":    fmt.Sprintf("%s:%d", ip, ports[2]),
		"MetricsListen": fmt.Sprintf("%s:%d", ip, ports[3]),
		"StopTimeoutMs": graceSeconds * 1000,
		"LoadMultiple":  capMultiplier,
		"RetryShare":    retryShare,
		"RetrySlack":    retrySlack,
		"LinkMbps":      linkMbps,
		"MemoryMB":      memoryMB,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(router.settings, content, 0o600); err != nil {
		return nil, err
	}
	router.log, err = os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return router, err
}

// freePorts returns ports that are free at ip.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the process with the command of the deploy file.
func (router *router) start() error {
	router.command = exec.Command("target/hickoryhead", "entry")
	router.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HICKORYHEAD_BOOT=" + router.settings}
	router.command.Stdout, router.command.Stderr = router.log, router.log
	router.ended = make(chan struct{})
	if err := router.command.Start(); err != nil {
		return err
	}
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(router.command, router.ended)
	return nil
}

// signal sends a signal to the process.
func (router *router) signal(signal syscall.Signal) {
	_ = router.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (router *router) kill() {
	if router.command == nil || router.command.Process == nil {
		return
	}
	router.signal(syscall.SIGCONT)
	router.signal(syscall.SIGKILL)
	<-router.ended
}

// awaitReady waits until the router answers its readiness check with 200.
func (router *router) awaitReady(until time.Time) error {
	for time.Now().Before(until) {
		if router.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", router.name)
}

// isReady asks for the readiness once.
func (router *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
