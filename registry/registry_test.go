package registry_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id ident.UpstreamID) registry.Upstream {
	return registry.Upstream{ID: id, Service: "pool", Address: "10.0.0.1:80"}
}

func at(after time.Duration) time.Time { return start.Add(after) }

// members returns the IDs of the pool, or nil without one.
func members(registry *registry.Registry) []ident.UpstreamID {
	pool := registry.Pool("pool")
	if pool == nil {
		return nil
	}
	var ids []ident.UpstreamID
	for _, upstream := range pool.Upstreams {
		ids = append(ids, upstream.ID)
	}
	return ids
}

func TestLeavingUpstreamIsInNoPool(t *testing.T) {
	var listed registry.Registry
	listed.Replace(at(0), 1, []registry.Upstream{upstream("a"), upstream("b")})
	leaving := upstream("a")
	leaving.Leaving = true
	listed.Apply(at(time.Second), []registry.Change{{Upstream: leaving}})
	if got := members(&listed); len(got) != 1 || got[0] != "b" {
		t.Errorf("got pool %v, want only b", got)
	}
	if _, found := listed.Upstream("a"); !found {
		t.Error("got no entry of the leaving upstream, want one")
	}
	listed.Apply(at(2*time.Second), []registry.Change{{Upstream: upstream("b"), Gone: true}})
	if got := members(&listed); len(got) != 0 {
		t.Errorf("got pool %v, want none", got)
	}
}

// TestMissingRows has a row go around an outage of the store, which a router
// sees from second 10 to second 16.
func TestMissingRows(t *testing.T) {
	const begin, end = 10 * time.Second, 16 * time.Second
	tests := []struct {
		name string
		// elsewhere is since when the store served another router, and told
		// whether that router was heard at all.
		elsewhere time.Duration
		told      bool
		removed   time.Duration
		wantAt    time.Duration
		want      bool
	}{
		{"lapsed in an outage", 0, false, end, end + 2*time.Second, true},
		{"still missing after it", 0, false, end, end + 3*time.Second, false},
		{"gone long after it", 0, false, end + 2*time.Second, end + 2*time.Second, false},
		{"gone while this router alone was cut off", 0, true, end, end + 100*time.Millisecond, false},
		{"gone just after this router was cut off", 0, true, end + 500*time.Millisecond, end + 600*time.Millisecond, false},
		{"lapsed in an outage that others saw too", end - 100*time.Millisecond, true, end, end + 2*time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var listed registry.Registry
			listed.Replace(at(0), 1, []registry.Upstream{upstream("a"), upstream("b")})
			listed.SetStoreDown(at(begin), true)
			listed.SetStoreDown(at(end), false)
			if test.told {
				listed.ObservePeerStore(at(end), at(test.elsewhere))
			}
			listed.Apply(at(test.removed), []registry.Change{{Upstream: upstream("a"), Gone: true}})
			listed.Expire(at(test.wantAt))
			if got := len(members(&listed)) == 2; got != test.want {
				t.Errorf("got a in the pool: %v, want %v", got, test.want)
			}
		})
	}
}

func TestRowThatComesBackStays(t *testing.T) {
	var listed registry.Registry
	listed.Replace(at(0), 1, []registry.Upstream{upstream("a")})
	listed.SetStoreDown(at(time.Second), true)
	listed.SetStoreDown(at(5*time.Second), false)
	listed.Replace(at(5*time.Second), 1, nil)
	listed.Apply(at(6*time.Second), []registry.Change{{Upstream: upstream("a")}})
	if got := listed.Expire(at(20 * time.Second)); len(got) != 0 {
		t.Errorf("got %v given up, want none", got)
	}
	if got := members(&listed); len(got) != 1 {
		t.Errorf("got pool %v, want a", got)
	}
}
