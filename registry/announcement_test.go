package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestAnnouncedLeavingGoesBeforeTheRow has upstream a, of which incarnation 5 is listed,
// say that it leaves, and applies what rows and other routers say afterwards.
func TestAnnouncedLeavingGoesBeforeTheRow(t *testing.T) {
	row := func(incarnation registry.Incarnation, version ident.Revision, leaving bool) registry.Upstream {
		upstream := upstream("a")
		upstream.Incarnation, upstream.Version, upstream.Leaving = incarnation, version, leaving
		return upstream
	}
	said := func(incarnation registry.Incarnation) registry.Change {
		return registry.Change{Upstream: registry.Upstream{ID: "a", Incarnation: incarnation}, Announced: true}
	}
	tests := []struct {
		name  string
		later []registry.Change
		want  bool
	}{
		{"nothing else", nil, false},
		{"later row that says ready", []registry.Change{{Upstream: row(5, 9, false)}}, false},
		{"row of the same version from another router", []registry.Change{{Upstream: row(5, 1, false)}}, false},
		{"removed and written again", []registry.Change{{Upstream: row(5, 9, false), Gone: true}, {Upstream: row(5, 10, false)}}, false},
		{"new incarnation", []registry.Change{{Upstream: row(6, 9, false)}}, true},
		{"new incarnation that has said so to another router", []registry.Change{said(6), {Upstream: row(6, 9, false)}}, false},
		{"new incarnation, after the clock of its VM was set back, that says so too", []registry.Change{{Upstream: row(4, 9, false)}, said(4), {Upstream: row(4, 10, false)}}, false},
		{"late word of an earlier incarnation", []registry.Change{{Upstream: row(6, 9, false)}, said(5)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var reg registry.Registry
			reg.Replace(timeAt(0), 1, []registry.Upstream{row(5, 1, false)})
			change, changed := reg.Announce(timeAt(time.Second), "a", 5)
			if !changed || !change.Announced || !change.Upstream.Leaving || change.Upstream.Service != "pool" {
				t.Errorf("got change %+v, %t, want that of the listed upstream", change, changed)
			}
			if _, again := reg.Announce(timeAt(time.Second), "a", 5); again {
				t.Error("got a second change for the same word, want none")
			}
			for _, later := range test.later {
				reg.Apply(timeAt(2*time.Second), []registry.Change{later})
			}
			if got := len(members(&reg)) > 0; got != test.want {
				t.Errorf("got a in the pool: %t, want %t", got, test.want)
			}
		})
	}
}
