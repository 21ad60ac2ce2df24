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

// BenchmarkOpenStreams measures the memory of a router and of a sidecar, each
// its own process, with streams open in which a token comes now and then.
func BenchmarkOpenStreams(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		Limit:      4096,
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "2", "--prefill-per-second", "0"},
	})
	from := source{address: fleet.Routers[0].Callers, tokens: 10_000}
	var routers, sidecars []point
	open := 0
	for _, streams := range []int{0, 200, 600, 1800} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				if err := from.open(fleetContext(b), open, streams); err != nil {
					b.Fatal(err)
				}
				open = streams
				router, sidecar := routerUsage(b, fleet.Routers[0]), sidecarUsage(b, fleet.Engines[0])
				routers = append(routers, point{x1: float64(streams), y: router.memory})
				sidecars = append(sidecars, point{x1: float64(streams), y: sidecar.memory})
				b.ReportMetric(router.memory, "router-bytes")
				b.ReportMetric(sidecar.memory, "sidecar-bytes")
			}
		})
	}
	slopesOfLines(b, "-bytes/stream", map[string][]point{"router": routers, "sidecar": sidecars})
}

// fleetContext returns a context that outlives one size of a benchmark.
func fleetContext(b *testing.B) context.Context { return context.WithoutCancel(b.Context()) }

// open opens the streams from number from on and waits for a token of each.
// They stay open until their fleet ends.
func (source source) open(ctx context.Context, from, to int) error {
	var group errgroup.Group
	group.SetLimit(64)
	for number := from; number < to; number++ {
		group.Go(func() error {
			request, err := source.request(ctx, number)
			if err != nil {
				return err
			}
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			scanner := bufio.NewScanner(response.Body)
			for scanner.Scan() {
				if source.isToken(scanner.Text()) {
					return nil
				}
			}
			return fmt.Errorf("stream %d ended: status %d", number, response.StatusCode)
		})
	}
	return group.Wait()
}

// BenchmarkKnownVMs measures the memory and the time that a daemon's directory
// takes for each VM on the platform's list.
func BenchmarkKnownVMs(b *testing.B) {
	var sizes []point
	for _, count := range vmCounts {
		vms := vmsOf(count)
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			var known directory.Directory
			before := heap()
			known.SetVMs(vms)
			held := heap() - before
			for b.Loop() {
				known.SetVMs(vms)
			}
			sizes = append(sizes, point{x1: float64(count), y: held})
			b.ReportMetric(held, "held-bytes")
		})
	}
	slopesOfLines(b, "-bytes/vm", map[string][]point{"directory": sizes})
}

// heap returns the bytes of the heap that are in use.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
