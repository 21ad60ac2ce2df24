package standin

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// RunnerHeartbeat is the time between two writes of a runner's row.
	RunnerHeartbeat = 300 * time.Millisecond
	// RunnerExpiry is the silence after which the platform removes a row.
	RunnerExpiry = 3 * RunnerHeartbeat
	// RunnerEvents is the number of events of a stream.
	RunnerEvents = 8

	runnerSlots        = 64
	runnerEventEvery   = 15 * time.Millisecond
	runnerPlainTime    = 25 * time.Millisecond
	defaultRunnerZone  = ident.Zone("a")
	runnerSignature    = "s"
	runnerStreamMarker = "/stream/"
)

// Runner stands in for an upstream of the users' platform: it keeps its row in
// the store, and answers what routers forward to it. Its exported fields are set
// before use. It is safe for concurrent use.
type Runner struct {
	ID      ident.UpstreamID
	Service ident.ServiceName
	// Zone is "a" where it is empty.
	Zone ident.Zone
	// Address is where routers reach the runner, IP:port.
	Address string
	// Write writes the row; an error is a heartbeat that the store missed.
	Write func(record platform.Record) error
	// OnStart is told of each start of work, where it is set.
	OnStart func(attempt ident.AttemptID)

	// writing keeps the rows in order.
	writing  sync.Mutex
	mu       sync.Mutex
	born     time.Time
	sequence int
	leaving  bool
	crashed  bool
	slowness time.Duration
	served   int
}

// Run writes the runner's row until ctx ends.
func (runner *Runner) Run(ctx context.Context) {
	runner.Heartbeat()
	wait.Every(ctx, RunnerHeartbeat, func(context.Context) { runner.Heartbeat() })
}

// Heartbeat writes the row, unless the runner is down. A missed heartbeat is
// made up by the next one.
func (runner *Runner) Heartbeat() {
	runner.writing.Lock()
	defer runner.writing.Unlock()
	if record, up := runner.row(); up {
		_ = runner.Write(record)
	}
}

// row returns the next row, and false if the runner is down.
func (runner *Runner) row() (platform.Record, bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.crashed {
		return platform.Record{}, false
	}
	if runner.born.IsZero() {
		runner.born = time.Now()
	}
	runner.sequence++
	value, err := platform.EncodeServer(registry.Upstream{
		Incarnation: registry.Incarnation(runner.born.UnixMilli()),
		Service:     runner.Service,
		Address:     runner.Address,
		Zone:        cmp.Or(runner.Zone, defaultRunnerZone),
		Slots:       runnerSlots,
		Leaving:     runner.leaving,
	}, runner.sequence)
	if err != nil {
		panic("standin: row of a runner: " + err.Error())
	}
	return platform.Record{Table: platform.ServerTable, Key: platform.Key(runner.ID), Value: value}, true
}

// Row returns the name of the runner's row.
func (runner *Runner) Row() platform.RowName {
	return platform.RowName{Table: platform.ServerTable, Key: platform.Key(runner.ID)}
}

// Leave says in the row that the runner takes no more work.
func (runner *Runner) Leave() {
	runner.mu.Lock()
	runner.leaving = true
	runner.mu.Unlock()
	runner.Heartbeat()
}

// Crash breaks off all work and ends the heartbeats.
func (runner *Runner) Crash() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.crashed = true
}

// Restart lets the runner come back as another run under the same ID.
func (runner *Runner) Restart() {
	runner.mu.Lock()
	runner.crashed = false
	runner.leaving = false
	runner.born = time.Time{}
	runner.sequence = 0
	runner.mu.Unlock()
	runner.Heartbeat()
}

// Slow lengthens each request by the time by.
func (runner *Runner) Slow(by time.Duration) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.slowness = by
}

// Served returns how many requests the runner has started to work on.
func (runner *Runner) Served() int {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.served
}

func (runner *Runner) down() bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.crashed
}

// begin notes the start of a request and returns how long it runs.
func (runner *Runner) begin(attempt ident.AttemptID) time.Duration {
	if runner.OnStart != nil {
		runner.OnStart(attempt)
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.served++
	return runnerPlainTime + runner.slowness
}
