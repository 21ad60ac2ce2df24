package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/soak"
)

// regressions are seeds that once failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{31, "the soak gave a router a port that a soak beside it had given away, too"},
	{46, "as seed 31"},
	{140, "the soak gave one port to two routers"},
}

// short is the soak that CI plays.
func short(t *testing.T, program string, seed uint64) {
	t.Helper()
	report, err := soak.Run(t.Context(), soak.Options{
		Seed: seed, Length: 12 * time.Second, Routers: 4, Upstreams: 5, Callers: 10, Program: program, Dir: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Errorf("got %q broken after %v: %s", violation.Promise, violation.After, violation.Detail)
	}
	if report.Served < 100 {
		t.Errorf("got %d served requests of %v, want at least 100", report.Served, report.Requests)
	}
}

func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hickoryhead")
	if output, err := exec.Command("go", "build", "-o", program, "github.com/hickoryhead/hickoryhead/cmd/hickoryhead").CombinedOutput(); err != nil {
		t.Fatalf("got %v, want a build: %s", err, output)
	}
	short(t, program, 1)
	for _, regression := range regressions {
		short(t, program, regression.seed)
	}
}
