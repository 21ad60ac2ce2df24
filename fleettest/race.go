//go:build race

package fleettest

// buildFlags make the programs report data races where the test does.
var buildFlags = []string{"-race"}
