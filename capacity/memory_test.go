package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"runtime"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/fleettest"
)

// BenchmarkOpenStreams measures the memory of a router and of a sidecar, each in
// its own process, with many open streams that carry two tokens per second each.
func BenchmarkOpenStreams(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		Limit:      4096,
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "2", "--prefill-per-second", "0"},
	})
	endpoint := endpoint{address: fleet.Routers[0].Callers, tokens: 10_000}
	var routers, sidecars []point
	opened := 0
	for _, streams := range []int{0, 200, 600, 1800} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				if err := endpoint.openStreams(uncancelledContext(b), opened, streams); err != nil {
					b.Fatal(err)
				}
				opened = streams
				router, sidecar := routerUsage(b, fleet.Routers[0]), sidecarUsage(b, fleet.Engines[0])
				routers = append(routers, point{x1: float64(streams), y: router.residentBytes})
				sidecars = append(sidecars, point{x1: float64(streams), y: sidecar.residentBytes})
				b.ReportMetric(router.residentBytes, "router-bytes")
				b.ReportMetric(sidecar.residentBytes, "sidecar-bytes")
			}
		})
	}
	reportLinearFits(b, "-bytes/stream", map[string][]point{"router": routers, "sidecar": sidecars})
}

// uncancelledContext returns a context that is not cancelled when b ends, so that
// the streams of one size stay open for the next.
func uncancelledContext(b *testing.B) context.Context { return context.WithoutCancel(b.Context()) }

// openStreams opens the streams numbered from start up to, but not including,
// end and waits for the first token of each. They stay open until the fleet
// stops.
func (endpoint endpoint) openStreams(ctx context.Context, start, end int) error {
	var group errgroup.Group
	group.SetLimit(64)
	for number := start; number < end; number++ {
		group.Go(func() error {
			request, err := endpoint.request(ctx, number)
			if err != nil {
				return err
			}
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			scanner := bufio.NewScanner(response.Body)
			for scanner.Scan() {
				if endpoint.isToken(scanner.Text()) {
					return nil
				}
			}
			return fmt.Errorf("stream %d ended before its first token: status %d", number, response.StatusCode)
		})
	}
	return group.Wait()
}

// BenchmarkKnownVMs measures the memory that a daemon's directory uses for each
// VM on the platform's list, and the time to replace the list.
func BenchmarkKnownVMs(b *testing.B) {
	var sizes []point
	for _, count := range vmCounts {
		vms := makeVMs(count)
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			var vmDirectory directory.Directory
			before := heapInUse()
			vmDirectory.SetVMs(vms)
			heapBytes := heapInUse() - before
			for b.Loop() {
				vmDirectory.SetVMs(vms)
			}
			sizes = append(sizes, point{x1: float64(count), y: heapBytes})
			b.ReportMetric(heapBytes, "held-bytes")
		})
	}
	reportLinearFits(b, "-bytes/vm", map[string][]point{"directory": sizes})
}

// heapInUse returns the size of the live heap in bytes, after a collection.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
