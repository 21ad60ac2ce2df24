package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("i-%d", i)) }

// poolOf returns a pool of count upstreams, in three zones in turn.
func poolOf(count int) *registry.Pool { return poolWithout(count) }

// poolWithout returns a pool of count upstreams of which some zones are evacuated.
func poolWithout(count int, evacuated ...ident.Zone) *registry.Pool {
	var members registry.Registry
	members.SetEvacuated(evacuated)
	var upstreams []registry.Upstream
	for i := range count {
		zone := ident.Zone(fmt.Sprintf("zone-%d", i%3))
		upstreams = append(upstreams, registry.Upstream{ID: id(i), Service: "pool", Address: "10.0.0.1:80", Zone: zone})
	}
	members.Replace(start, 1, upstreams)
	return members.Pool("pool")
}

// chooserWith returns a chooser whose upstreams have the given numbers of
// requests in flight, as reported by another router.
func chooserWith(requests []int, ejected map[ident.UpstreamID]bool) *balance.Chooser {
	counts := make(balance.Counts)
	for i, inFlight := range requests {
		counts[id(i)] = balance.Load{Requests: inFlight}
	}
	loads := new(balance.Loads)
	loads.ApplyRemote(start, balance.RemoteCounts{Router: "other", Sequence: 1, Complete: true, Counts: counts})
	return &balance.Chooser{
		Loads:      loads,
		CacheIndex: new(balance.CacheIndex),
		Ejected:    func(_ time.Time, upstream ident.UpstreamID) bool { return ejected[upstream] },
		Multiple:   2,
		Slack:      1.5,
	}
}

// drawChooser returns a chooser for 2 to 20 healthy upstreams with random loads, some of which
// have the prompt cached, and their number.
func drawChooser(t *rapid.T) (chooser *balance.Chooser, count int) {
	loads := rapid.SliceOfN(rapid.IntRange(0, 30), 2, 20).Draw(t, "loads")
	chooser = chooserWith(loads, nil)
	for i := range loads {
		if rapid.Bool().Draw(t, "cached") {
			chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
		}
	}
	return chooser, len(loads)
}

// checkBelowBound checks that an upstream is chosen, and that it is below the load bound.
func checkBelowBound(t *rapid.T, chooser *balance.Chooser, count int, request balance.Request) {
	chosen, found := chooser.Choose(start, poolOf(count), request)
	if !found {
		t.Fatal("got no upstream, want one")
	}
	if bound := 2*chosen.Mean + 1.5; float64(chosen.Load.Requests) >= bound {
		t.Fatalf("got %s with load %+v, want one below %.1f", chosen.Upstream.ID, chosen.Load, bound)
	}
}

// TestNoUpstreamAboveTheBound checks for random loads that the chosen upstream is
// below the bound, whichever upstreams have the prompt prefix cached. All are
// healthy, so one at or below the mean is always available.
func TestNoUpstreamAboveTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chooser, count := drawChooser(t)
		request := balance.Request{}
		if rapid.Bool().Draw(t, "has prefix") {
			request.Keys = []ident.ChatID{"prompt", "shallower"}
		}
		checkBelowBound(t, chooser, count, request)
	})
}

func TestChoice(t *testing.T) {
	first := firstRanked(t, poolOf(6), "prompt")
	level := []int{2, 2, 2, 2, 2, 2}
	hot := append([]int(nil), level...)
	hot[first] = 9
	tests := []struct {
		name    string
		loads   []int
		cached  []int
		ejected map[ident.UpstreamID]bool
		// wantFirst is set if the first of the rendezvous order has to be chosen.
		wantFirst bool
		want      balance.Reason
	}{
		{"not cached anywhere", level, nil, nil, true, balance.Rendezvous},
		{"cached at another upstream", level, []int{(first + 1) % 6}, nil, false, balance.CacheHit},
		{"cached at an upstream at the bound", hot, []int{first}, nil, false, balance.Spillover},
		{"cached at an ejected upstream", level, []int{first}, map[ident.UpstreamID]bool{id(first): true}, false, balance.Spillover},
		{"all ejected", level, nil, map[ident.UpstreamID]bool{id(0): true, id(1): true, id(2): true, id(3): true, id(4): true, id(5): true}, false, balance.LastResort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWith(test.loads, test.ejected)
			for _, i := range test.cached {
				chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
			}
			got, _ := chooser.Choose(start, poolOf(6), balance.Request{Keys: []ident.ChatID{"prompt"}})
			if got.Reason != test.want || test.wantFirst && got.Upstream.ID != id(first) {
				t.Errorf("got %s for reason %s, want reason %s", got.Upstream.ID, got.Reason, test.want)
			}
			if test.want == balance.Spillover && got.Source != id(first) {
				t.Errorf("got source %q of the prefix, want %s, which has it cached", got.Source, id(first))
			}
		})
	}
}

// firstRanked returns the index of the first upstream in the rendezvous order of
// key.
func firstRanked(t *testing.T, pool *registry.Pool, key ident.ChatID) int {
	t.Helper()
	var order [1]int
	return pool.Ranking.Rank(key, "", order[:])[0]
}

