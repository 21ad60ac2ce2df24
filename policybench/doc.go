// Package policybench measures how the policies of packages affinity, admission,
// prefix and retry work together. It contains tests only: a simulation that runs
// the real packages with a fake engine, sidecar and router, in virtual time and
// with fixed seeds, so that each run gives the same figures.
//
// It exports nothing and is not part of the daemons.
package policybench
