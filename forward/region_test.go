package forward_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/split"
)

// startRegional starts a router before upstreams in the zones east-1, west-1 and moon-1, of
// which the last has no region, with allowed regions on its routes and its workspace.
func startRegional(t *testing.T, route, workspace []ident.Region, upstreams ...*fakeUpstream) *router {
	t.Helper()
	router := startUnconfiguredRouter(t, upstreams...)
	router.setZones([]ident.Zone{"east-1", "west-1", "moon-1"}[:len(upstreams)]...)
	router.handler.Registry.SetRegions(map[ident.Zone]ident.Region{"east-1": "east", "west-1": "west"})
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].AllowedRegions = route
	}
	config.Workspaces[0].AllowedRegions = workspace
	router.handler.Routes.Adopt(routing.New(config))
	return router
}

// TestRequestStaysInAllowedRegions guards against a request that reaches an upstream outside
// the regions that its route and its workspace allow, and against one that waits where there
// is none inside.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	east, west, both := []ident.Region{"east"}, []ident.Region{"west"}, []ident.Region{"east", "west"}
	tests := []struct {
		name             string
		route, workspace []ident.Region
		// want has the upstreams that may get requests.
		want [3]bool
	}{
		{"no list", nil, nil, [3]bool{true, true, true}},
		{"route", east, nil, [3]bool{true, false, false}},
		{"workspace", nil, west, [3]bool{false, true, false}},
		{"workspace, two regions", nil, both, [3]bool{true, true, false}},
		{"both lists", both, west, [3]bool{false, true, false}},
		{"nothing in common", east, west, [3]bool{}},
		{"a region without upstreams", []ident.Region{"north"}, nil, [3]bool{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var counts [3]atomic.Int64
			router := startRegional(t, test.route, test.workspace, startCounting(t, &counts[0]), startCounting(t, &counts[1]), startCounting(t, &counts[2]))
			began := time.Now()
			for n := range 30 {
				got := router.send(t, fmt.Sprint("a", n), "POST", "/once/x", "", "Hickoryhead-Prompt-Prefix", fmt.Sprintf("%d:80,%d:20", n%5, n))
				if test.want != [3]bool{} {
					got.check(t, 200, "")
					continue
				}
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != 503 || !strings.HasPrefix(got.body, "HH2020 ") || err != nil || retryAfter <= 0 {
					t.Errorf("got %d %q with Retry-After %q, want 503 HH2020 with a time", got.status, got.body, got.header.Get("Retry-After"))
				}
			}
			if took := time.Since(began); test.want == [3]bool{} && took > 2*time.Second {
				t.Errorf("got 30 refusals in %v, want each at once", took)
			}
			for i := range counts {
				if got := counts[i].Load(); got > 0 != test.want[i] {
					t.Errorf("got %d requests at upstream %d, want some: %v", got, i, test.want[i])
				}
			}
		})
	}
}

// TestRetriesAndSourcesStayInAllowedRegions guards against a second attempt outside the
// allowed regions, and against an upstream inside that fetches a prompt from one outside.
func TestRetriesAndSourcesStayInAllowedRegions(t *testing.T) {
	var outside atomic.Int64
	fail := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Length: 4\r\n\r\nfail", request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	}
	inside := startUpstream(t, fail)
	router := startRegional(t, []ident.Region{"east"}, nil, inside, startCounting(t, &outside))
	for n := range 10 {
		router.send(t, fmt.Sprint("a", n), "GET", "/again/x", "").check(t, 500, "fail")
	}
	if got := outside.Load(); got != 0 {
		t.Errorf("got %d second attempts outside the allowed regions, want none", got)
	}
	router.handler.CacheIndex.RecordLocal(time.Now(), balance.CacheUpdate{Key: "5c", Upstream: "i-1"})
	router.send(t, "b1", "POST", "/stream/x", "", "Hickoryhead-Prompt-Prefix", "5c:80,91:20")
	requests := inside.requestsSoFar()
	for name, values := range requests[len(requests)-1].header {
		if slices.Contains(values, router.handler.Registry.Upstreams()[1].Address) {
			t.Errorf("got header %s with the address of an upstream outside the allowed regions, want the prompt fetched from none", name)
		}
	}
}

// TestRegionsAndEvacuationsTogether guards against a refusal that names the wrong reason.
func TestRegionsAndEvacuationsTogether(t *testing.T) {
	var counts [3]atomic.Int64
	router := startRegional(t, []ident.Region{"east"}, nil, startCounting(t, &counts[0]), startCounting(t, &counts[1]), startCounting(t, &counts[2]))
	for _, test := range []struct {
		evacuated []ident.Zone
		code      string
	}{
		{[]ident.Zone{"east-1"}, "HH2019 "},
		{[]ident.Zone{"east-1", "west-1", "moon-1"}, "HH2019 "},
		{[]ident.Zone{"west-1"}, ""},
	} {
		router.handler.Registry.SetEvacuated(test.evacuated)
		got := router.send(t, "a1", "GET", "/again/x", "")
		if !strings.HasPrefix(got.body, test.code) || (got.status == 200) != (test.code == "") {
			t.Errorf("got %d %q with %v evacuated, want %q", got.status, got.body, test.evacuated, test.code)
		}
	}
	router.handler.Registry.SetRegions(map[ident.Zone]ident.Region{"west-1": "west"})
	if got := router.send(t, "a2", "GET", "/again/x", ""); !strings.HasPrefix(got.body, "HH2020 ") {
		t.Errorf("got %d %q with only another region and that evacuated, want HH2020", got.status, got.body)
	}
	if counts[1].Load()+counts[2].Load() > 0 {
		t.Error("got requests outside the allowed region, want none")
	}
}

// TestStreamOfAVersionInAnotherRegion guards against a stream that is refused since its cell
// belongs to a version without upstreams in the allowed regions, and against a take-up of it
// that goes by that cell and continues at the other version.
func TestStreamOfAVersionInAnotherRegion(t *testing.T) {
	upstreams := []*fakeUpstream{startUpstream(t, wholeStream), startUpstream(t, wholeStream)}
	router := startRegional(t, nil, []ident.Region{"east"}, upstreams...)
	router.setSoftware("v1", "v2")
	router.useSplit("v2", time.Minute)
	var replicated []bool
	router.handler.ReplicateOrigin = func(_ split.Origin, certain bool) { replicated = append(replicated, certain) }
	router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20").check(t, 200, "")
	router.takeUp(t, "a2", "a1").check(t, 200, "")
	if len(replicated) != 2 || replicated[0] {
		t.Errorf("got certain origins %v replicated, want none certain: other routers can't derive them from the split", replicated)
	}
	if got := router.takeUp(t, "a3", "unknown"); got.status != 503 || !strings.HasPrefix(got.body, "HH2015 ") {
		t.Errorf("got %d %q for a take-up whose origin is not known, want 503 HH2015", got.status, got.body)
	}
	if got := len(upstreams[1].requestsSoFar()); got != 0 {
		t.Errorf("got %d requests outside the allowed region, want none", got)
	}
}
