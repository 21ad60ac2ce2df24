// Package lease holds the state machine of a lease in the platform's table and
// the fence that guards what its holder may order.
//
// It promises that, while the clocks of two daemons run at the same rate, no
// two of them hold a lease at one time; that each tenure has a higher fencing
// number than all before; and that a Fence admits no order of an earlier tenure
// than one it has seen, and none at all before it knows the current number.
// Clocks need not show the same time: a daemon that wants the lease waits for
// the lease's lifetime on its own clock after it first saw the row's revision.
package lease
