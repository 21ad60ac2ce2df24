package admission_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/admission"
)

func TestPartnersCoverPool(t *testing.T) {
	for _, test := range []struct{ size, rounds int }{
		{1, 1}, {2, 1}, {3, 1}, {12, 1}, {17, 1}, {18, 2}, {70, 5}, {210, 14},
	} {
		for self := range test.size {
			sampled := map[int]bool{self: true}
			for round := range uint64(test.rounds) {
				for other := range test.size {
					for _, partner := range admission.Partners(test.size, other, round) {
						if other == self {
							sampled[partner] = true
						}
						if partner == self {
							sampled[other] = true
						}
						if partner == other {
							t.Fatalf("upstream %d of %d: got itself as a partner in round %d", other, test.size, round)
						}
					}
				}
			}
			if got, want := len(sampled), test.size; got != want {
				t.Fatalf("upstream %d: got samples of %d upstreams in %d rounds, want %d", self, got, test.rounds, want)
			}
		}
	}
}
