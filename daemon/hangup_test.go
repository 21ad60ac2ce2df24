package daemon

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
)

// lineWriter passes on each log line, while there is room.
type lineWriter chan string

func (lineWriter lineWriter) Write(line []byte) (int, error) {
	select {
	case lineWriter <- string(line):
	default:
	}
	return len(line), nil
}

// runningRouter is a router that runs until the end of a test.
type runningRouter struct {
	router *Router
	ended  chan error
}

func (runningRouter *runningRouter) run(ctx context.Context) {
	runningRouter.ended <- runningRouter.router.Run(ctx)
}

func startRouter(t *testing.T, router *Router) *runningRouter {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningRouter{router: router, ended: make(chan error, 1)}
	go running.run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-running.ended; err != nil {
			t.Errorf("got %v from Run, want nil", err)
		}
	})
	return running
}

// TestHangupDoesNotEndADaemon guards against a SIGHUP that ends a router or a sidecar, and so cuts
// its requests: operators send it to daemons whose settings file has changed.
func TestHangupDoesNotEndADaemon(t *testing.T) {
	lines := make(lineWriter, 1024)
	router := &Router{
		Config: config.Router{
			Daemon: config.Daemon{
				VM: "vm-1", Zone: "est-a", Region: "est", Platform: "127.0.0.1:1",
				PeerListen: "127.0.0.1:0", Secret: strings.Repeat("s", 32), StopTimeoutMs: 5000,
			},
			CallerListen:   "127.0.0.1:0",
			OperatorListen: "127.0.0.1:0",
		},
		Logger: slog.New(slog.NewTextHandler(lines, nil)),
	}
	started := make(chan Addresses, 1)
	router.OnStart = func(addresses Addresses) { started <- addresses }
	running := startRouter(t, router)
	<-started
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	timeout := time.After(5 * time.Second)
	for logged := false; !logged; {
		select {
		case line := <-lines:
			logged = strings.Contains(line, "Settings not reloaded.")
		case err := <-running.ended:
			t.Fatalf("got the end of the router (%v) after SIGHUP, want it to run on", err)
		case <-timeout:
			t.Fatal("got no log line of the signal, want one")
		}
	}
}
