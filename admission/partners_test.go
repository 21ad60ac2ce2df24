package admission_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/admission"
)

func TestPartnersCoverThePool(t *testing.T) {
	for _, test := range []struct{ size, rounds int }{
		{1, 1}, {2, 1}, {3, 1}, {12, 1}, {17, 1}, {18, 2}, {70, 5}, {210, 14},
	} {
		for self := range test.size {
			heard := map[int]bool{self: true}
			for round := range uint64(test.rounds) {
				for other := range test.size {
					for _, partner := range admission.Partners(test.size, other, round) {
						if other == self {
							heard[partner] = true
						}
						if partner == self {
							heard[other] = true
						}
						if partner == other {
							t.Fatalf("got %d as its own partner in a pool of %d", other, test.size)
						}
					}
				}
			}
			if got, want := len(heard), test.size; got != want {
				t.Fatalf("got %d of %d heard of in %d rounds, want all", got, want, test.rounds)
			}
		}
	}
}
