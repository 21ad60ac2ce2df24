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

// tableWrites is the limit of the table in writes a second, and tableReads
// that in reads.
const (
	tableWrites = 300
	tableReads  = 2000
)

// bench runs b.N requests through a number of sidecars before one table.
type bench struct {
	claimers []*claimtable.Claimer
	left     atomic.Int64
	refused  atomic.Int64
	wait     sync.WaitGroup
	// think is the time between an answer and the next request.
	think time.Duration

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func (bench *bench) run(claimer *claimtable.Claimer) {
	defer bench.wait.Done()
	for bench.left.Add(-1) >= 0 {
		time.Sleep(bench.think)
		sent := time.Now()
		request := claimtable.Request{
			Key:      claim.Key{Service: "print", Workspace: "w", Key: ident.IdempotencyKey(ident.NewRequestID())},
			Deadline: sent.Add(10 * time.Second),
		}
		_, err := claimer.Run(context.Background(), request, answerAtOnce)
		if err != nil {
			bench.refused.Add(1)
			continue
		}
		bench.mu.Lock()
		_ = bench.latencies.RecordValue(time.Since(sent).Microseconds())
		bench.mu.Unlock()
	}
}

func answerAtOnce(context.Context) (claim.Reply, error) {
	return claim.Reply{Status: 200, ContentType: "application/json", Body: []byte(`{"Confirmation":1}`)}, nil
}

// BenchmarkClaims measures requests a second and the time that a claim adds to
// one, through several sidecars whose callers each wait for their answer before
// they send again, against the stand-in table over loopback HTTP.
func BenchmarkClaims(b *testing.B) {
	const think = 50 * time.Millisecond
	b.Run("idle", func(b *testing.B) { benchmarkClaims(b, 1, 1, think) })
	for _, load := range []struct{ sidecars, callers int }{{1, 1}, {1, 100}, {1, 400}, {50, 1}, {50, 8}, {50, 40}} {
		b.Run(fmt.Sprintf("sidecars=%d/callers=%d", load.sidecars, load.callers), func(b *testing.B) {
			benchmarkClaims(b, load.sidecars, load.callers, 0)
		})
	}
}

func benchmarkClaims(b *testing.B, sidecars, callers int, think time.Duration) {
	var stand standin.Platform
	stand.Switch(standin.PlatformSwitches{WritesPerSecond: tableWrites, ReadsPerSecond: tableReads})
	server := httptest.NewServer(&stand)
	defer server.Close()
	bench := &bench{think: think, latencies: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range sidecars {
		table := platform.New(server.Listener.Addr().String(), nil)
		claimer := claimtable.New(claimtable.Options{Table: table, Address: fmt.Sprint(i)})
		bench.claimers = append(bench.claimers, claimer)
	}
	bench.left.Store(int64(b.N))
	b.ResetTimer()
	for _, claimer := range bench.claimers {
		for range callers {
			bench.wait.Add(1)
			go bench.run(claimer)
		}
	}
	bench.wait.Wait()
	b.StopTimer()
	for _, claimer := range bench.claimers {
		if err := claimer.Close(context.Background()); err != nil {
			b.Error(err)
		}
	}
	answered := float64(bench.latencies.TotalCount())
	counters := stand.Counters()
	b.ReportMetric(answered/b.Elapsed().Seconds(), "answered/s")
	b.ReportMetric(float64(bench.latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(bench.latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(counters.Commits)/answered, "writes/answer")
	b.ReportMetric(float64(bench.refused.Load())/float64(b.N), "refused")
	b.ReportMetric(float64(counters.Refused), "refused-writes")
}

// BenchmarkOutage measures the time until a caller is told that its request was
// not run while the table refuses everything.
func BenchmarkOutage(b *testing.B) {
	for _, callers := range []int{1, 100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var stand standin.Platform
			stand.Switch(standin.PlatformSwitches{Outage: true})
			server := httptest.NewServer(&stand)
			defer server.Close()
			table := platform.New(server.Listener.Addr().String(), nil)
			claimer := claimtable.New(claimtable.Options{Table: table})
			outage := &outage{latencies: hdrhistogram.New(1, 60_000_000, 3)}
			outage.left.Store(int64(b.N))
			for range callers {
				outage.wait.Add(1)
				go outage.run(claimer)
			}
			outage.wait.Wait()
			b.ReportMetric(float64(outage.latencies.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(outage.latencies.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(outage.notRun.Load())/float64(b.N), "told-not-run")
		})
	}
}

// outage sends requests that cannot be claimed.
type outage struct {
	left   atomic.Int64
	notRun atomic.Int64
	wait   sync.WaitGroup

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func (outage *outage) run(claimer *claimtable.Claimer) {
	defer outage.wait.Done()
	for outage.left.Add(-1) >= 0 {
		sent := time.Now()
		request := claimtable.Request{
			Key:      claim.Key{Service: "print", Workspace: "w", Key: ident.IdempotencyKey(ident.NewRequestID())},
			Deadline: sent.Add(10 * time.Second),
		}
		_, err := claimer.Run(context.Background(), request, answerAtOnce)
		if result.CodeOf(err).Outcome() == result.NotRun {
			outage.notRun.Add(1)
		}
		outage.mu.Lock()
		_ = outage.latencies.RecordValue(time.Since(sent).Microseconds())
		outage.mu.Unlock()
	}
}
