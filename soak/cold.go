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
		times := soak.runLog.timesAt(upstream.runner.ID)
		upstream.mu.Lock()
		restarts := slices.Clone(upstream.restartedAt)
		upstream.mu.Unlock()
		for _, restartedAt := range restarts {
			from, _ := slices.BinarySearchFunc(times, restartedAt, time.Time.Compare)
			until, _ := slices.BinarySearchFunc(times, restartedAt.Add(coldRule.Start), time.Time.Compare)
			if got := mostInSecond(times[from:until]); got > most {
				soak.violate("too much for a cold upstream", "%s got %d requests in a second after its restart at %v, want at most %d", upstream.runner.ID, got, restartedAt.Sub(soak.startedAt), most)
			}
		}
	}
}

// mostInSecond returns the most of the sorted times that lie within a second.
func mostInSecond(times []time.Time) int {
	most := 0
	for i, first := range times {
		end, _ := slices.BinarySearchFunc(times, first.Add(time.Second), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}
