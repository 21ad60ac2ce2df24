//go:build race

package fleettest

// buildFlags build the programs with the race detector if the test has it.
var buildFlags = []string{"-race"}
