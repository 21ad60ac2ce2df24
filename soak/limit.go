package soak

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// minLimit and maxLimit bound the limits, in requests per second.
	minLimit = 0.5
	maxLimit = 6
	// limitLength is how much longer than other faults a limit lasts.
	limitLength = standin.ContactTime + standin.LimitWindow
)

// upstreamLimited makes an upstream name a limit.
func (schedule *schedule) upstreamLimited(length time.Duration) {
	upstream := schedule.upstream()
	limit := minLimit + schedule.random.Float64()*(maxLimit-minLimit)
	if !schedule.claim(upstream) {
		return
	}
	schedule.soak.countPlanned("upstream names a limit")
	named := time.Now()
	upstream.runner.Limit(limit)
	schedule.healAfter(limitLength+length, func() {
		// An upstream that has restarted meanwhile names no limit.
		if upstream.runner.Limited() {
			schedule.soak.checkLimit(upstream, limit, named, time.Now())
		}
		upstream.runner.Unlimit()
		schedule.release(upstream)
	})
}

// checkLimit checks that an upstream got no more requests than the limit allows that it
// named until now, in any window in which no fault but those of upstreams was active.
func (soak *Soak) checkLimit(upstream *upstream, limit float64, named, until time.Time) {
	times := soak.runLog.timesAt(upstream.runner.ID)
	allowed := standin.AllowedInLimitWindow(limit)
	for i, first := range times {
		end := first.Add(standin.LimitWindow)
		if first.Before(named.Add(standin.ContactTime)) || end.After(until) {
			continue
		}
		last, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
		if last-i > allowed && soak.inTouch(first.Add(-settleTime), end) {
			soak.violate("more than the limit", "%s got %d requests in %v at a limit of %.2f a second, want at most %d", upstream.runner.ID, last-i, standin.LimitWindow, limit, allowed)
			return
		}
	}
}
