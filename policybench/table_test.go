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
	sizes  = flag.String("sizes", "12,18,70", "the numbers of upstreams to measure")
	chosen = flag.String("scenarios", "", "the scenarios to measure; empty means all")
	only   = flag.String("policies", "", "the policies to measure; empty means all")
	drawn  = flag.Uint64("seed", seed, "the seed of the table")
	table  = flag.Bool("table", false, "print the table of the design note")
)

const (
	seed = 4
	// surgingName is the name of the workspace that surges.
	surgingName = "workspace-1"
)

// TestTable prints the table of docs/design/placement.md.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	for _, scenario := range scenarios() {
		if *chosen != "" && !strings.Contains(","+*chosen+",", ","+scenario.name+",") {
			continue
		}
		for _, size := range strings.Split(*sizes, ",") {
			printTable(scenario, size)
		}
	}
}

func printTable(scenario scenario, sizeName string) {
	var size int
	if _, err := fmt.Sscan(sizeName, &size); err != nil {
		panic(err)
	}
	fmt.Printf("\n%s, %d upstreams\n\n", scenario.name, size)
	fmt.Println("| policy | reuse | local | skew p99 | skew max | mean load | admitted over mean | refused tries | refusals | false | others refused | others wait p99 s | queued | moved MB/s each |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, policy := range policies() {
		if *only != "" && !regexp.MustCompile(*only).MatchString(policy.name) {
			continue
		}
		counts := measure(policy, scenario, size, *drawn)
		except := ident.WorkspaceID(surgingName)
		if scenario.name == "overnight" {
			except = night
		}
		fmt.Printf("| %s | %.3f | %.3f | %.2f | %.2f | %.1f | %.2f | %.3f | %.4f | %.4f | %.4f | %.1f | %.4f | %.0f |\n",
			policy.name, counts.reuse(), ratio(counts.local, counts.returning), counts.skew(0.99), counts.skew(1), counts.meanLoad(),
			counts.aboveMean, counts.tries(), ratio(counts.refusals, counts.requests), ratio(counts.falseRefusals, counts.requests),
			counts.othersRefused(except), counts.othersWait(except), ratio(counts.queued, counts.requests), counts.moved/counts.seconds/float64(size)/1e6)
	}
}

// The targets at a load multiple of 1.25, in a small version of the table.
func TestTargetsThroughChurn(t *testing.T) {
	t.Parallel()
	churn := scenarioNamed("churn")
	for _, size := range []int{12, 18} {
		bounded, reference := measure(full("bound 1.25", 1.25), churn, size, seed), measure(unbounded, churn, size, seed)
		if got, want := bounded.reuse(), 0.97*reference.reuse(); got < want {
			t.Errorf("%d upstreams: got reuse %.3f, want at least %.3f", size, got, want)
		}
		if got, want := bounded.skew(0.99), 1.45; got > want {
			t.Errorf("%d upstreams: got 99th percentile of skew %.2f, want at most %.2f", size, got, want)
		}
		if got, want := bounded.tries(), 0.2; got >= want {
			t.Errorf("%d upstreams: got %.3f refused tries a request, want under %.2f", size, got, want)
		}
		if got, want := bounded.aboveBound, 1.0; got > want {
			t.Errorf("%d upstreams: got an admission at %.2f of its bound, want at most %.2f", size, got, want)
		}
	}
}

func TestASurgeRefusesNoOtherWorkspace(t *testing.T) {
	t.Parallel()
	policy := full("bound 1.25", 1.25)
	calm, surge := measure(policy, scenarioNamed("calm"), 12, seed), measure(policy, scenarioNamed("surge"), 12, seed)
	if got, want := surge.othersRefused(surgingName), calm.othersRefused(surgingName); got > want {
		t.Errorf("got a chance of refusal of %.4f in the surge, want at most %.4f", got, want)
	}
}

func TestARampRefusesNothing(t *testing.T) {
	t.Parallel()
	ramp := measure(full("bound 1.25", 1.25), scenarioNamed("ramp"), 18, seed)
	if got, want := ramp.falseRefusals, 0; got != want {
		t.Errorf("got %d of %d requests refused by a pool that had room, want %d", got, ramp.requests, want)
	}
}

func TestTheSameSeedGivesTheSameFigures(t *testing.T) {
	t.Parallel()
	policy, surge := full("bound 1.25", 1.25), scenarioNamed("surge")
	got, want := measure(policy, surge, 12, seed), measure(policy, surge, 12, seed)
	if got.reused != want.reused || got.refusedTries != want.refusedTries || got.skew(0.99) != want.skew(0.99) {
		t.Errorf("got %d, %d and %v, want %d, %d and %v", got.reused, got.refusedTries, got.skew(0.99), want.reused, want.refusedTries, want.skew(0.99))
	}
}
