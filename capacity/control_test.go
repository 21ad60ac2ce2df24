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
	// settleTime lets the links between daemons open first.
	settleTime = 40 * time.Second
	// controlTime is how long control bytes are counted.
	controlTime = 20 * time.Second
)

// BenchmarkControl measures the control bytes and the processor time of routers
// and sidecars in fleets of three sizes: at rest, while one VM on the platform's
// list changes each second, and under a load.
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
					watchControl(b, fleet, func() { time.Sleep(controlTime) })
				}
			})
			b.Run("churn", func(b *testing.B) {
				for b.Loop() {
					watchControl(b, fleet, func() { churn(fleet, controlTime) })
				}
			})
			b.Run("load", func(b *testing.B) {
				for b.Loop() {
					watchControl(b, fleet, func() { loadFor(b, fleet, controlTime) })
				}
			})
		})
	}
}

// churn changes one VM on the platform's list each second.
func churn(fleet *fleettest.Fleet, duration time.Duration) {
	for i := range int(duration / time.Second) {
		fleet.PutVM(platform.VM{ID: "vm-churn", Role: platform.RoleRouter, Address: fmt.Sprintf("10.0.0.1:%d", 1000+i), Leaving: true})
		time.Sleep(time.Second)
	}
}

// loadFor sends one answer after another through the first router.
func loadFor(b *testing.B, fleet *fleettest.Fleet, duration time.Duration) {
	from := source{address: fleet.Routers[0].Callers, tokens: 50}
	reading := reading{source: from, streams: 2 * len(fleet.Engines), rounds: int(duration / time.Second), times: newTimes()}
	if err := reading.run(b.Context()); err != nil {
		b.Fatal(err)
	}
}

// watchControl reports what the daemons spend on average while work runs.
func watchControl(b *testing.B, fleet *fleettest.Fleet, work func()) {
	routers, sidecars := usagesOf(b, fleet)
	started := time.Now()
	work()
	elapsed := time.Since(started).Seconds()
	routersThen, sidecarsThen := usagesOf(b, fleet)
	reportControl(b, "router", routers, routersThen, elapsed)
	reportControl(b, "sidecar", sidecars, sidecarsThen, elapsed)
}

func usagesOf(b *testing.B, fleet *fleettest.Fleet) (routers, sidecars []usage) {
	for _, entry := range fleet.Routers {
		routers = append(routers, routerUsage(b, entry))
	}
	for _, unit := range fleet.Engines {
		sidecars = append(sidecars, sidecarUsage(b, unit))
	}
	return routers, sidecars
}

func reportControl(b *testing.B, role string, before, after []usage, elapsed float64) {
	bytes := make(map[string]float64)
	cpu := 0.0
	for i := range after {
		spent := after[i].since(before[i])
		cpu += spent.cpu
		for peer, count := range spent.control {
			bytes[peer] += count
		}
	}
	scale := elapsed * float64(len(after))
	for _, peer := range slices.Sorted(maps.Keys(bytes)) {
		b.ReportMetric(bytes[peer]/scale, role+"-"+peer+"-B/s")
	}
	b.ReportMetric(100*cpu/scale, role+"-%core")
}
