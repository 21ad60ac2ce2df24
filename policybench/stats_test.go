package policybench

import (
	"math"
	"slices"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
)

// stats holds what one run measured after its warm-up.
type stats struct {
	seconds                                         float64
	requests, refusedTries, refusals, falseRefusals int
	queued, retries, failures                       int
	returning, reused, localHits                    int
	failedFetches, pushedPrefixes, exchanges        int
	// fetchedBytes is the size of all prefixes fetched from other engines.
	fetchedBytes float64
	reasons      map[prefix.Reason]int
	workspaces   map[ident.WorkspaceID]*workspaceStats
	// skews holds the ratio of the highest load to the mean at each sample.
	skews []float64
	// maxLoadOverBound is the highest ratio of an engine's load after an
	// admission to the bound that the admission was checked against;
	// maxLoadOverMean is the highest ratio to the true mean load at that time.
	maxLoadOverBound, maxLoadOverMean float64
	// meanLoads holds the mean load of the pool at each sample.
	meanLoads []float64
}

// workspaceStats holds what one run measured for one workspace.
type workspaceStats struct {
	requests, refusals int
	// waits holds the seconds from a request's arrival to its start.
	waits []float64
}

// workspaceStats returns the statistics of the chat's workspace.
func (simulation *simulation) workspaceStats(chat *chat) *workspaceStats {
	found := simulation.stats.workspaces[chat.workspace]
	if found == nil {
		found = &workspaceStats{}
		simulation.stats.workspaces[chat.workspace] = found
	}
	return found
}

// sampleSkew records the skew and the mean load of the pool now, and schedules
// the next sample. A mean load below 1 gives no meaningful skew.
func (simulation *simulation) sampleSkew() {
	highest, mean := simulation.poolLoad()
	if mean >= 1 {
		simulation.stats.skews = append(simulation.stats.skews, highest/mean)
	}
	simulation.stats.meanLoads = append(simulation.stats.meanLoads, mean)
	simulation.clock.after(skewSampleSeconds, simulation.sampleSkew)
}

// poolLoad returns the highest and the mean load of the engines of the pool.
func (simulation *simulation) poolLoad() (highest, mean float64) {
	for _, engine := range simulation.live {
		load := float64(len(engine.running))
		highest = max(highest, load)
		mean += load / float64(len(simulation.live))
	}
	return highest, mean
}

// recordAdmission records how far an admission raised the load above the bound
// and the mean.
func (stats *stats) recordAdmission(simulation *simulation, decision admission.Decision) {
	if simulation.countAfterWarmUp(1) == 0 || decision.Bound == 0 {
		return
	}
	stats.maxLoadOverBound = max(stats.maxLoadOverBound, float64(decision.Load)/float64(decision.Bound))
	if _, mean := simulation.poolLoad(); mean >= 1 {
		stats.maxLoadOverMean = max(stats.maxLoadOverMean, float64(decision.Load)/mean)
	}
}

// ratio returns part divided by total, or by 1 if total is zero.
func ratio(part, total int) float64 { return float64(part) / float64(max(1, total)) }

// reuseRatio returns the share of returning requests whose prefix was cached or
// fetched.
func (stats *stats) reuseRatio() float64 { return ratio(stats.reused, stats.returning) }

func (stats *stats) refusedTriesPerRequest() float64 {
	return ratio(stats.refusedTries, stats.requests)
}

// skewQuantile returns the q-quantile of the sampled skews.
func (stats *stats) skewQuantile(q float64) float64 {
	return quantile(stats.skews, q)
}

// quantile returns the q-quantile of values, or NaN if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (stats *stats) averageMeanLoad() float64 {
	sum := 0.0
	for _, mean := range stats.meanLoads {
		sum += mean
	}
	return sum / float64(max(1, len(stats.meanLoads)))
}

// recordWait records the time from a request's arrival to its start.
func (stats *stats) recordWait(simulation *simulation, request *request) {
	if simulation.countAfterWarmUp(1) == 0 {
		return
	}
	workspaceStats := simulation.workspaceStats(request.chat)
	workspaceStats.waits = append(workspaceStats.waits, simulation.clock.now.Sub(request.arrivedAt).Seconds())
}

// othersWaitP99 returns the 99th percentile, in seconds, of the waits of the
// requests of all other workspaces.
func (stats *stats) othersWaitP99(except ident.WorkspaceID) float64 {
	var waits []float64
	for workspace, workspaceStats := range stats.workspaces {
		if workspace != except {
			waits = append(waits, workspaceStats.waits...)
		}
	}
	return quantile(waits, 0.99)
}

// othersRefusalRatio returns the share of the requests of all other workspaces
// that were refused.
func (stats *stats) othersRefusalRatio(except ident.WorkspaceID) float64 {
	var sum workspaceStats
	for workspace, workspaceStats := range stats.workspaces {
		if workspace != except {
			sum.requests += workspaceStats.requests
			sum.refusals += workspaceStats.refusals
		}
	}
	return ratio(sum.refusals, sum.requests)
}
