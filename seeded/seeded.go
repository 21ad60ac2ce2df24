// Package seeded runs the tests of a package with fixed settings of its property
// tests.
//
// It promises the same verdict on each run, unless the command line sets
// another seed.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Setting is one setting of the property tests, such as rapid.checks.
type Setting struct {
	Name  string
	Value string
}

// Main runs the tests with the seed and ends the process. Call it from
// TestMain.
func Main(m *testing.M, seed string, more ...Setting) {
	settings := append([]Setting{{"rapid.seed", seed}, {"rapid.nofailfile", "true"}}, more...)
	for _, setting := range settings {
		if err := flag.Set(setting.Name, setting.Value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
