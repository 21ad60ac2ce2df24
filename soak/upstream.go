package soak

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/faultproxy"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// poolService is the service of all upstreams but those of small services.
const poolService = "pool"

// errStoreDown is the error of a heartbeat during a store outage.
var errStoreDown = errors.New("store is down")

// run is the start of work on a request at an upstream.
type run struct {
	upstream ident.UpstreamID
	at       time.Time
}

// runLog records the runs of requests at upstreams. It is safe for concurrent use.
type runLog struct {
	mu   sync.Mutex
	runs map[ident.AttemptID][]run
}

func (runLog *runLog) add(attempt ident.AttemptID, started run) {
	runLog.mu.Lock()
	defer runLog.mu.Unlock()
	if runLog.runs == nil {
		runLog.runs = make(map[ident.AttemptID][]run)
	}
	runLog.runs[attempt] = append(runLog.runs[attempt], started)
}

func (runLog *runLog) runsOf(attempt ident.AttemptID) []run {
	runLog.mu.Lock()
	defer runLog.mu.Unlock()
	return runLog.runs[attempt]
}

// timedRun is the start of work on an attempt.
type timedRun struct {
	attempt ident.AttemptID
	at      time.Time
}

// String returns the attempt and the time of day.
func (timedRun timedRun) String() string {
	return string(timedRun.attempt) + " " + timedRun.at.Format("05.000")
}

// runsAt returns the runs that started at an upstream, in order.
func (runLog *runLog) runsAt(upstream ident.UpstreamID) []timedRun {
	runLog.mu.Lock()
	defer runLog.mu.Unlock()
	var at []timedRun
	for attempt, runs := range runLog.runs {
		for _, run := range runs {
			if run.upstream == upstream {
				at = append(at, timedRun{attempt: attempt, at: run.at})
			}
		}
	}
	slices.SortFunc(at, func(a, b timedRun) int { return a.at.Compare(b.at) })
	return at
}

// timesAt returns when runs started at an upstream, in order.
func (runLog *runLog) timesAt(upstream ident.UpstreamID) []time.Time {
	var times []time.Time
	for _, run := range runLog.runsAt(upstream) {
		times = append(times, run.at)
	}
	return times
}

// upstream is a runner stand-in behind a proxy.
type upstream struct {
	soak   *Soak
	runner *standin.Runner
	store  *standin.Platform
	proxy  *faultproxy.Proxy

	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	// lifecycle is held while the process crashes or restarts.
	lifecycle sync.Mutex

	mu        sync.Mutex
	leavingAt time.Time
	// software is the version of the upstream, and servesFrom since when it has that
	// and neither leaves nor is away, or zero.
	software   ident.SoftwareVersion
	servesFrom time.Time
	// evacuated is set while the zone of the upstream is evacuated.
	evacuated bool
	// restarting is set from the end of the process by a request until it starts again.
	restarting bool
	// arrivals, rests and notices are what the checks of announcements need.
	arrivals []arrival
	rests    []rest
	notices  []leavingNotice
	// restartedAt are the times of its restarts.
	restartedAt []time.Time
}

func startUpstream(id ident.UpstreamID, service ident.ServiceName, zone ident.Zone, software ident.SoftwareVersion, soak *Soak) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := faultproxy.Start(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	upstream := &upstream{software: software, servesFrom: time.Now(), soak: soak, store: soak.store, proxy: proxy, listener: listener, cancel: cancel, done: make(chan struct{})}
	upstream.runner = &standin.Runner{
		ID:       id,
		Service:  service,
		Zone:     zone,
		Software: software,
		Address:  proxy.Address(),
		Write:    upstream.write,
		OnArrive: upstream.recordArrival,
		OnRefuse: upstream.recordRefusal,
		OnStart:  func(attempt ident.AttemptID) { soak.runLog.add(attempt, run{upstream: id, at: time.Now()}) },

		ColdTime:       coldRule.Start,
		RepeatRefusals: true,
		CrashMarker:    crashMarker,
		CrashAttempt:   func(attempt ident.AttemptID) bool { return strings.HasPrefix(string(attempt), crashMarker) },
		OnCrash:        func() { soak.crashByRequest(upstream) },
		CrashPart:      func(part string) bool { return strings.HasPrefix(part, badPartPrefix) },
		OnEndless:      soak.recordEndless,
	}
	upstream.server = &http.Server{Handler: upstream.runner}
	serving := &serving{server: upstream.server, listener: listener}
	go serving.run()
	go upstream.run(ctx)
	return upstream, nil
}

