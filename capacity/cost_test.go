package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
)

// costSizes vary the number of requests and of tokens independently, so that
// both costs can be told apart.
var costSizes = []struct {
	streams int
	tokens  ident.Tokens
	rounds  int
}{
	{streams: 16, tokens: 8, rounds: 40},
	{streams: 64, tokens: 8, rounds: 40},
	{streams: 64, tokens: 64, rounds: 6},
	{streams: 64, tokens: 400, rounds: 1},
	{streams: 192, tokens: 400, rounds: 1},
}

// BenchmarkCost measures the processor time and the allocations of a router and
// of a sidecar, each its own process, and splits them by least squares into a
// part for each request and a part for each token. Tokens come one at a time,
// which costs the most.
func BenchmarkCost(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		Limit:      4096,
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "80", "--prefill-per-second", "0"},
	})
	routers, sidecars := newCosts("router"), newCosts("sidecar")
	from := source{address: fleet.Routers[0].Callers}
	for _, size := range costSizes {
		b.Run(fmt.Sprintf("streams=%d/tokens=%d", size.streams, size.tokens), func(b *testing.B) {
			for b.Loop() {
				from.tokens = size.tokens
				router, sidecar := routerUsage(b, fleet.Routers[0]), sidecarUsage(b, fleet.Engines[0])
				started := time.Now()
				reading := reading{source: from, streams: size.streams, rounds: size.rounds, times: newTimes()}
				if err := reading.run(b.Context()); err != nil {
					b.Fatal(err)
				}
				elapsed := time.Since(started).Seconds()
				requests := float64(size.streams * size.rounds)
				tokens := requests * float64(size.tokens)
				routers.add(b, requests, tokens, routerUsage(b, fleet.Routers[0]).since(router))
				sidecars.add(b, requests, tokens, sidecarUsage(b, fleet.Engines[0]).since(sidecar))
				b.ReportMetric(tokens/elapsed, "tokens/s")
			}
		})
	}
	figures := make(map[string]float64)
	routers.fit(figures)
	sidecars.fit(figures)
	slopes(b, figures)
}

// costs gathers the usage of one daemon at several sizes.
type costs struct {
	role                    string
	cpu, mallocs, allocated []point
}

func newCosts(role string) *costs { return &costs{role: role} }

func (costs *costs) add(b *testing.B, requests, tokens float64, spent usage) {
	costs.cpu = append(costs.cpu, point{x1: requests, x2: tokens, y: spent.cpu * 1e6})
	costs.mallocs = append(costs.mallocs, point{x1: requests, x2: tokens, y: spent.mallocs})
	costs.allocated = append(costs.allocated, point{x1: requests, x2: tokens, y: spent.allocated})
	b.ReportMetric(spent.cpu*1e6/tokens, costs.role+"-µs/token")
	b.ReportMetric(spent.mallocs/tokens, costs.role+"-allocs/token")
}

// fit adds the slopes to figures.
func (costs *costs) fit(figures map[string]float64) {
	for what, points := range map[string][]point{"µs": costs.cpu, "allocs": costs.mallocs, "bytes": costs.allocated} {
		if len(points) < 2 {
			return
		}
		figures[costs.role+"-"+what+"/request"], figures[costs.role+"-"+what+"/token"] = plane(points)
	}
}
