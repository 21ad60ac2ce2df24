package capacity_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/platform"
)

const (
	// settleTime is the wait after the start of a fleet, in which the daemons
	// open the links between them.
	settleTime = 40 * time.Second
	// measurementTime is the period over which control bytes and processor
	// time are averaged.
	measurementTime = 20 * time.Second
)

// BenchmarkControl measures the control bytes and the processor time of routers
// and sidecars in fleets of three sizes: idle, while one VM on the platform's
// list changes every second, and under load.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{2, 6}, {4, 16}, {8, 40}} {
		daemons := size.routers + size.engines + 1
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			fleet := fleettest.Start(b, fleettest.Options{
				Routers:    size.routers,
				Engines:    size.engines,
				EngineArgs: []string{"--limit", "64", "--tokens-per-second", "50", "--prefill-per-second", "0"},
			})
			time.Sleep(settleTime)
			b.Run("rest", func(b *testing.B) {
				for b.Loop() {
					measureControl(b, fleet, func() { time.Sleep(measurementTime) })
				}
			})
			b.Run("churn", func(b *testing.B) {
				for b.Loop() {
					measureControl(b, fleet, func() { churn(fleet, measurementTime) })
				}
			})
			b.Run("load", func(b *testing.B) {
				for b.Loop() {
					measureControl(b, fleet, func() { generateLoad(b, fleet, measurementTime) })
				}
			})
		})
	}
}

// churn changes one VM on the platform's list every second.
func churn(fleet *fleettest.Fleet, duration time.Duration) {
	for i := range int(duration / time.Second) {
		fleet.PutVM(platform.VM{ID: "vm-churn", Role: platform.RoleRouter, Address: fmt.Sprintf("10.0.0.1:%d", 1000+i), Leaving: true})
		time.Sleep(time.Second)
	}
}

// generateLoad runs two streams per engine through the first router. Each stream
// reads answers sequentially, one for every second of duration. An answer takes
// about a second: 50 tokens at 50 tokens per second.
func generateLoad(b *testing.B, fleet *fleettest.Fleet, duration time.Duration) {
	endpoint := endpoint{address: fleet.Routers[0].Callers, tokens: 50}
	workload := workload{endpoint: endpoint, streams: 2 * len(fleet.Engines), rounds: int(duration / time.Second), latencies: newLatencies()}
	if err := workload.run(b.Context()); err != nil {
		b.Fatal(err)
	}
}

// measureControl runs work and reports, for each role, the average control
// traffic and processor use of a daemon during that time.
func measureControl(b *testing.B, fleet *fleettest.Fleet, work func()) {
	routersBefore, sidecarsBefore := fleetUsage(b, fleet)
	started := time.Now()
	work()
	elapsed := time.Since(started).Seconds()
	routersAfter, sidecarsAfter := fleetUsage(b, fleet)
	reportControl(b, "router", routersBefore, routersAfter, elapsed)
	reportControl(b, "sidecar", sidecarsBefore, sidecarsAfter, elapsed)
}

// fleetUsage reads the usage of all routers and sidecars of a fleet.
func fleetUsage(b *testing.B, fleet *fleettest.Fleet) (routers, sidecars []usage) {
	for _, entry := range fleet.Routers {
		routers = append(routers, routerUsage(b, entry))
	}
	for _, unit := range fleet.Engines {
		sidecars = append(sidecars, sidecarUsage(b, unit))
	}
	return routers, sidecars
}

// reportControl reports the control bytes per second for each kind of peer and
// the processor use in percent of a core, both averaged over the daemons of a
// role. The elapsed time is in seconds.
func reportControl(b *testing.B, role string, before, after []usage, elapsed float64) {
	bytesByPeer := make(map[string]float64)
	cpuSeconds := 0.0
	for i := range after {
		used := after[i].since(before[i])
		cpuSeconds += used.cpuSeconds
		for peer, count := range used.controlBytes {
			bytesByPeer[peer] += count
		}
	}
	daemonSeconds := elapsed * float64(len(after))
	for _, peer := range slices.Sorted(maps.Keys(bytesByPeer)) {
		b.ReportMetric(bytesByPeer[peer]/daemonSeconds, role+"-"+peer+"-B/s")
	}
	b.ReportMetric(100*cpuSeconds/daemonSeconds, role+"-%core")
}
