package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// answerTime is about how long one answer takes to generate.
const answerTime = 1280 * time.Millisecond

// BenchmarkAddedTime reads answers through router and sidecar and, in the same
// run, directly from the same engine. It reports the time to the first token
// and between tokens of both in microseconds, at the median and for 99 in 100.
func BenchmarkAddedTime(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		Limit:      4096,
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "50", "--prefill-per-second", "0"},
	})
	routed := source{address: fleet.Routers[0].Callers, tokens: 64}
	direct := source{address: fleet.Engines[0].Address, direct: true, tokens: 64}
	for _, streams := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			rounds := max(8, 24/streams)
			for b.Loop() {
				through := reading{source: routed, streams: streams, rounds: rounds, stagger: answerTime, times: newTimes()}
				past := reading{source: direct, streams: streams, rounds: rounds, stagger: answerTime, times: newTimes()}
				var group errgroup.Group
				group.Go(func() error { return through.run(b.Context()) })
				group.Go(func() error { return past.run(b.Context()) })
				if err := group.Wait(); err != nil {
					b.Fatal(err)
				}
				reportTimes(b, through.times, past.times)
			}
		})
	}
}

func reportTimes(b *testing.B, routed, direct *times) {
	for _, quantile := range []float64{50, 99} {
		name := fmt.Sprintf("p%.0f-µs", quantile)
		first, firstDirect := routed.first.ValueAtQuantile(quantile), direct.first.ValueAtQuantile(quantile)
		between, betweenDirect := routed.between.ValueAtQuantile(quantile), direct.between.ValueAtQuantile(quantile)
		b.ReportMetric(float64(firstDirect), "first-direct-"+name)
		b.ReportMetric(float64(first-firstDirect), "first-added-"+name)
		b.ReportMetric(float64(betweenDirect), "between-direct-"+name)
		b.ReportMetric(float64(between-betweenDirect), "between-added-"+name)
	}
}
