package registry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestStartIsReportedBeforeTheUpstreamIsUsed guards against requests to an upstream that has
// just started before it is known to be cold, and against upstreams that are treated as
// started because this router has.
func TestStartIsReportedBeforeTheUpstreamIsUsed(t *testing.T) {
	var reg registry.Registry
	var started []ident.UpstreamID
	reg.OnStart = func(_ time.Time, upstream registry.Upstream) {
		started = append(started, upstream.ID)
		if slices.Contains(members(&reg), upstream.ID) {
			present, _ := reg.Upstream(upstream.ID)
			if present.Incarnation == upstream.Incarnation {
				t.Errorf("got %s in the pool before it is reported", upstream.ID)
			}
		}
	}
	row := func(id ident.UpstreamID, incarnation registry.Incarnation, version ident.Revision) registry.Upstream {
		listed := upstream(id)
		listed.Incarnation, listed.Version = incarnation, version
		return listed
	}
	steps := []struct {
		name   string
		change registry.Change
		want   bool
	}{
		{"heartbeat", registry.Change{Upstream: row("a", 1, 2)}, false},
		{"another incarnation", registry.Change{Upstream: row("a", 2, 3)}, true},
		{"an older row", registry.Change{Upstream: row("a", 1, 1)}, false},
		{"a first row", registry.Change{Upstream: row("c", 1, 4)}, true},
		{"removed", registry.Change{Upstream: row("b", 1, 5), Gone: true}, false},
		{"back", registry.Change{Upstream: row("b", 1, 6)}, true},
	}
	reg.Replace(timeAt(0), 1, []registry.Upstream{row("a", 1, 1), row("b", 1, 1)})
	if len(started) != 0 {
		t.Errorf("got %v started in the first list, want none", started)
	}
	for _, step := range steps {
		started = nil
		reg.Apply(timeAt(time.Second), []registry.Change{step.change})
		if got := len(started) == 1; got != step.want {
			t.Errorf("%s: got %v started, want one: %t", step.name, started, step.want)
		}
	}
}
