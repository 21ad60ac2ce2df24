package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/soak"
)

// regressions are seeds that failed before, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{31, "two concurrent soaks assigned the same port to a router"},
	{46, "same as seed 31"},
	{140, "the soak assigned the same port to two routers"},
}

// runShortSoak runs a soak of the length that CI uses and reports its violations.
func runShortSoak(t *testing.T, program string, seed uint64) {
	t.Helper()
	report, err := soak.Run(t.Context(), soak.Options{
		Seed: seed, Length: 12 * time.Second, Routers: 4, Upstreams: 5, Callers: 10, Program: program, Dir: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Errorf("got violation %q after %v: %s", violation.Promise, violation.After, violation.Detail)
	}
	if report.Served < 100 {
		t.Errorf("got %d served requests of %v, want at least 100", report.Served, report.Requests)
	}
}

func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hickoryhead")
	if output, err := exec.Command("go", "build", "-o", program, "github.com/hickoryhead/hickoryhead/cmd/hickoryhead").CombinedOutput(); err != nil {
		t.Fatalf("got %v, want a successful build: %s", err, output)
	}
	runShortSoak(t, program, 1)
	for _, regression := range regressions {
		runShortSoak(t, program, regression.seed)
	}
}
