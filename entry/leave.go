package entry

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// balancerWait is how long the balancer may still send callers after the
	// router stopped being ready: two questions a second apart, and a margin.
	balancerWait = 2500 * time.Millisecond
	// stopMargin is left of the platform's time for a stop, so that the process
	// ends by itself.
	stopMargin = 400 * time.Millisecond
)

// stopState says whether the process is stopping.
type stopState struct {
	began atomic.Bool
}

func (state *stopState) stopping() bool { return state.began.Load() }

// leave stops the router as planned: it is not ready at once, takes callers
// until the balancer has turned away, and then finishes what is in flight.
func (daemon *Daemon) leave(callers *httpService) {
	began := time.Now()
	end := began.Add(daemon.inForce.Load().StopTimeoutMs.Duration() - stopMargin)
	daemon.stop.began.Store(true)
	daemon.handler.Leave()
	daemon.Logger.Info("Stopping.", "Until", end)
	time.Sleep(min(balancerWait, time.Until(end)))
	// Closing the listener and waiting for requests in flight; idle connections
	// are closed only now, when no caller is sent here any more.
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := callers.server.Shutdown(ctx)
	daemon.Logger.Info("Stopped.", "After", time.Since(began), "Error", err)
}