// serving serves HTTP until its server is closed.
type serving struct {
	server   *http.Server
	listener net.Listener
}

func (serving *serving) run() {
	// Serve returns only after Close; its error carries no information.
	_ = serving.server.Serve(serving.listener)
}

// run writes the upstream's row until ctx ends.
func (upstream *upstream) run(ctx context.Context) {
	defer close(upstream.done)
	upstream.runner.Run(ctx)
}

// write writes a row to the store, or fails during a store outage.
func (upstream *upstream) write(record platform.Record) error {
	if upstream.store.Switches().Outage {
		return errStoreDown
	}
	upstream.store.Write(record)
	return nil
}

// leave marks the row of the upstream as leaving and records the time.
func (upstream *upstream) leave() {
	upstream.runner.Leave()
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.leavingAt = time.Now()
	upstream.servesFrom = time.Time{}
}

// servesSince reports whether the upstream has had a version, and neither left nor been
// away nor in an evacuated zone, since a time.
func (upstream *upstream) servesSince(software ident.SoftwareVersion, since time.Time) bool {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.software == software && !upstream.evacuated && !upstream.servesFrom.IsZero() && upstream.servesFrom.Before(since)
}

// crash stops the runner and its heartbeats and resets all connections, until
// restart.
func (upstream *upstream) crash() {
	upstream.lifecycle.Lock()
	defer upstream.lifecycle.Unlock()
	upstream.mu.Lock()
	upstream.servesFrom = time.Time{}
	upstream.mu.Unlock()
	upstream.runner.Crash()
	upstream.proxy.Refuse()
	upstream.proxy.Reset()
}

// beginRestart records that a request ended the process, and reports false if another one
// has already.
func (upstream *upstream) beginRestart() bool {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if upstream.restarting {
		return false
	}
	upstream.restarting = true
	return true
}

func (upstream *upstream) endRestart() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.restarting = false
}

// expireRow removes the row, as the platform does after RunnerExpiry without
// heartbeats.
func (upstream *upstream) expireRow() { upstream.store.Remove(upstream.runner.Row()) }

// restart starts the runner as a new incarnation with the same ID. Its software version
// is the one that it had.
func (upstream *upstream) restart() {
	upstream.mu.Lock()
	software := upstream.software
	upstream.mu.Unlock()
	upstream.restartAs(software)
}

// restartAs starts the runner as a new incarnation with the same ID and a software
// version.
func (upstream *upstream) restartAs(software ident.SoftwareVersion) {
	upstream.lifecycle.Lock()
	defer upstream.lifecycle.Unlock()
	upstream.mu.Lock()
	wasServing := !upstream.servesFrom.IsZero()
	upstream.leavingAt = time.Time{}
	upstream.software, upstream.servesFrom = software, time.Now()
	upstream.mu.Unlock()
	if wasServing {
		heal := upstream.soak.beginBreak("upstream restarted while it served")
		defer heal()
	}
	upstream.proxy.Reset()
	upstream.recordRestart()
	upstream.runner.RestartAs(software)
	if err := upstream.proxy.Accept(); err != nil {
		upstream.soak.violate("soak failed", "%s does not listen again: %v", upstream.runner.ID, err)
	}
}

// leavingSince returns when the upstream began to leave, or zero if it is not
// leaving.
func (upstream *upstream) leavingSince() time.Time {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.leavingAt
}

func (upstream *upstream) close() {
	upstream.cancel()
	<-upstream.done
	_ = upstream.server.Close()
	upstream.proxy.Close()
}
