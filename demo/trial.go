package demo

import (
	"context"
	"fmt"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/load"
)

// minMeanLoad is the mean load per engine below which the skew is not sampled, since
// it says little then.
const minMeanLoad = 1

// trial sends the load, stops one engine in the middle, and samples the loads.
type trial struct {
	fleet   *fleet
	options Options
	report  *load.Report
	ended   chan struct{}
	tasks   sync.WaitGroup

	mu        sync.Mutex
	samples   int
	skew      float64
	worstSkew float64
	// firstControl and lastControl are the control bytes of each router in the
	// first and in the latest sample.
	firstControl map[ident.VMID]ident.Bytes
	lastControl  map[ident.VMID]ident.Bytes
	elapsed      time.Duration
}

// run sends the whole load and waits until all tasks have ended.
func (trial *trial) run(ctx context.Context) error {
	started := time.Now()
	watch := &watch{trial: trial, started: started}
	departure := &departure{trial: trial}
	trial.tasks.Add(2)
	go watch.run(ctx)
	go departure.run(ctx)
	report, err := trial.runner().Run(ctx)
	trial.elapsed = time.Since(started)
	close(trial.ended)
	trial.tasks.Wait()
	trial.report = report
	return err
}

// departure gracefully stops the sidecar of one engine in the middle of the run.
type departure struct {
	trial *trial
}

func (departure *departure) run(ctx context.Context) {
	trial := departure.trial
	defer trial.tasks.Done()
	half := time.Duration(trial.options.Requests) * time.Second / requestRate / 2
	timer := time.NewTimer(half)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-trial.ended:
		return
	case <-ctx.Done():
		return
	}
	leaving := trial.fleet.sidecars[1]
	printLine(trial.options.Out, "engine-1 leaves: it finishes its requests and accepts no new ones.")
	leaving.stop()
	<-leaving.ended
	printLine(trial.options.Out, "engine-1 has left.")
}

// watch samples the loads and the control bytes at sampleInterval, and prints the
// progress once a second.
type watch struct {
	trial   *trial
	started time.Time
	printed int
}

func (watch *watch) run(ctx context.Context) {
	trial := watch.trial
	defer trial.tasks.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			watch.sample(ctx)
		case <-trial.ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (watch *watch) sample(ctx context.Context) {
	trial := watch.trial
	for _, address := range trial.fleet.operators {
		status, err := statusOf(ctx, address)
		if err != nil {
			continue
		}
		trial.record(status)
	}
	if seconds := int(time.Since(watch.started).Seconds()); seconds > watch.printed {
		watch.printed = seconds
		printLine(trial.options.Out, "%3d s: %d requests accepted by the engines", seconds, trial.fleet.acceptedRequests())
	}
}

// acceptedRequests returns the number of requests that the engines have accepted.
func (fleet *fleet) acceptedRequests() int64 {
	var accepted int64
	for _, engine := range fleet.engines {
		accepted += engine.Counters().Requests
	}
	return accepted
}

// record adds one sample of the status of a router.
func (trial *trial) record(status daemon.RouterStatus) {
	trial.mu.Lock()
	defer trial.mu.Unlock()
	if trial.lastControl == nil {
		trial.firstControl = make(map[ident.VMID]ident.Bytes)
		trial.lastControl = make(map[ident.VMID]ident.Bytes)
	}
	if _, found := trial.firstControl[status.VM]; !found {
		trial.firstControl[status.VM] = status.ControlBytes
	}
	trial.lastControl[status.VM] = status.ControlBytes
	total, busiest, engines := 0, 0, 0
	for _, upstream := range status.Upstreams {
		state := upstream.Status.State
		if !upstream.Reached || state.Leaving || upstream.Upstream == "orders-1" {
			continue
		}
		engines++
		total += state.Load
		busiest = max(busiest, state.Load)
	}
	if engines == 0 || total < minMeanLoad*engines {
		return
	}
	skew := float64(busiest) * float64(engines) / float64(total)
	trial.samples++
	trial.skew += skew
	trial.worstSkew = max(trial.worstSkew, skew)
}

// print prints the summary table.
func (trial *trial) print() {
	trial.mu.Lock()
	defer trial.mu.Unlock()
	report := trial.report
	table := tabwriter.NewWriter(trial.options.Out, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintln(table)
	row("requests", "%d", report.Requests)
	row("complete answers", "%d", report.Whole)
	row("wrong answers", "%d", report.Wrong)
	row("truncated answers", "%d", report.Cut)
	row("refused or failed", "%v", report.Codes)
	row("confirmations", "%d keys, %d done", report.Confirmations.Keys, report.Confirmations.Done)
	row("keys run twice", "%d", report.Confirmations.RanTwice)
	row("refused as not run, but ran", "%d", report.Confirmations.RanAfterNotRun)
	row("cache reuse", "%.2f of the prompt tokens", report.Reuse)
	row("skew", "%.2f mean, %.2f worst (load of the busiest engine over the mean load)", trial.skew/float64(max(1, trial.samples)), trial.worstSkew)
	row("first token", "%.0f ms median, %.0f ms 95th percentile", report.FirstToken.P50, report.FirstToken.P95)
	row("control traffic", "%.0f bytes per second and router", trial.controlRate())
	_ = table.Flush()
}

// controlRate returns the mean control bytes per second of a router.
func (trial *trial) controlRate() float64 {
	var total ident.Bytes
	for vm, count := range trial.lastControl {
		total += count - trial.firstControl[vm]
	}
	return float64(total) / float64(max(1, len(trial.lastControl))) / trial.elapsed.Seconds()
}
