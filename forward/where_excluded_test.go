package forward_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// TestWhereShowsWhyAnUpstreamIsExcluded guards against an upstream that gets no request without
// a reason that an operator can see, or with another one than is true, and against a choice
// that contradicts it.
func TestWhereShowsWhyAnUpstreamIsExcluded(t *testing.T) {
	const first ident.UpstreamID = "i-0"
	tests := []struct {
		name string
		// exclude has the first of the upstreams excluded.
		exclude   func(t *testing.T, router *router, upstream registry.Upstream)
		tried     []ident.UpstreamID
		outOfPool bool
		want      []string
	}{
		{"nothing", func(*testing.T, *router, registry.Upstream) {}, nil, false, nil},
		{"evacuated zone", func(_ *testing.T, router *router, _ registry.Upstream) {
			router.setZones("a", "b", "b", "b", "b")
			router.handler.Registry.SetEvacuated([]ident.Zone{"a"})
		}, nil, true, []string{"evacuated zone"}},
		{"region", func(_ *testing.T, router *router, _ registry.Upstream) {
			router.setZones("a", "b", "b", "b", "b")
			router.handler.Registry.SetRegions(map[ident.Zone]ident.Region{"a": "east", "b": "west"})
			config := testConfig()
			config.Version++
			config.Workspaces[0].AllowedRegions = []ident.Region{"west"}
			router.handler.Routes.Adopt(routing.New(config))
		}, nil, true, []string{"region not allowed"}},
		{"draining", func(_ *testing.T, router *router, upstream registry.Upstream) {
			upstream.Leaving, upstream.Version = true, 2
			router.handler.Registry.Apply(time.Now(), []registry.Change{{Upstream: upstream}})
		}, nil, true, []string{"draining"}},
		{"cold", func(_ *testing.T, router *router, upstream registry.Upstream) {
			router.handler.Quota = coldTracker(time.Minute)
			router.handler.Quota.MarkCold(time.Now(), []registry.Upstream{upstream})
			exhaust(router.handler.Quota, upstream)
		}, nil, false, []string{"cold"}},
		{"at its limit", func(_ *testing.T, router *router, upstream registry.Upstream) {
			router.handler.Quota = new(quota.Tracker)
			perSecond := 0.01
			router.handler.Quota.Observe(time.Now(), upstream.ID, upstream.Incarnation, &perSecond, time.Now())
			exhaust(router.handler.Quota, upstream)
		}, nil, false, []string{"at its limit"}},
		{"resting", func(_ *testing.T, router *router, upstream registry.Upstream) {
			router.handler.Quota = new(quota.Tracker)
			router.handler.Quota.Rest(time.Now(), upstream.ID, upstream.Incarnation, time.Minute)
		}, nil, false, []string{"resting"}},
		{"health", func(t *testing.T, router *router, upstream registry.Upstream) {
			for range 20 {
				if router.handler.Health.Add(time.Now(), "pool", upstream.ID, health.Unreachable) {
					return
				}
			}
			t.Fatal("got no ejection, want one")
		}, nil, false, []string{"ejected"}},
		{"tried", func(*testing.T, *router, registry.Upstream) {}, []ident.UpstreamID{first}, false, []string{"tried"}},
		{"tried, in an evacuated zone outside the regions", func(_ *testing.T, router *router, _ registry.Upstream) {
			router.setZones("a", "b", "b", "b", "b")
			router.handler.Registry.SetEvacuated([]ident.Zone{"a"})
			router.handler.Registry.SetRegions(map[ident.Zone]ident.Region{"a": "east", "b": "west"})
			config := testConfig()
			config.Version++
			config.Workspaces[0].AllowedRegions = []ident.Region{"west"}
			router.handler.Routes.Adopt(routing.New(config))
		}, []ident.UpstreamID{first}, true, []string{"evacuated zone", "region not allowed"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var upstreams []*fakeUpstream
			for range 5 {
				upstreams = append(upstreams, startUpstream(t, echo))
			}
			router := startRouter(t, upstreams...)
			test.exclude(t, router, router.handler.Registry.Upstreams()[0])
			got := router.placement("/once/x", test.tried)
			list, other := got.Candidates, got.OutOfPool
			if test.outOfPool {
				list, other = other, list
			}
			index := slices.IndexFunc(list, func(candidate forward.PlacementCandidate) bool { return candidate.Upstream == first })
			if index < 0 || len(list)+len(other) != len(upstreams) {
				t.Fatalf("got candidates %+v and %+v out of the pool, want all upstreams, and %s out of the pool: %t", got.Candidates, got.OutOfPool, first, test.outOfPool)
			}
			if excluded := list[index].Excluded; !slices.Equal(excluded, test.want) {
				t.Errorf("got %s excluded for %q, want %q", first, excluded, test.want)
			}
			for _, candidate := range slices.Concat(list, other) {
				if candidate.Upstream != first && len(candidate.Excluded) > 0 {
					t.Errorf("got %s excluded for %q, want it usable", candidate.Upstream, candidate.Excluded)
				}
			}
			if len(test.want) > 0 && (got.Code != "OK" || got.Upstream == first) {
				t.Errorf("got code %s and upstream %s, want another one than %s", got.Code, got.Upstream, first)
			}
		})
	}
}

// exhaust takes all requests that a limit leaves this router now.
func exhaust(tracker *quota.Tracker, upstream registry.Upstream) {
	for tracker.Take(time.Now(), upstream) {
		continue
	}
}

// placement returns where the router would send a request for path that was offered to the
// tried upstreams before.
func (router *router) placement(path string, tried []ident.UpstreamID) forward.Placement {
	request := httptest.NewRequest(http.MethodPost, path, nil)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Token key-1")
	return router.handler.Where(request, tried)
}

// TestWhereOfARequestThatRunsAlone guards against a request with strikes that is shown where
// others would go, and against upstreams that it may not use without the reason.
func TestWhereOfARequestThatRunsAlone(t *testing.T) {
	var upstreams []*fakeUpstream
	for range 5 {
		upstreams = append(upstreams, startUpstream(t, crashOn("")))
	}
	router := startRouter(t, upstreams...)
	for n := range 2 {
		time.Sleep(300 * time.Millisecond)
		router.send(t, fmt.Sprint("crash-", n), "POST", "/once/x", "").check(t, 502, "")
	}
	got := router.placement("/once/x", nil)
	if got.Code != "OK" || got.Reason != "designated" {
		t.Errorf("got code %s and reason %q, want OK and designated", got.Code, got.Reason)
	}
	crashed := 0
	for i, candidate := range got.Candidates {
		away := len(upstreams[i].requestsSoFar()) > 0
		if away {
			crashed++
		}
		if shown := slices.Contains(candidate.Excluded, "strikes: its connections broke recently"); shown != away || away && candidate.Upstream == got.Upstream {
			t.Errorf("got %s excluded for %q and %s chosen, want it excluded for strikes: %t", candidate.Upstream, candidate.Excluded, got.Upstream, away)
		}
	}
	if crashed == 0 {
		t.Error("got no upstream that crashed, want some")
	}
	if other := router.placement("/again/x", nil); other.Reason == "designated" {
		t.Errorf("got reason %q for another request, want a free choice", other.Reason)
	}
}
