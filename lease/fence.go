package lease

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Fence admits orders by their fencing number, whether or not the engine that
// they are for checks it. The zero value knows no number and admits nothing.
// It is not safe for concurrent use.
type Fence struct {
	known   bool
	highest ident.FencingNumber
}

// Observe takes in the number that the lease's row has now.
func (fence *Fence) Observe(number ident.FencingNumber) {
	fence.known = true
	fence.highest = max(fence.highest, number)
}

// Known reports whether the current number was learnt since the start.
func (fence *Fence) Known() bool { return fence.known }

// Admit decides on an order: OK, StaleFence for a number below one that was
// seen, or FenceUnknown before the current number was learnt.
func (fence *Fence) Admit(number ident.FencingNumber) result.Code {
	switch {
	case !fence.known:
		return result.FenceUnknown
	case number < fence.highest:
		return result.StaleFence
	}
	fence.highest = number
	return result.OK
}
