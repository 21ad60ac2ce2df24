package claimtable_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/claimtable"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
)

// Limits of the stand-in table.
const (
	tableWritesPerSecond = 300
	tableReadsPerSecond  = 2000
)

// claimLoad sends a number of requests through several sidecars to one table.
type claimLoad struct {
	claimers  []*claimtable.Claimer
	remaining atomic.Int64
	refused   atomic.Int64
	wait      sync.WaitGroup
	// thinkTime is the time between an answer and the next request.
	thinkTime time.Duration

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func (claimLoad *claimLoad) run(claimer *claimtable.Claimer) {
	defer claimLoad.wait.Done()
	for claimLoad.remaining.Add(-1) >= 0 {
		time.Sleep(claimLoad.thinkTime)
		sent := time.Now()
		request := claimtable.Request{
			Key:      claim.Key{Service: "print", Workspace: "w", Key: ident.IdempotencyKey(ident.NewRequestID())},
			Deadline: sent.Add(10 * time.Second),
		}
		_, err := claimer.Run(context.Background(), request, answerImmediately)
		if err != nil {
			claimLoad.refused.Add(1)
			continue
		}
		claimLoad.mu.Lock()
		_ = claimLoad.latencies.RecordValue(time.Since(sent).Microseconds())
		claimLoad.mu.Unlock()
	}
}

func answerImmediately(context.Context) (claim.Reply, error) {
	return claim.Reply{Status: 200, ContentType: "application/json", Body: []byte(`{"Confirmation":1}`)}, nil
}

// BenchmarkClaims measures the request rate and the latency that a claim adds
// to a request. Several sidecars use the stand-in table over loopback HTTP, and
// each caller waits for its answer before it sends the next request.
func BenchmarkClaims(b *testing.B) {
	const thinkTime = 50 * time.Millisecond
	b.Run("idle", func(b *testing.B) { benchmarkClaims(b, 1, 1, thinkTime) })
	for _, load := range []struct{ sidecars, callers int }{{1, 1}, {1, 100}, {1, 400}, {50, 1}, {50, 8}, {50, 40}} {
		b.Run(fmt.Sprintf("sidecars=%d/callers=%d", load.sidecars, load.callers), func(b *testing.B) {
			benchmarkClaims(b, load.sidecars, load.callers, 0)
		})
	}
}

func benchmarkClaims(b *testing.B, sidecars, callers int, thinkTime time.Duration) {
	var platformStandin standin.Platform
	platformStandin.Switch(standin.PlatformSwitches{WritesPerSecond: tableWritesPerSecond, ReadsPerSecond: tableReadsPerSecond})
	server := httptest.NewServer(&platformStandin)
	defer server.Close()
	claimLoad := &claimLoad{thinkTime: thinkTime, latencies: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range sidecars {
		table := platform.New(server.Listener.Addr().String(), nil)
		claimer := claimtable.New(claimtable.Options{Table: table, Address: fmt.Sprint(i)})
		claimLoad.claimers = append(claimLoad.claimers, claimer)
	}
	claimLoad.remaining.Store(int64(b.N))
	b.ResetTimer()
	for _, claimer := range claimLoad.claimers {
		for range callers {
			claimLoad.wait.Add(1)
			go claimLoad.run(claimer)
		}
	}
	claimLoad.wait.Wait()
	b.StopTimer()
	for _, claimer := range claimLoad.claimers {
		if err := claimer.Close(context.Background()); err != nil {
			b.Error(err)
		}
	}
	answered := float64(claimLoad.latencies.TotalCount())
	counters := platformStandin.Counters()
	b.ReportMetric(answered/b.Elapsed().Seconds(), "answered/s")
	b.ReportMetric(float64(claimLoad.latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(claimLoad.latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(counters.Commits)/answered, "writes/answer")
	b.ReportMetric(float64(claimLoad.refused.Load())/float64(b.N), "refused")
	b.ReportMetric(float64(counters.Refused), "refused-writes")
}

// BenchmarkOutage measures the time until a caller learns that its request was
// not run while the table refuses all operations.
func BenchmarkOutage(b *testing.B) {
	for _, callers := range []int{1, 100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var platformStandin standin.Platform
			platformStandin.Switch(standin.PlatformSwitches{Outage: true})
			server := httptest.NewServer(&platformStandin)
			defer server.Close()
			table := platform.New(server.Listener.Addr().String(), nil)
			claimer := claimtable.New(claimtable.Options{Table: table})
			outageLoad := &outageLoad{latencies: hdrhistogram.New(1, 60_000_000, 3)}
			outageLoad.remaining.Store(int64(b.N))
			for range callers {
				outageLoad.wait.Add(1)
				go outageLoad.run(claimer)
			}
			outageLoad.wait.Wait()
			b.ReportMetric(float64(outageLoad.latencies.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(outageLoad.latencies.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(outageLoad.notRun.Load())/float64(b.N), "told-not-run")
		})
	}
}

// outageLoad sends requests that cannot be claimed.
type outageLoad struct {
	remaining atomic.Int64
	notRun    atomic.Int64
	wait      sync.WaitGroup

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func (outageLoad *outageLoad) run(claimer *claimtable.Claimer) {
	defer outageLoad.wait.Done()
	for outageLoad.remaining.Add(-1) >= 0 {
		sent := time.Now()
		request := claimtable.Request{
			Key:      claim.Key{Service: "print", Workspace: "w", Key: ident.IdempotencyKey(ident.NewRequestID())},
			Deadline: sent.Add(10 * time.Second),
		}
		_, err := claimer.Run(context.Background(), request, answerImmediately)
		if result.CodeOf(err).Outcome() == result.NotRun {
			outageLoad.notRun.Add(1)
		}
		outageLoad.mu.Lock()
		_ = outageLoad.latencies.RecordValue(time.Since(sent).Microseconds())
		outageLoad.mu.Unlock()
	}
}
