package policybench

import (
	"math"
	"slices"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
)

// counts is what one run gave, after its warm-up.
type counts struct {
	seconds                                         float64
	requests, refusedTries, refusals, falseRefusals int
	queued, retries, failures                       int
	returning, reused, local                        int
	vain, pushed, exchanges                         int
	// moved is the bytes of prefixes fetched.
	moved       float64
	reasons     map[prefix.Reason]int
	byWorkspace map[ident.WorkspaceID]*tally
	// skews holds the highest load over the mean at each look.
	skews []float64
	// aboveBound is the highest load after an admission over the bound that it
	// was held against, and aboveMean over the true mean at that time.
	aboveBound, aboveMean float64
	means                 []float64
}

// tally counts the requests of one workspace.
type tally struct {
	requests, refusals int
	// waits holds the seconds from a request's arrival to its start.
	waits []float64
}

func (bench *bench) tally(chat *chat) *tally {
	found := bench.counts.byWorkspace[chat.workspace]
	if found == nil {
		found = &tally{}
		bench.counts.byWorkspace[chat.workspace] = found
	}
	return found
}

// look notes the skew now.
func (bench *bench) look() {
	highest, mean := bench.spread()
	if mean >= 1 {
		bench.counts.skews = append(bench.counts.skews, highest/mean)
	}
	bench.counts.means = append(bench.counts.means, mean)
	bench.clock.after(lookPeriod, bench.look)
}

// spread returns the highest and the mean load of the pool.
func (bench *bench) spread() (highest, mean float64) {
	for _, engine := range bench.live {
		load := float64(len(engine.running))
		highest = max(highest, load)
		mean += load / float64(len(bench.live))
	}
	return highest, mean
}

// admitted notes an admission.
func (counts *counts) admitted(bench *bench, decision admission.Decision) {
	if bench.measured(1) == 0 || decision.Bound == 0 {
		return
	}
	counts.aboveBound = max(counts.aboveBound, float64(decision.Load)/float64(decision.Bound))
	if _, mean := bench.spread(); mean >= 1 {
		counts.aboveMean = max(counts.aboveMean, float64(decision.Load)/mean)
	}
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func (counts *counts) reuse() float64 { return ratio(counts.reused, counts.returning) }

func (counts *counts) tries() float64 { return ratio(counts.refusedTries, counts.requests) }

// skew returns the value that a part of the looks did not exceed.
func (counts *counts) skew(part float64) float64 {
	return quantile(counts.skews, part)
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

func (counts *counts) meanLoad() float64 {
	sum := 0.0
	for _, mean := range counts.means {
		sum += mean
	}
	return sum / float64(max(1, len(counts.means)))
}

// wait notes how long a request waited for its start.
func (counts *counts) wait(bench *bench, request *request) {
	if bench.measured(1) == 0 {
		return
	}
	tally := bench.tally(request.chat)
	tally.waits = append(tally.waits, bench.clock.now.Sub(request.askedAt).Seconds())
}

// othersWait returns the wait in seconds that 99 of 100 requests of every
// workspace but one did not exceed.
func (counts *counts) othersWait(except ident.WorkspaceID) float64 {
	var waits []float64
	for workspace, tally := range counts.byWorkspace {
		if workspace != except {
			waits = append(waits, tally.waits...)
		}
	}
	return quantile(waits, 0.99)
}

// othersRefused returns the chance of refusal of every workspace but one.
func (counts *counts) othersRefused(except ident.WorkspaceID) float64 {
	var sum tally
	for workspace, tally := range counts.byWorkspace {
		if workspace != except {
			sum.requests += tally.requests
			sum.refusals += tally.refusals
		}
	}
	return ratio(sum.refusals, sum.requests)
}
