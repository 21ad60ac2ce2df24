package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// answerDuration is the approximate generation time of an answer of 64 tokens
// at 50 tokens per second.
const answerDuration = 1280 * time.Millisecond

// BenchmarkAddedTime measures the latency that router and sidecar add to an
// answer. It reads answers through both and, at the same time, directly from
// the same engine. It reports the direct times to the first token and between
// tokens, and what the routed path adds to them, at the median and at the 99th
// percentile.
func BenchmarkAddedTime(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		Limit:      4096,
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "50", "--prefill-per-second", "0"},
	})
	routed := endpoint{address: fleet.Routers[0].Callers, tokens: 64}
	direct := endpoint{address: fleet.Engines[0].Address, direct: true, tokens: 64}
	for _, streams := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			rounds := max(8, 24/streams)
			for b.Loop() {
				routedWork := workload{endpoint: routed, streams: streams, rounds: rounds, rampUp: answerDuration, latencies: newLatencies()}
				directWork := workload{endpoint: direct, streams: streams, rounds: rounds, rampUp: answerDuration, latencies: newLatencies()}
				var group errgroup.Group
				group.Go(func() error { return routedWork.run(b.Context()) })
				group.Go(func() error { return directWork.run(b.Context()) })
				if err := group.Wait(); err != nil {
					b.Fatal(err)
				}
				reportLatencies(b, routedWork.latencies, directWork.latencies)
			}
		})
	}
}

// reportLatencies reports the direct latencies, and the differences between the
// routed and the direct ones, in microseconds.
func reportLatencies(b *testing.B, routed, direct *latencies) {
	for _, quantile := range []float64{50, 99} {
		name := fmt.Sprintf("p%.0f-µs", quantile)
		first, firstDirect := routed.firstToken.ValueAtQuantile(quantile), direct.firstToken.ValueAtQuantile(quantile)
		between, betweenDirect := routed.betweenTokens.ValueAtQuantile(quantile), direct.betweenTokens.ValueAtQuantile(quantile)
		b.ReportMetric(float64(firstDirect), "first-direct-"+name)
		b.ReportMetric(float64(first-firstDirect), "first-added-"+name)
		b.ReportMetric(float64(betweenDirect), "between-direct-"+name)
		b.ReportMetric(float64(between-betweenDirect), "between-added-"+name)
	}
}
