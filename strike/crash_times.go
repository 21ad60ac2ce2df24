package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// crashTimes holds the times at which each upstream crashed while it ran one
// request, up to neverStrikes per upstream.
type crashTimes map[ident.UpstreamID][]time.Time

// add records a strike and reports whether it was new. A strike is dropped if
// its crash is known or if the upstream has neverStrikes already.
func (crashTimes crashTimes) add(strike Strike) bool {
	times := crashTimes[strike.Upstream]
	for _, at := range times {
		if strike.At.Sub(at).Abs() <= duplicateWindow {
			return false
		}
	}
	if len(times) >= neverStrikes {
		return false
	}
	crashTimes[strike.Upstream] = append(times, strike.At)
	return true
}

// removeIf removes the crashes for which expired reports true.
func (crashTimes crashTimes) removeIf(expired func(at time.Time) bool) {
	for upstream, times := range crashTimes {
		var remaining []time.Time
		for _, at := range times {
			if !expired(at) {
				remaining = append(remaining, at)
			}
		}
		crashTimes[upstream] = remaining
		if len(remaining) == 0 {
			delete(crashTimes, upstream)
		}
	}
}

// strikes returns the number of crashes.
func (crashTimes crashTimes) strikes() int {
	strikes := 0
	for _, times := range crashTimes {
		strikes += len(times)
	}
	return strikes
}

// latest returns the time of the most recent crash.
func (crashTimes crashTimes) latest() time.Time {
	var latest time.Time
	for _, times := range crashTimes {
		for _, at := range times {
			if at.After(latest) {
				latest = at
			}
		}
	}
	return latest
}

// evictBefore reports whether the strikes of this request are evicted before
// those of the other: fewer strikes first, then the older last strike.
func (crashTimes crashTimes) evictBefore(other crashTimes) bool {
	if crashTimes.strikes() != other.strikes() {
		return crashTimes.strikes() < other.strikes()
	}
	return crashTimes.latest().Before(other.latest())
}
