// Package policybench measures how the policies of affinity, admission, prefix
// and retry act together. It holds tests only: the real packages behind fakes
// of an engine, a sidecar and a router, in virtual time and with fixed seeds,
// so that each run gives the same figures.
//
// It promises nothing to callers and is not part of the daemons.
package policybench
