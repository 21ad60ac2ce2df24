package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

const (
	// balancerDrainTime is how long the balancer may still send callers after the
	// router stopped being ready: two readiness checks a second apart, and a
	// margin.
	balancerDrainTime = 2500 * time.Millisecond
	// stopMargin is the part of the platform's stop timeout that is left unused,
	// so that the process ends before the platform kills it.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the time for the last answers to reach their callers.
	answerMargin = 300 * time.Millisecond
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
	daemon.handler.Leave(forward.Stop{LateFrom: began.Add(min(balancerDrainTime, end.Sub(began))), AnswerBy: end.Add(-answerMargin)})
	daemon.Logger.Info("Stopping.", "Until", end)
	time.Sleep(min(balancerDrainTime, time.Until(end)))
	// The server keeps serving: its Shutdown would close the connection of a request whose head it
	// reads from then on, without an answer.
	if err := callers.listener.Close(); err != nil {
		daemon.Logger.Warn("Closing the callers' listener failed.", "Error", err)
	}
	<-callers.done
	daemon.awaitCallers(end)
	daemon.Logger.Info("Stopped.", "After", time.Since(began), "CallersLeft", daemon.callerConns.Open())
}

// awaitCallers waits until the callers have got their answers, at most until end.
func (daemon *Daemon) awaitCallers(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// The error says how many callers are left, as the log line of the stop does.
	_ = daemon.callerConns.Drain(ctx)
}
