package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// versioned returns an upstream whose row has a version of an era.
func versioned(id ident.UpstreamID, era ident.Era, version ident.Revision) registry.Upstream {
	listed := upstream(id)
	listed.Incarnation = 5
	listed.Version = era.Revision(version)
	return listed
}

// TestOlderCopyOfTheStore has the store restored from a copy that was made before
// upstream b began to leave, c was removed and d started. Upstream a is in all copies.
func TestOlderCopyOfTheStore(t *testing.T) {
	leaving := versioned("b", 0, 60)
	leaving.Leaving = true
	writtenAgain := versioned("c", 1, 30)
	tests := []struct {
		name string
		// later are the changes that follow the read of the copy.
		later     []registry.Change
		checkedAt time.Duration
		want      []ident.UpstreamID
	}{
		{"at once", nil, 100 * time.Millisecond, []ident.UpstreamID{"a", "d"}},
		{"new upstream does not write its row again", nil, 3 * time.Second, []ident.UpstreamID{"a"}},
		{"new upstream writes its row again", []registry.Change{{Upstream: versioned("d", 1, 30)}}, 3 * time.Second, []ident.UpstreamID{"a", "d"}},
		{"removed upstream writes its row again", []registry.Change{{Upstream: writtenAgain}}, 100 * time.Millisecond, []ident.UpstreamID{"a", "c", "d"}},
		{"late change of the earlier era", []registry.Change{{Upstream: versioned("a", 0, 99), Gone: true}}, 100 * time.Millisecond, []ident.UpstreamID{"a", "d"}},
		{"upstream leaves in the new era", []registry.Change{{Upstream: versioned("a", 1, 31), Gone: true}}, 6 * time.Second, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var reg registry.Registry
			reg.Replace(timeAt(0), 50, []registry.Upstream{versioned("a", 0, 50), versioned("b", 0, 50), versioned("c", 0, 50)})
			reg.Apply(timeAt(time.Second), []registry.Change{{Upstream: leaving}, {Upstream: versioned("c", 0, 61), Gone: true}, {Upstream: versioned("d", 0, 62)}})
			restored := timeAt(2 * time.Second)
			reg.ObservePeerStore(restored, timeAt(0))
			reg.Replace(restored, ident.Era(1).Revision(20), []registry.Upstream{versioned("a", 1, 18), versioned("b", 1, 19), versioned("c", 1, 20)})
			changedAt := restored.Add(50 * time.Millisecond)
			if test.checkedAt > 5*time.Second {
				changedAt = restored.Add(5 * time.Second)
			}
			reg.Apply(changedAt, test.later)
			reg.Expire(restored.Add(test.checkedAt))
			got := members(&reg)
			if len(got) != len(test.want) {
				t.Fatalf("got pool %v, want %v", got, test.want)
			}
			for i := range got {
				if got[i] != test.want[i] {
					t.Errorf("got pool %v, want %v", got, test.want)
				}
			}
		})
	}
}

// TestRowOfAnOlderCopyIsNoRenewal guards against a crash that is taken back because the
// row of the upstream, in an older copy of the store, looks as if it was written since.
func TestRowOfAnOlderCopyIsNoRenewal(t *testing.T) {
	var reg registry.Registry
	reg.Replace(timeAt(0), 50, []registry.Upstream{versioned("a", 0, 50)})
	reg.Replace(timeAt(10*time.Second), ident.Era(1).Revision(20), []registry.Upstream{versioned("a", 1, 18)})
	if got := reg.WroteAfter("a", 5); !got.IsZero() {
		t.Errorf("got a write after %v, want none known", got)
	}
	reg.Apply(timeAt(11*time.Second), []registry.Change{{Upstream: versioned("a", 1, 21)}})
	if got, want := reg.WroteAfter("a", 5), timeAt(10*time.Second); !got.Equal(want) {
		t.Errorf("got a write after %v, want %v", got, want)
	}
}
