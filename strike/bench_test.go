package strike_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/strike"
)

// BenchmarkSoundRequest asks whether a sound request may run and records its
// success, while many other requests have strikes.
func BenchmarkSoundRequest(b *testing.B) {
	for name, struck := range map[string]int{"none": 0, "1000": 1000} {
		b.Run(name, func(b *testing.B) {
			var guard strike.Guard
			for n := range struck {
				run := crashOf(1)
				run.Fingerprint = ident.Fingerprint(n + 1)
				guard.Broken(start, requestOf(run), run)
			}
			now := time.Now()
			sound := ident.Fingerprint(1 << 40)
			for name, parts := range map[string][]ident.Fingerprint{"plain": nil, "3 parts": {sound + 1, sound + 2, sound + 3}} {
				b.Run(name, func(b *testing.B) {
					request := strike.Request{Fingerprint: sound, Parts: parts}
					b.ReportAllocs()
					for b.Loop() {
						if guard.Any() && guard.Standing(now, request).Allowance != strike.Free {
							b.Fatal("got a sound request that is not free")
						}
						guard.Succeeded(now, request, "e1", 1)
					}
				})
			}
		})
	}
}