// TestHotPrefixIsPrefilledOnce sends a surge of requests with the same prefix to
// a pool. Each chosen upstream has to be below the bound, and only the first one
// may prefill the prefix: the others have to be given a source to fetch it from,
// and each needs it at most once.
func TestHotPrefixIsPrefilledOnce(t *testing.T) {
	const upstreams, requests = 18, 90
	pool := poolOf(upstreams)
	chooser := chooserWith(make([]int, upstreams), nil)
	prefills, fetches := 0, 0
	cached := make(map[ident.UpstreamID]bool)
	for range requests {
		chosen, _ := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"hot"}})
		if float64(chosen.Load.Requests) >= 2*chosen.Mean+1.5 {
			t.Errorf("got an upstream with load %+v, want less than 2 times the mean of %.1f plus 1.5 requests", chosen.Load, chosen.Mean)
		}
		if !cached[chosen.Upstream.ID] {
			cached[chosen.Upstream.ID] = true
			if chosen.Source == "" {
				prefills++
			} else {
				fetches++
			}
		}
		chooser.Loads.Start(chosen.Upstream.ID, 0)
		chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "hot", Upstream: chosen.Upstream.ID})
	}
	if prefills != 1 || fetches > upstreams-1 {
		t.Errorf("got %d prefills and %d fetches of the prefix, want 1 and at most %d", prefills, fetches, upstreams-1)
	}
}

// TestTriedUpstreamIsNotChosenAgain chooses for one request until no upstream is
// left; one of them is ejected and has to be chosen all the same.
func TestTriedUpstreamIsNotChosenAgain(t *testing.T) {
	pool := poolOf(3)
	chooser := chooserWith([]int{0, 0, 0}, map[ident.UpstreamID]bool{id(1): true})
	var tried []ident.UpstreamID
	for range 3 {
		chosen, found := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"p"}, Tried: tried})
		if !found {
			t.Fatalf("got no upstream after %v, want another one", tried)
		}
		for _, previous := range tried {
			if previous == chosen.Upstream.ID {
				t.Errorf("got %s a second time, want one that was not tried", previous)
			}
		}
		tried = append(tried, chosen.Upstream.ID)
	}
	if _, found := chooser.Choose(start, pool, balance.Request{Tried: tried}); found {
		t.Error("got an upstream after all were tried, want none")
	}
}

func TestLoads(t *testing.T) {
	var loads balance.Loads
	loads.Start("a", 0)
	loads.RecordReport(start, "a", 5)
	loads.Start("a", 0)
	steps := []struct {
		name string
		do   func()
		at   time.Duration
		want int
	}{
		{"report plus one local request since", func() {}, time.Second, 6},
		{"report expired", func() {}, 2 * time.Second, 2},
		{"message of another router", func() {
			loads.ApplyRemote(start, balance.RemoteCounts{Router: "r", Sequence: 2, Complete: true, Counts: balance.Counts{"a": {Requests: 3}}})
		}, time.Second, 5},
		{"message with a lower sequence number", func() {
			loads.ApplyRemote(start, balance.RemoteCounts{Router: "r", Sequence: 1, Complete: true, Counts: balance.Counts{"a": {Requests: 9}}})
		}, time.Second, 5},
		{"complete message without the upstream", func() {
			loads.ApplyRemote(start, balance.RemoteCounts{Router: "r", Sequence: 3, Complete: true, Counts: balance.Counts{"b": {Requests: 9}}})
		}, time.Second, 2},
		{"no message of the router for 4 s", func() { loads.Expire(start.Add(4 * time.Second)) }, time.Second, 6},
	}
	for _, step := range steps {
		step.do()
		if got := loads.Estimate(start.Add(step.at), "a").Requests; got != step.want {
			t.Errorf("%s: got load %d, want %d", step.name, got, step.want)
		}
	}
}

func TestCacheIndex(t *testing.T) {
	var index balance.CacheIndex
	index.RecordLocal(start, balance.CacheUpdate{Key: "p", Upstream: "a"})
	index.ApplyRemote(start, []balance.CacheUpdate{{Key: "p", Upstream: "b"}})
	if got := index.Upstreams(start.Add(time.Second), "p"); len(got) != 2 {
		t.Errorf("got upstreams %v, want a and b", got)
	}
	if got := index.All(start); len(got) != 2 || got[0].Upstream != "a" || got[1].Upstream != "b" {
		t.Errorf("got entries %v, want those of a and b", got)
	}
	if got := index.All(start.Add(time.Minute)); len(got) != 0 {
		t.Errorf("got entries %v after a minute, want none", got)
	}
	if got := index.TakePending(); len(got) != 1 || len(index.TakePending()) != 0 {
		t.Errorf("got pending updates %v, want one, and none on the second call", got)
	}
	index.Forget("a")
	if got := index.Upstreams(start.Add(time.Second), "p"); len(got) != 1 || got[0] != "b" {
		t.Errorf("got upstreams %v after a restarted, want b", got)
	}
	if got := index.Upstreams(start.Add(time.Hour), "p"); len(got) != 0 {
		t.Errorf("got upstreams %v after an hour, want none", got)
	}
}

