package routing_test

import (
	"slices"
	"testing"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
)

func TestRoute(t *testing.T) {
	table := routing.New(routing.Config{Routes: []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	tests := []struct {
		host, path string
		want       ident.RouteName
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"a.example", "/x%2Fy/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	}
	for _, test := range tests {
		got := ident.RouteName("")
		if route := table.Route(test.host, test.path); route != nil {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("got route %q for %s%s, want %q", got, test.host, test.path, test.want)
		}
	}
}

func TestServiceByWeight(t *testing.T) {
	route := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[ident.ServiceName]int)
	for hash := range uint64(1000) {
		counts[route.Service(hash)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("got %v, want 900 for a, 100 for b and none for c", counts)
	}
	unweighted := routing.Route{Shares: []routing.Share{{Service: "a"}}}
	if got := unweighted.Service(7); got != "a" {
		t.Errorf("got service %q for a route without weights, want a", got)
	}
	if got := new(routing.Route).Service(7); got != "" {
		t.Errorf("got service %q for a route without services, want none", got)
	}
}

func TestCurrentTableRejectsOlderVersions(t *testing.T) {
	var current routing.CurrentTable
	steps := []struct {
		version routing.Version
		adopted bool
		want    routing.Version
	}{{5, true, 5}, {4, false, 5}, {5, false, 5}, {9, true, 9}}
	for _, step := range steps {
		adopted := current.Adopt(routing.New(routing.Config{Version: step.version}))
		if got := current.Table().Version; adopted != step.adopted || got != step.want {
			t.Errorf("got adopted %v and version %d after version %d, want %v and %d", adopted, got, step.version, step.adopted, step.want)
		}
	}
}

func TestWorkspace(t *testing.T) {
	table := routing.New(routing.Config{Workspaces: []routing.Workspace{{ID: "w", Keys: []string{"k1", "k2"}}}})
	if got := table.Workspace("k2"); got == nil || got.ID != "w" {
		t.Errorf("got %v for k2, want w", got)
	}
	if got := table.Workspace(""); got != nil {
		t.Errorf("got %v without a key, want none", got)
	}
	if !table.NeedsKeys() || routing.New(routing.Config{}).NeedsKeys() {
		t.Error("got NeedsKeys true without workspaces or false with one, want the opposite")
	}
}

// TestRegionsOfRouteAndWorkspace guards against a list that is passed over because there is
// another one, and against a missing list that is taken for an empty one.
func TestRegionsOfRouteAndWorkspace(t *testing.T) {
	east, both, none := []ident.Region{"east"}, []ident.Region{"east", "west"}, []ident.Region{}
	tests := []struct {
		name             string
		route, workspace []ident.Region
		want             []ident.Region
	}{
		{"no list", nil, nil, nil},
		{"route alone", both, nil, both},
		{"workspace alone", nil, east, east},
		{"both", both, east, east},
		{"nothing in common", []ident.Region{"west"}, east, none},
		{"empty list of the workspace", both, none, none},
		{"empty list of the route", none, nil, none},
	}
	for _, test := range tests {
		route, workspace := &routing.Route{AllowedRegions: test.route}, &routing.Workspace{AllowedRegions: test.workspace}
		if got := route.Regions(workspace); !slices.Equal(got, test.want) || (got == nil) != (test.want == nil) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if got := route.Regions(nil); !slices.Equal(got, test.route) {
			t.Errorf("%s: got %v without a workspace, want %v", test.name, got, test.route)
		}
	}
}
