// Package capacity measures the resources that the daemons use: the latency
// added to an answer, processor time and allocations per request and per token,
// memory per open stream and per known VM, and control bytes. The benchmarks run
// over loopback against stand-ins for the platform and the engines;
// docs/CAPACITY.md extrapolates their results to the full size.
//
// Seeds are fixed, and each slope is fitted to at least three sizes. The package
// contains only benchmarks, so that a slow machine can't fail a test run. Run
// all of them, or one, with
//
//	go test -run=^$ -bench=. -benchtime=1x -timeout=20m ./capacity
package capacity