// TestProbationAllowsOnlyRetryableRequests checks that an upstream on probation
// gets retryable requests, and others only if no healthy upstream remains.
func TestProbationAllowsOnlyRetryableRequests(t *testing.T) {
	tests := []struct {
		name        string
		retryable   bool
		onProbation []ident.UpstreamID
		ejected     []ident.UpstreamID
		want        []ident.UpstreamID
		wantReason  balance.Reason
	}{
		{"retryable", true, []ident.UpstreamID{id(0)}, []ident.UpstreamID{id(1), id(2)}, []ident.UpstreamID{id(0)}, balance.LeastLoaded},
		{"not retryable", false, []ident.UpstreamID{id(0), id(1)}, nil, []ident.UpstreamID{id(2)}, balance.LeastLoaded},
		{"not retryable and no healthy upstream", false, []ident.UpstreamID{id(0)}, []ident.UpstreamID{id(1), id(2)}, []ident.UpstreamID{id(0)}, balance.LastResort},
		{"all ejected", false, nil, []ident.UpstreamID{id(0), id(1), id(2)}, []ident.UpstreamID{id(0), id(1), id(2)}, balance.LastResort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ejected := make(map[ident.UpstreamID]bool)
			for _, upstream := range test.ejected {
				ejected[upstream] = true
			}
			chooser := chooserWith([]int{0, 0, 0}, ejected)
			chooser.OnProbation = func(_ time.Time, upstream ident.UpstreamID) bool { return slices.Contains(test.onProbation, upstream) }
			for range 20 {
				got, found := chooser.Choose(start, poolOf(3), balance.Request{Retryable: test.retryable})
				if !found || !slices.Contains(test.want, got.Upstream.ID) || got.Reason != test.wantReason {
					t.Fatalf("got %s for reason %q, want one of %v for reason %q", got.Upstream.ID, got.Reason, test.want, test.wantReason)
				}
			}
		})
	}
}

// TestEjectedUpstreamIsTheLastSource guards against a prompt that is fetched from
// an upstream that may not answer while another one has it cached, too.
func TestEjectedUpstreamIsTheLastSource(t *testing.T) {
	now := time.Now()
	var loads balance.Loads
	var cacheIndex balance.CacheIndex
	cacheIndex.RecordLocal(now, balance.CacheUpdate{Key: "p", Upstream: "healthy"})
	cacheIndex.RecordLocal(now.Add(time.Millisecond), balance.CacheUpdate{Key: "p", Upstream: "ejected"})
	var reg registry.Registry
	reg.Replace(now, 1, []registry.Upstream{{ID: "chosen", Service: "pool"}, {ID: "healthy", Service: "pool"}, {ID: "ejected", Service: "pool"}})
	chooser := &balance.Chooser{
		Loads: &loads, CacheIndex: &cacheIndex, Multiple: 2, Slack: 1,
		Ejected: func(_ time.Time, upstream ident.UpstreamID) bool { return upstream == "ejected" },
	}
	request := balance.Request{Keys: []ident.ChatID{"p"}, Tried: []ident.UpstreamID{"healthy"}}
	choice, found := chooser.Choose(now.Add(time.Second), reg.Pool("pool"), request)
	if !found || choice.Upstream.ID != "chosen" || choice.Source != "healthy" {
		t.Errorf("got upstream %q and source %q, want chosen and healthy", choice.Upstream.ID, choice.Source)
	}
}

// TestForbiddenUpstreamIsNoSource guards against a prompt that is fetched from an upstream
// that the request must not reach, such as one of an evacuated zone.
func TestForbiddenUpstreamIsNoSource(t *testing.T) {
	now := time.Now()
	index := new(balance.CacheIndex)
	for _, upstream := range []ident.UpstreamID{"allowed", "forbidden"} {
		index.RecordLocal(now, balance.CacheUpdate{Key: "p", Upstream: upstream})
	}
	chooser := &balance.Chooser{Loads: new(balance.Loads), CacheIndex: index, Ejected: func(time.Time, ident.UpstreamID) bool { return false }, Multiple: 2, Slack: 1}
	var members registry.Registry
	members.Replace(now, 1, []registry.Upstream{{ID: "chosen", Service: "pool"}})
	for _, test := range []struct {
		forbidden []ident.UpstreamID
		want      ident.UpstreamID
	}{{nil, "forbidden"}, {[]ident.UpstreamID{"forbidden"}, "allowed"}, {[]ident.UpstreamID{"forbidden", "allowed"}, ""}} {
		request := balance.Request{Keys: []ident.ChatID{"p"}, MayFetch: func(upstream ident.UpstreamID) bool { return !slices.Contains(test.forbidden, upstream) }}
		choice, found := chooser.Choose(now, members.Pool("pool"), request)
		if !found || choice.Upstream.ID != "chosen" || choice.Source != test.want {
			t.Errorf("got upstream %q and source %q with %v forbidden, want chosen and %q", choice.Upstream.ID, choice.Source, test.forbidden, test.want)
		}
	}
}
