package explain

import (
	"fmt"
	"io"
	"time"
)

// Break is the end of a router's run without a planned stop. Requests that were
// in flight then were aborted and have no log line.
type Break struct {
	VM string
	// LastLine is the time of the run's last log line.
	LastLine time.Time
	// Started is when the next run began.
	Started time.Time
}

// Breaks returns the ends of runs without a planned stop, ordered by the start
// of the next run. A run that no other run follows is not reported, because it
// may still be going on.
func (log *Log) Breaks() []Break {
	log.sort()
	last := make(map[string]Line)
	var breaks []Break
	for _, line := range log.lines {
		if line.VM == "" {
			continue
		}
		previous, known := last[line.VM]
		if known && line.Message == routerStarted && previous.Message != routerStopped {
			breaks = append(breaks, Break{VM: line.VM, LastLine: previous.Time, Started: line.Time})
		}
		last[line.VM] = line
	}
	return breaks
}

// WriteBreaks writes a line for each end of a run between from and until
// without a planned stop. A zero time sets no bound.
func (log *Log) WriteBreaks(out io.Writer, from, until time.Time) error {
	for _, found := range log.Breaks() {
		if found.Started.Before(from) || !until.IsZero() && found.LastLine.After(until) {
			continue
		}
		_, err := fmt.Fprintf(out, "router %s ended without a planned stop between %s and %s: requests in flight at that time were aborted and have no log line\n",
			found.VM, found.LastLine.Format(time.RFC3339Nano), found.Started.Format(time.RFC3339Nano))
		if err != nil {
			return err
		}
	}
	return nil
}
