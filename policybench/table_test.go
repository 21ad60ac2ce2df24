package policybench

import (
	"flag"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/ident"
)

var (
	sizesFlag      = flag.String("sizes", "12,18,70", "the numbers of upstreams to measure")
	scenarioFlag   = flag.String("scenarios", "", "the scenarios to measure; empty means all")
	policyFlag     = flag.String("policies", "", "the policies to measure; empty means all")
	seedFlag       = flag.Uint64("seed", seed, "the seed of the table")
	printTableFlag = flag.Bool("table", false, "print the table of the design note")
)

const (
	seed = 4
	// surgingWorkspace is the workspace that surges, with index surgingIndex.
	surgingWorkspace = "workspace-1"
)

// TestTable prints the table of docs/design/placement.md.
func TestTable(t *testing.T) {
	if !*printTableFlag {
		t.Skip("run with -table")
	}
	for _, scenario := range scenarios() {
		if *scenarioFlag != "" && !strings.Contains(","+*scenarioFlag+",", ","+scenario.name+",") {
			continue
		}
		for _, size := range strings.Split(*sizesFlag, ",") {
			printTable(scenario, size)
		}
	}
}

// printTable prints the figures of all selected policies in one scenario.
func printTable(scenario scenario, sizeName string) {
	var size int
	if _, err := fmt.Sscan(sizeName, &size); err != nil {
		panic(err)
	}
	fmt.Printf("\n%s, %d upstreams\n\n", scenario.name, size)
	fmt.Println("| policy | reuse | local | skew p99 | skew max | mean load | admitted over mean | refused tries | refusals | false | others refused | others wait p99 s | queued | moved MB/s each |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, policy := range policies() {
		if *policyFlag != "" && !regexp.MustCompile(*policyFlag).MatchString(policy.name) {
			continue
		}
		stats := measure(policy, scenario, size, *seedFlag)
		except := ident.WorkspaceID(surgingWorkspace)
		if scenario.name == "overnight" {
			except = batchWorkspace
		}
		fmt.Printf("| %s | %.3f | %.3f | %.2f | %.2f | %.1f | %.2f | %.3f | %.4f | %.4f | %.4f | %.1f | %.4f | %.0f |\n",
			policy.name, stats.reuseRatio(), ratio(stats.localHits, stats.returning), stats.skewQuantile(0.99), stats.skewQuantile(1), stats.averageMeanLoad(),
			stats.maxLoadOverMean, stats.refusedTriesPerRequest(), ratio(stats.refusals, stats.requests), ratio(stats.falseRefusals, stats.requests),
			stats.othersRefusalRatio(except), stats.othersWaitP99(except), ratio(stats.queued, stats.requests), stats.fetchedBytes/stats.seconds/float64(size)/1e6)
	}
}

// The targets at a load multiple of 1.25 hold while engines crash and join, in
// small pools.
func TestTargetsThroughChurn(t *testing.T) {
	t.Parallel()
	churn := scenarioNamed("churn")
	for _, size := range []int{12, 18} {
		bounded, reference := measure(full("bound 1.25", 1.25), churn, size, seed), measure(unbounded, churn, size, seed)
		if got, want := bounded.reuseRatio(), 0.97*reference.reuseRatio(); got < want {
			t.Errorf("%d upstreams: got reuse %.3f, want at least %.3f", size, got, want)
		}
		if got, want := bounded.skewQuantile(0.99), 1.45; got > want {
			t.Errorf("%d upstreams: got 99th percentile of skew %.2f, want at most %.2f", size, got, want)
		}
		if got, want := bounded.refusedTriesPerRequest(), 0.2; got >= want {
			t.Errorf("%d upstreams: got %.3f refused tries per request, want under %.2f", size, got, want)
		}
		if got, want := bounded.maxLoadOverBound, 1.0; got > want {
			t.Errorf("%d upstreams: got a load of %.2f times the bound after an admission, want at most %.2f", size, got, want)
		}
	}
}

// A surge of one workspace does not get requests of other workspaces refused.
func TestASurgeRefusesNoOtherWorkspace(t *testing.T) {
	t.Parallel()
	policy := full("bound 1.25", 1.25)
	calm, surge := measure(policy, scenarioNamed("calm"), 12, seed), measure(policy, scenarioNamed("surge"), 12, seed)
	if got, want := surge.othersRefusalRatio(surgingWorkspace), calm.othersRefusalRatio(surgingWorkspace); got > want {
		t.Errorf("other workspaces in the surge: got refusal ratio %.4f, want at most %.4f", got, want)
	}
}

// A steep ramp in an idle pool refuses no request while the pool has spare
// capacity. Bounds from the sampled mean load alone lag behind the ramp and would
// refuse many.
func TestARampRefusesNothing(t *testing.T) {
	t.Parallel()
	ramp := measure(full("bound 1.25", 1.25), scenarioNamed("ramp"), 18, seed)
	if got, want := ramp.falseRefusals, 0; got != want {
		t.Errorf("got %d of %d requests refused by a pool with spare capacity, want %d", got, ramp.requests, want)
	}
}

func TestTheSameSeedGivesTheSameFigures(t *testing.T) {
	t.Parallel()
	policy, surge := full("bound 1.25", 1.25), scenarioNamed("surge")
	got, want := measure(policy, surge, 12, seed), measure(policy, surge, 12, seed)
	if got.reused != want.reused || got.refusedTries != want.refusedTries || got.skewQuantile(0.99) != want.skewQuantile(0.99) {
		t.Errorf("got %d reused, %d refused tries and skew p99 %v, want %d, %d and %v", got.reused, got.refusedTries, got.skewQuantile(0.99), want.reused, want.refusedTries, want.skewQuantile(0.99))
	}
}
