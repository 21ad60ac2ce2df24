package explain

import (
	"fmt"
	"io"
	"time"
)

// UnplannedEnd is the end of a router's run without a planned stop. Requests that
// were in flight at that time were aborted and have no log line.
type UnplannedEnd struct {
	VM string
	// LastLine is the time of the run's last log line.
	LastLine time.Time
	// Started is when the next run began.
	Started time.Time
}

// UnplannedEnds returns the ends of runs without a planned stop, ordered by the
// start of the next run. A run that no other run follows is not reported, because
// it may still be in progress.
func (log *Log) UnplannedEnds() []UnplannedEnd {
	log.sort()
	last := make(map[string]Line)
	var ends []UnplannedEnd
	for _, line := range log.lines {
		if line.VM == "" {
			continue
		}
		previous, known := last[line.VM]
		if known && line.Message == routerStarted && previous.Message != routerStopped {
			ends = append(ends, UnplannedEnd{VM: line.VM, LastLine: previous.Time, Started: line.Time})
		}
		last[line.VM] = line
	}
	return ends
}

// WriteUnplannedEnds writes a line for each end of a run between from and until
// without a planned stop. A zero time sets no bound.
func (log *Log) WriteUnplannedEnds(out io.Writer, from, until time.Time) error {
	for _, end := range log.UnplannedEnds() {
		if end.Started.Before(from) || !until.IsZero() && end.LastLine.After(until) {
			continue
		}
		_, err := fmt.Fprintf(out, "router %s ended without a planned stop between %s and %s: requests in flight at that time were aborted and have no log line\n",
			end.VM, end.LastLine.Format(time.RFC3339Nano), end.Started.Format(time.RFC3339Nano))
		if err != nil {
			return err
		}
	}
	return nil
}
