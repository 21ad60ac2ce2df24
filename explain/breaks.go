package explain

import (
	"fmt"
	"io"
	"time"
)

// Break is an end of a router's run that was no planned stop: what it had in
// flight was cut, and no line tells of it.
type Break struct {
	VM string
	// LastLine is the time of the last line of the run, and Started when the
	// next run began.
	LastLine time.Time
	Started  time.Time
}

// Breaks returns the ends of runs that were no planned stop, in the order of the
// starts behind them. An end is known by the start that follows.
func (log *Log) Breaks() []Break {
	log.sort()
	last := make(map[string]Line)
	var breaks []Break
	for _, line := range log.lines {
		if line.VM == "" {
			continue
		}
		former, known := last[line.VM]
		if known && line.Message == routerStarted && former.Message != routerStopped {
			breaks = append(breaks, Break{VM: line.VM, LastLine: former.Time, Started: line.Time})
		}
		last[line.VM] = line
	}
	return breaks
}

// WriteBreaks writes the ends of runs between from and until that were no
// planned stop. A zero time has no bound.
func (log *Log) WriteBreaks(out io.Writer, from, until time.Time) error {
	for _, ended := range log.Breaks() {
		if ended.Started.Before(from) || !until.IsZero() && ended.LastLine.After(until) {
			continue
		}
		_, err := fmt.Fprintf(out, "router %s ended without a planned stop between %s and %s: requests in flight there were cut, and no line tells of them\n",
			ended.VM, ended.LastLine.Format(time.RFC3339Nano), ended.Started.Format(time.RFC3339Nano))
		if err != nil {
			return err
		}
	}
	return nil
}
