//go:build !race

package fleettest

var buildFlags []string
