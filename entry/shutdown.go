package entry

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// balancerDrainTime is how long the balancer may still send callers after the
	// router stopped being ready: two readiness checks a second apart, and a
	// margin.
	balancerDrainTime = 2500 * time.Millisecond
	// stopMargin is the part of the platform's stop timeout that is left unused,
	// so that the process ends before the platform kills it.
	stopMargin = 400 * time.Millisecond
)

// stopState records whether a planned stop has begun. It is safe for concurrent
// use.
type stopState struct {
	began atomic.Bool
}

func (state *stopState) stopping() bool { return state.began.Load() }

// shutdown performs a planned stop. The router reports at once that it is not
// ready, accepts callers until the balancer no longer sends any, and then
// closes the callers' listener and finishes the requests in flight.
func (daemon *Daemon) shutdown(callers *httpService) {
	began := time.Now()
	end := began.Add(daemon.settings.Load().StopTimeoutMs.Duration() - stopMargin)
	daemon.stop.began.Store(true)
	daemon.handler.Leave()
	daemon.Logger.Info("Stopping.", "Until", end)
	time.Sleep(min(balancerDrainTime, time.Until(end)))
	// Shutdown closes the listener and idle connections, and waits for requests in
	// flight. It is called only now, when the balancer sends no more callers.
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := callers.server.Shutdown(ctx)
	daemon.Logger.Info("Stopped.", "After", time.Since(began), "Error", err)
}
