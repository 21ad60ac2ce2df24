package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleConnTime is how long a connection must have been idle to be closed during a
	// planned stop: its caller may have sent the next request already.
	idleConnTime = 100 * time.Millisecond
	// unusedConnTime is how long a new connection may bring no byte during a planned stop.
	unusedConnTime = time.Second
	// halfReadConnTime is how long a head that has begun may bring no byte during a planned
	// stop.
	halfReadConnTime = 10 * time.Second
	// drainPollInterval is the time between two checks whether connections are left.
	drainPollInterval = 10 * time.Millisecond
)

// Drain closes the connections that have no request, again and again, and waits until the others
// have got their answers. It returns an error if ctx ends while connections are left. The
// listener is closed before.
//
// It takes the place of http.Server.Shutdown, which closes each connection that net/http counts as
// idle, although a request may have arrived or been read there.
func (callerConns *CallerConns) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for callerConns.Open() > 0 {
		callerConns.CloseUnneeded(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections left", callerConns.Open())
		}
	}
	return nil
}

// CloseUnneeded closes the connections that have no request, as a planned stop does: those
// that were idle for a moment, those that have brought no byte for some time since they were
// opened, and those whose head stalls.
func (callerConns *CallerConns) CloseUnneeded(now time.Time) {
	callerConns.CloseIdle(now.Add(-idleConnTime))
	callerConns.CloseUnused(now.Add(-unusedConnTime))
	callerConns.CloseHalfRead(now.Add(-halfReadConnTime))
}
