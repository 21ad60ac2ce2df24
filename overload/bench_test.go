package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
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

// BenchmarkArrived measures what a request costs that needs no decision.
func BenchmarkArrived(b *testing.B) {
	controller, n := new(overload.Controller), 0
	for b.Loop() {
		n++
		controller.Arrived(start.Add(time.Duration(n)*time.Millisecond), enginesKey, overload.Arrival{Workspace: workspaces[n%len(workspaces)]})
	}
}

var workspaces = []ident.WorkspaceID{"a", "b", "c", "d", "e"}
