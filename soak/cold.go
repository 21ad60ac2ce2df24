package soak

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/quota"
)

// coldRule is how upstreams of the pool are cold after a restart.
var coldRule = quota.ColdRule{Start: 1500 * time.Millisecond, PerSecond: 4, Overage: 1.5, Slack: 5}

// rowTime is how long routers may take to read the row of an upstream that was restarted, from
// when on they treat it as cold.
const rowTime = 2 * time.Second

// recordRestart records that the upstream serves again, cold.
func (upstream *upstream) recordRestart() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.restartedAt = append(upstream.restartedAt, time.Now())
}

// checkCold checks that no upstream of the pool got more requests in a second, from all
// routers together, than it may while it is cold after a restart: whatever fault is active,
// also while routers don't reach each other.
func (soak *Soak) checkCold() {
	if soak.options.Previous != "" {
		return
	}
	most := int(coldRule.PerSecond*coldRule.Overage + coldRule.Slack)
	for _, upstream := range soak.upstreams {
		runs := soak.runLog.runsAt(upstream.runner.ID)
		upstream.mu.Lock()
		restarts := slices.Clone(upstream.restartedAt)
		upstream.mu.Unlock()
		for _, restartedAt := range restarts {
			if got := mostInSecond(runs, restartedAt, restartedAt.Add(coldRule.Start)); len(got) > most {
				soak.violate("too much for a cold upstream", "%s got %d requests in a second after its restart at %v, want at most %d: %v", upstream.runner.ID, len(got), restartedAt.Sub(soak.startedAt), most, got)
			}
		}
	}
}

// mostInSecond returns the most of the sorted runs between two times that lie within a second.
func mostInSecond(runs []timedRun, from, until time.Time) []timedRun {
	var most []timedRun
	for i, first := range runs {
		if first.at.Before(from) {
			continue
		}
		end := i
		for end < len(runs) && runs[end].at.Before(first.at.Add(time.Second)) && runs[end].at.Before(until) {
			end++
		}
		if end-i > len(most) {
			most = runs[i:end]
		}
	}
	return most
}
