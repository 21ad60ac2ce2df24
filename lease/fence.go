package lease

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Fence admits or rejects orders by their fencing number, so that the engine
// that receives them need not check it. The zero value knows no number and
// admits nothing. A Fence is not safe for concurrent use.
type Fence struct {
	known   bool
	highest ident.FencingNumber
}

// Observe records the fencing number that was read from the lease's row. A
// number lower than the highest one seen has no effect.
func (fence *Fence) Observe(number ident.FencingNumber) {
	fence.known = true
	fence.highest = max(fence.highest, number)
}

// Known reports whether Observe was called.
func (fence *Fence) Known() bool { return fence.known }

// Admit returns OK for an order that may be carried out, StaleFence if its
// number is lower than the highest one seen, or FenceUnknown before the first
// call of Observe. An admitted number counts as seen.
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
