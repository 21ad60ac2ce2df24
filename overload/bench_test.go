package overload_test

import (
	"fmt"
	"testing"

	"github.com/hickoryhead/hickoryhead/overload"
)

// BenchmarkDecide measures a decision in a shortage, and one while there is room.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []int{18, 53, 2300} {
		for name, used := range map[string]int{"short": 50, "ample": 20} {
			b.Run(fmt.Sprint(size, "/", name), func(b *testing.B) {
				requests := make([]int, size)
				for i := range requests {
					requests[i] = used + i%8
				}
				pool, controller := enginesWith(103, requests...), new(overload.Controller)
				for b.Loop() {
					controller.Decide(start, pool, small(1))
				}
			})
		}
	}
}
