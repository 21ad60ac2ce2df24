package entry_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// lifetime is the time from the first row of an upstream's process to its crash, which is
// zero while it runs.
type lifetime struct {
	upstream    ident.UpstreamID
	from, until time.Time
}

func newUpstreamID(n int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprint("i-", n)) }

// startUpstream starts an upstream. When a request crashes it, another one starts after
// restartAfter, under a new ID unless sameID is set, and the row of an old ID expires.
func (fleet *crashFleet) startUpstream(id ident.UpstreamID) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fleet.t.Error(err)
		return
	}
	fleet.started++
	life := len(fleet.lives)
	fleet.lives = append(fleet.lives, lifetime{upstream: id, from: time.Now()})
	runner := &standin.Runner{
		ID:           id,
		Service:      "pool",
		Address:      listener.Addr().String(),
		CrashMarker:  crashBody,
		CrashAttempt: fleet.crashAttempt,
		CrashPart:    fleet.crashPart,
		Software:     "v1",
		Write: func(record platform.Record) error {
			fleet.store.Write(record)
			return nil
		},
	}
	if fleet.software != nil {
		runner.Software = fleet.software(fleet.started)
	}
	runner.OnStart = func(attempt ident.AttemptID) {
		fleet.recordRun(id, attempt)
		if fleet.onRun != nil {
			fleet.onRun(runner, attempt)
		}
	}
	runner.Slow(fleet.runTime)
	fleet.runners = append(fleet.runners, runner)
	server := &http.Server{Handler: &upstreamHandler{fleet: fleet, runner: runner, life: life}}
	fleet.servers = append(fleet.servers, server)
	ctx, cancel := context.WithCancel(context.Background())
	fleet.t.Cleanup(cancel)
	runner.OnCrash = func() {
		cancel()
		if !fleet.recordCrash(life) {
			return
		}
		next := fleet.nextID(id)
		if next != id {
			time.AfterFunc(fleet.rowExpiry, func() { fleet.store.Remove(runner.Row()) })
		}
		time.AfterFunc(fleet.restartAfter, func() { fleet.startUpstream(next) })
		if fleet.silent {
			_ = listener.Close()
			time.Sleep(crashRetries * crashRetryInterval)
		}
		_ = server.Close()
	}
	process := &upstreamProcess{server: server, listener: listener, runner: runner}
	go process.run(ctx)
}

// upstreamHandler is the handler of an upstream, which does not answer once it has crashed
// in silence.
type upstreamHandler struct {
	fleet  *crashFleet
	runner *standin.Runner
	life   int
}

// ServeHTTP answers a request, or waits until the connection is closed.
func (handler *upstreamHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if handler.fleet.silent && handler.fleet.hasCrashed(handler.life) {
		<-request.Context().Done()
		return
	}
	handler.runner.ServeHTTP(writer, request)
}

// upstreamProcess serves an upstream and writes its row until ctx ends.
type upstreamProcess struct {
	server   *http.Server
	listener net.Listener
	runner   *standin.Runner
}

func (process *upstreamProcess) run(ctx context.Context) {
	serving := &upstreamServer{server: process.server, listener: process.listener}
	go serving.run()
	process.runner.Run(ctx)
}

// upstreamServer serves HTTP until its server is closed.
type upstreamServer struct {
	server   *http.Server
	listener net.Listener
}

func (server *upstreamServer) run() { _ = server.server.Serve(server.listener) }

// nextID returns the ID under which an upstream that has crashed returns.
func (fleet *crashFleet) nextID(id ident.UpstreamID) ident.UpstreamID {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.sameID {
		return id
	}
	fleet.replaced++
	return newUpstreamID(fleet.upstreams + fleet.replaced)
}

// lifetimes returns the lifetimes of all upstreams.
func (fleet *crashFleet) lifetimes() []lifetime {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return slices.Clone(fleet.lives)
}

// attemptRuns returns when each attempt began to run.
func (fleet *crashFleet) attemptRuns() map[string][]time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return maps.Clone(fleet.ran)
}

func (fleet *crashFleet) hasCrashed(life int) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return !fleet.lives[life].until.IsZero()
}

// recordCrash records the end of a lifetime. It returns false if that was recorded before.
func (fleet *crashFleet) recordCrash(life int) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !fleet.lives[life].until.IsZero() {
		return false
	}
	now := time.Now()
	fleet.crashes = append(fleet.crashes, now)
	fleet.lives[life].until = now
	return true
}

func (fleet *crashFleet) recordRun(upstream ident.UpstreamID, attempt ident.AttemptID) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.ran == nil {
		fleet.ran = make(map[string][]time.Time)
	}
	fleet.ran[string(attempt)] = append(fleet.ran[string(attempt)], time.Now())
	if fleet.runs == nil {
		fleet.runs = make(map[ident.UpstreamID][]time.Time)
	}
	fleet.runs[upstream] = append(fleet.runs[upstream], time.Now())
}

// runTimes returns when an upstream began to run its requests, in order.
func (fleet *crashFleet) runTimes(upstream ident.UpstreamID) []time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return append([]time.Time(nil), fleet.runs[upstream]...)
}

// crashTimes returns when upstreams crashed, in order.
func (fleet *crashFleet) crashTimes() []time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return append([]time.Time(nil), fleet.crashes...)
}
