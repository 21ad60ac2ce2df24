package registry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestPoolWithinRegions guards against an upstream outside the allowed regions, or of a zone
// without a region, in the pool of a restricted request, and against one that is missing from
// the pool of a request that is not restricted.
func TestPoolWithinRegions(t *testing.T) {
	known := new(registry.Registry)
	known.Replace(time.Now(), 1, []registry.Upstream{
		{ID: "i-1", Service: "pool", Zone: "east-1", Software: "v1"},
		{ID: "i-2", Service: "pool", Zone: "east-2", Software: "v2"},
		{ID: "i-3", Service: "pool", Zone: "west-1", Software: "v1"},
		{ID: "i-4", Service: "pool", Zone: "moon-1", Software: "v1"},
	})
	digest := known.Digest()
	known.SetRegions(map[ident.Zone]ident.Region{"east-1": "east", "east-2": "east", "west-1": "west", "north-1": "north", "odd": ""})
	tests := []struct {
		name    string
		allowed []ident.Region
		want    []ident.UpstreamID
	}{
		{"no list", nil, []ident.UpstreamID{"i-1", "i-2", "i-3", "i-4"}},
		{"one region", []ident.Region{"east"}, []ident.UpstreamID{"i-1", "i-2"}},
		{"two regions", []ident.Region{"west", "east", "west"}, []ident.UpstreamID{"i-1", "i-2", "i-3"}},
		{"a region without upstreams", []ident.Region{"north", "west"}, []ident.UpstreamID{"i-3"}},
		{"unknown region", []ident.Region{"south"}, nil},
		{"empty name", []ident.Region{""}, nil},
		{"empty list", []ident.Region{}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 2 {
				var got []ident.UpstreamID
				if pool := known.Pool("pool").Within(test.allowed); pool != nil {
					for _, upstream := range pool.Upstreams {
						got = append(got, upstream.ID)
					}
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("got upstreams %v, want %v", got, test.want)
				}
			}
		})
	}
	pool := known.Pool("pool")
	if pool.Within([]ident.Region{"east", "north"}) != pool.Within([]ident.Region{"south", "east"}) {
		t.Error("got two pools of the same upstreams, want one")
	}
	if got := known.VersionPool("pool", "v2").Within([]ident.Region{"west"}); got != nil {
		t.Errorf("got %v of a version in no allowed region, want none", got.Upstreams)
	}
	if known.Pool("other").Within([]ident.Region{"east"}) != nil || known.Digest() != digest {
		t.Error("got a pool of an unknown service, or another digest, want neither")
	}
	known.SetRegions(map[ident.Zone]ident.Region{"moon-1": "east"})
	if got := known.Pool("pool").Within([]ident.Region{"east"}); got == nil || len(got.Upstreams) != 1 || got.Upstreams[0].ID != "i-4" {
		t.Errorf("got %+v after the regions of zones changed, want i-4 alone", got)
	}
}

// TestWithheldWithinRegions guards against a restricted pool whose withheld upstreams, which
// count in the load bound, are those of the regions that an earlier request was allowed.
func TestWithheldWithinRegions(t *testing.T) {
	tests := []struct {
		name           string
		allowed        []ident.Region
		usable         int
		withheld       []ident.UpstreamID
		samePoolAsEast bool
	}{
		{"only the region that is not evacuated", []ident.Region{"east"}, 1, nil, true},
		{"an unknown region beside", []ident.Region{"south", "east"}, 1, nil, true},
		{"the evacuated region beside", []ident.Region{"east", "west"}, 1, []ident.UpstreamID{"i-2"}, false},
		{"all regions", []ident.Region{"north", "west", "east"}, 1, []ident.UpstreamID{"i-2", "i-3"}, false},
		{"evacuated regions alone", []ident.Region{"west", "north"}, 0, nil, false},
	}
	for first := range tests {
		known := new(registry.Registry)
		known.SetRegions(map[ident.Zone]ident.Region{"east-1": "east", "west-1": "west", "north-1": "north"})
		known.SetEvacuated([]ident.Zone{"west-1", "north-1"})
		known.Replace(time.Now(), 1, []registry.Upstream{
			{ID: "i-1", Service: "pool", Zone: "east-1"}, {ID: "i-2", Service: "pool", Zone: "west-1"}, {ID: "i-3", Service: "pool", Zone: "north-1"},
		})
		pool := known.Pool("pool")
		pool.Within(tests[first].allowed)
		for _, test := range tests {
			t.Run(tests[first].name+" first, then "+test.name, func(t *testing.T) {
				got := pool.Within(test.allowed)
				if test.usable == 0 {
					if got != nil {
						t.Errorf("got upstreams %v, want no pool", got.Upstreams)
					}
					return
				}
				var withheld []ident.UpstreamID
				for _, upstream := range got.Withheld {
					withheld = append(withheld, upstream.ID)
				}
				slices.Sort(withheld)
				if len(got.Upstreams) != test.usable || !slices.Equal(withheld, test.withheld) {
					t.Errorf("got %d upstreams and %v withheld, want %d and %v", len(got.Upstreams), withheld, test.usable, test.withheld)
				}
				if (got == pool.Within([]ident.Region{"east"})) != test.samePoolAsEast {
					t.Errorf("got the pool of east alone %t, want %t", !test.samePoolAsEast, test.samePoolAsEast)
				}
			})
		}
	}
}
