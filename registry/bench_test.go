package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// BenchmarkApply applies a change of one of the upstreams of a service.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{18, 53, 2300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var reg registry.Registry
			var listed []registry.Upstream
			for n := range count {
				one := upstream(ident.UpstreamID(fmt.Sprint("i-", n)))
				one.Software = ident.SoftwareVersion(fmt.Sprint("v", n%2))
				listed = append(listed, one)
			}
			reg.Replace(timeAt(0), 1, listed)
			changed := listed[0]
			for n := 0; b.Loop(); n++ {
				changed.Leaving = n%2 == 0
				changed.Version = ident.Revision(n + 2)
				reg.Apply(timeAt(time.Second), []registry.Change{{Upstream: changed}})
			}
		})
	}
}
