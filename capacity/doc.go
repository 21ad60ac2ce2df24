// Package capacity measures what the daemons spend, as benchmarks over loopback
// with the stand-ins: time added to an answer, processor time and allocations
// for each request and token, memory for each open stream and known VM, and
// control bytes. docs/CAPACITY.md works the figures out to the full size.
//
// It promises fixed seeds, at least three sizes for each slope, and that
// nothing here fails because a machine is slow: it has no tests, only
// benchmarks. Run all of them, or one, with
//
//	go test -run=^$ -bench=. -benchtime=1x -timeout=20m ./capacity
package capacity
