// Package seeded runs the tests of a package with a fixed seed for its property
// tests.
//
// It guarantees the same inputs on each run, unless the command line sets
// another seed.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Setting is a flag of the rapid package with its value, such as rapid.checks.
type Setting struct {
	Name  string
	Value string
}

// Main sets the seed and the settings in more, runs the tests and exits the
// process. Call it from TestMain. Flags on the command line override the
// settings. It panics if a setting is not a flag or its value is invalid.
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
