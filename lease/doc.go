// Package lease implements the state machine that acquires and renews a lease
// stored in the platform's table, and the fence that rejects orders of former
// lease holders.
//
// While the clocks of two daemons run at the same rate, at most one of them
// holds a lease at any time. Each term has a higher fencing number than all
// earlier ones. A Fence admits no order of a term earlier than one it has
// seen, and no order at all before it knows the current number. Clocks need not
// show the same time: a daemon that wants the lease waits for the lifetime in
// the row, on its own clock, from when it first saw the row's revision. All that
// holds also if the store is restored from an older copy: a daemon that sees a new era
// waits for a whole lifetime before it acquires the lease, a holder writes its record
// again, and fencing numbers are then above all revisions of the row.
package lease
