package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
)

// costSizes varies the numbers of requests and of tokens independently, so that
// the fit can separate the cost of a request from that of a token.
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
// of a sidecar, each in its own process, and splits them by least squares into
// a cost per request and a cost per token. Tokens arrive one at a time, which is
// the most expensive case.
func BenchmarkCost(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		Limit:      4096,
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "80", "--prefill-per-second", "0"},
	})
	routers, sidecars := newCosts("router"), newCosts("sidecar")
	endpoint := endpoint{address: fleet.Routers[0].Callers}
	for _, size := range costSizes {
		b.Run(fmt.Sprintf("streams=%d/tokens=%d", size.streams, size.tokens), func(b *testing.B) {
			for b.Loop() {
				endpoint.tokens = size.tokens
				routerBefore, sidecarBefore := routerUsage(b, fleet.Routers[0]), sidecarUsage(b, fleet.Engines[0])
				started := time.Now()
				workload := workload{endpoint: endpoint, streams: size.streams, rounds: size.rounds, latencies: newLatencies()}
				if err := workload.run(b.Context()); err != nil {
					b.Fatal(err)
				}
				elapsed := time.Since(started).Seconds()
				requests := float64(size.streams * size.rounds)
				tokens := requests * float64(size.tokens)
				routers.add(b, requests, tokens, routerUsage(b, fleet.Routers[0]).since(routerBefore))
				sidecars.add(b, requests, tokens, sidecarUsage(b, fleet.Engines[0]).since(sidecarBefore))
				b.ReportMetric(tokens/elapsed, "tokens/s")
			}
		})
	}
	figures := make(map[string]float64)
	routers.fit(figures)
	sidecars.fit(figures)
	reportSlopes(b, figures)
}

// costs collects the usage of one daemon at several sizes. In each point x1 is
// the number of requests, x2 the number of tokens, and y the processor time in
// microseconds, the number of allocations or the bytes allocated.
type costs struct {
	role                    string
	cpu, mallocs, allocated []point
}

func newCosts(role string) *costs { return &costs{role: role} }

// add records the usage at one size and reports it per token.
func (costs *costs) add(b *testing.B, requests, tokens float64, used usage) {
	costs.cpu = append(costs.cpu, point{x1: requests, x2: tokens, y: used.cpuSeconds * 1e6})
	costs.mallocs = append(costs.mallocs, point{x1: requests, x2: tokens, y: used.mallocs})
	costs.allocated = append(costs.allocated, point{x1: requests, x2: tokens, y: used.allocatedBytes})
	b.ReportMetric(used.cpuSeconds*1e6/tokens, costs.role+"-µs/token")
	b.ReportMetric(used.mallocs/tokens, costs.role+"-allocs/token")
}

// fit adds the costs per request and per token to figures. It adds nothing when
// fewer than two sizes were run, as happens with a narrow -bench pattern.
func (costs *costs) fit(figures map[string]float64) {
	for unit, points := range map[string][]point{"µs": costs.cpu, "allocs": costs.mallocs, "bytes": costs.allocated} {
		if len(points) < 2 {
			return
		}
		figures[costs.role+"-"+unit+"/request"], figures[costs.role+"-"+unit+"/token"] = fitPlane(points)
	}
}
