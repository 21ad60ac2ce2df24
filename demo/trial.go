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

// minMean is the mean load below which the skew says little.
const minMean = 1

// trial drives the load, lets one engine leave in the middle, and watches.
type trial struct {
	fleet   *fleet
	options Options
	report  *load.Report
	ended   chan struct{}
	tasks   sync.WaitGroup

	mu      sync.Mutex
	samples int
	skew    float64
	worst   float64
	// before and control are the control bytes of each router at the first and
	// at the latest sample.
	before  map[ident.VMID]ident.Bytes
	control map[ident.VMID]ident.Bytes
	elapsed time.Duration
}

// drive runs the load to its end.
func (trial *trial) drive(ctx context.Context) error {
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

// departure stops one engine's sidecar gracefully in the middle of the run.
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
	say(trial.options.Out, "engine-1 leaves: it finishes its work and takes no more.")
	leaving.stop()
	<-leaving.ended
	say(trial.options.Out, "engine-1 has left.")
}

// watch samples the loads and the control bytes, and prints progress.
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
		trial.take(status)
	}
	if seconds := int(time.Since(watch.started).Seconds()); seconds > watch.printed {
		watch.printed = seconds
		say(trial.options.Out, "%3d s: %d requests taken on by the engines", seconds, trial.fleet.taken())
	}
}

// taken returns the requests that the engines have taken on.
func (fleet *fleet) taken() int64 {
	var taken int64
	for _, engine := range fleet.engines {
		taken += engine.Counters().Requests
	}
	return taken
}

// take adds one sample of the loads.
func (trial *trial) take(status daemon.RouterStatus) {
	trial.mu.Lock()
	defer trial.mu.Unlock()
	if trial.control == nil {
		trial.before = make(map[ident.VMID]ident.Bytes)
		trial.control = make(map[ident.VMID]ident.Bytes)
	}
	if _, found := trial.before[status.VM]; !found {
		trial.before[status.VM] = status.ControlBytes
	}
	trial.control[status.VM] = status.ControlBytes
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
	if engines == 0 || total < minMean*engines {
		return
	}
	skew := float64(busiest) * float64(engines) / float64(total)
	trial.samples++
	trial.skew += skew
	trial.worst = max(trial.worst, skew)
}

// print prints what happened as a short table.
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
	row("answers whole", "%d", report.Whole)
	row("answers wrong", "%d", report.Wrong)
	row("answers cut", "%d", report.Cut)
	row("refused or failed", "%v", report.Codes)
	row("confirmations", "%d keys, %d done", report.Confirmations.Keys, report.Confirmations.Done)
	row("duplicates run", "%d", report.Confirmations.RanTwice)
	row("said not run, but ran", "%d", report.Confirmations.RanAfterNotRun)
	row("cache reuse", "%.2f of the prompt tokens", report.Reuse)
	row("skew", "%.2f mean, %.2f worst (busiest engine over the mean)", trial.skew/float64(max(1, trial.samples)), trial.worst)
	row("first token", "%.0f ms median, %.0f ms for 95 in 100", report.FirstToken.P50, report.FirstToken.P95)
	row("control traffic", "%.0f bytes a second for each router", trial.controlRate())
	_ = table.Flush()
}

// controlRate returns the mean control bytes a second of the routers.
func (trial *trial) controlRate() float64 {
	var total ident.Bytes
	for vm, count := range trial.control {
		total += count - trial.before[vm]
	}
	return float64(total) / float64(max(1, len(trial.control))) / trial.elapsed.Seconds()
}
