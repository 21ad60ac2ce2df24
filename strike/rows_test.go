package strike_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/strike"
)

// TestReconcile guards against rows that stay as a call left them which the store performed behind
// later ones: that of a strike that no longer counts, and none for one that counts again.
func TestReconcile(t *testing.T) {
	var guard strike.Guard
	for n := range 2 {
		guard.Broken(crashOf(n).At, requestOf(crashOf(n)), crashOf(n))
	}
	now := crashOf(2).At
	counted, other := crashOf(0), crashOf(2)
	tests := []struct {
		name          string
		call          strike.Unsaved
		write, remove []strike.Strike
	}{
		{"nothing", strike.Unsaved{}, nil, nil},
		{"write of one that counts", strike.Unsaved{Write: []strike.Strike{counted}}, nil, nil},
		{"write of one that does not", strike.Unsaved{Write: []strike.Strike{other}}, nil, []strike.Strike{other}},
		{"removal of one that counts", strike.Unsaved{Remove: []strike.Strike{{Fingerprint: counted.Fingerprint, Upstream: counted.Upstream, Incarnation: counted.Incarnation}}}, []strike.Strike{counted}, nil},
		{"removal of one that does not", strike.Unsaved{Remove: []strike.Strike{other}}, nil, []strike.Strike{other}},
		{"several calls", strike.Unsaved{Write: []strike.Strike{counted, other, counted}, Remove: []strike.Strike{other, counted, counted}}, []strike.Strike{counted}, []strike.Strike{other}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := guard.Reconcile(now, test.call)
			check(t, "writes", got.Write, test.write)
			check(t, "removals", got.Remove, test.remove)
		})
	}
}

// check fails the test unless the rows of the strikes, and their times, are as wanted.
func check(t *testing.T, what string, got, want []strike.Strike) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %d %s, want %d", len(got), what, len(want))
	}
	for n := range got {
		if got[n].Fingerprint != want[n].Fingerprint || got[n].Upstream != want[n].Upstream || !got[n].At.Equal(want[n].At) || !got[n].SentAt.Equal(want[n].SentAt) {
			t.Errorf("got %+v as number %d of the %s, want %+v", got[n], n, what, want[n])
		}
	}
}
