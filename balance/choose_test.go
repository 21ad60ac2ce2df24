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

// poolOf returns a pool of count upstreams.
func poolOf(count int) *registry.Pool {
	var listed registry.Registry
	var upstreams []registry.Upstream
	for i := range count {
		zone := ident.Zone(fmt.Sprintf("zone-%d", i%3))
		upstreams = append(upstreams, registry.Upstream{ID: id(i), Service: "pool", Address: "10.0.0.1:80", Zone: zone})
	}
	listed.Replace(start, 1, upstreams)
	return listed.Pool("pool")
}

// chooserWith returns a chooser that sees loads as another router told them.
func chooserWith(loads []int, ejected map[ident.UpstreamID]bool) *balance.Chooser {
	counts := make(balance.Counts)
	for i, load := range loads {
		counts[id(i)] = balance.Load{Requests: load}
	}
	known := new(balance.Loads)
	known.ApplyRemote(start, balance.RemoteCounts{Router: "other", Sequence: 1, Complete: true, Counts: counts})
	return &balance.Chooser{
		Loads:      known,
		CacheIndex: new(balance.CacheIndex),
		Ejected:    func(_ time.Time, upstream ident.UpstreamID) bool { return ejected[upstream] },
		Multiple:   2,
		Slack:      1.5,
	}
}

// TestNoUpstreamAboveTheBound checks that a chosen upstream is below the bound
// as the router sees it, whatever the prompts and the health are, as long as a
// healthy one is at or below the mean.
func TestNoUpstreamAboveTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 30), 2, 20).Draw(t, "loads")
		chooser := chooserWith(loads, nil)
		for i := range loads {
			if rapid.Bool().Draw(t, "holds") {
				chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
			}
		}
		request := balance.Request{}
		if rapid.Bool().Draw(t, "sticky") {
			request.Keys = []ident.ChatID{"prompt", "shallower"}
		}
		chosen, found := chooser.Choose(start, poolOf(len(loads)), request)
		if !found {
			t.Fatal("got no upstream, want one")
		}
		if bound := 2*chosen.Mean + 1.5; float64(chosen.Load.Requests) >= bound {
			t.Fatalf("got %s with load %+v, want one below %.1f", chosen.Upstream.ID, chosen.Load, bound)
		}
	})
}

func TestChoice(t *testing.T) {
	home := firstOf(t, poolOf(6), "prompt")
	level := []int{2, 2, 2, 2, 2, 2}
	hot := append([]int(nil), level...)
	hot[home] = 9
	tests := []struct {
		name    string
		loads   []int
		holders []int
		ejected map[ident.UpstreamID]bool
		// wantHome says that the first of the rendezvous order is wanted.
		wantHome bool
		want     balance.Reason
	}{
		{"nobody holds it", level, nil, nil, true, balance.Rendezvous},
		{"another one holds it", level, []int{(home + 1) % 6}, nil, false, balance.CacheHit},
		{"its holder is at the bound", hot, []int{home}, nil, false, balance.Spillover},
		{"its holder is set aside", level, []int{home}, map[ident.UpstreamID]bool{id(home): true}, false, balance.Spillover},
		{"all are set aside", level, nil, map[ident.UpstreamID]bool{id(0): true, id(1): true, id(2): true, id(3): true, id(4): true, id(5): true}, false, balance.LastResort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWith(test.loads, test.ejected)
			for _, holder := range test.holders {
				chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(holder)})
			}
			got, _ := chooser.Choose(start, poolOf(6), balance.Request{Keys: []ident.ChatID{"prompt"}})
			if got.Reason != test.want || test.wantHome && got.Upstream.ID != id(home) {
				t.Errorf("got %s for reason %s, want reason %s", got.Upstream.ID, got.Reason, test.want)
			}
			if test.want == balance.Spillover && got.Source != id(home) {
				t.Errorf("got source %q of the prompt, want its holder %s", got.Source, id(home))
			}
		})
	}
}

// firstOf returns the index of the first upstream of the rendezvous order.
func firstOf(t *testing.T, pool *registry.Pool, key ident.ChatID) int {
	t.Helper()
	var order [1]int
	return pool.Ranking.Rank(key, "", order[:])[0]
}

// TestHotPromptIsReadOnce plays a surge of one prompt at a pool and checks what
// the upstreams are asked for: the bound holds, and each one reads the prompt
// itself at most once, where the first one read it and the others fetched it.
func TestHotPromptIsReadOnce(t *testing.T) {
	const upstreams, requests = 18, 90
	pool := poolOf(upstreams)
	chooser := chooserWith(make([]int, upstreams), nil)
	reads, fetches := 0, 0
	holds := make(map[ident.UpstreamID]bool)
	for range requests {
		chosen, _ := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"hot"}})
		if float64(chosen.Load.Requests) >= 2*chosen.Mean+1.5 {
			t.Errorf("got a request at load %+v, want it below 2 times the mean of %.1f and 1.5", chosen.Load, chosen.Mean)
		}
		if !holds[chosen.Upstream.ID] {
			holds[chosen.Upstream.ID] = true
			if chosen.Source == "" {
				reads++
			} else {
				fetches++
			}
		}
		chooser.Loads.Start(chosen.Upstream.ID, 0)
		chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "hot", Upstream: chosen.Upstream.ID})
	}
	if reads != 1 || fetches > upstreams-1 {
		t.Errorf("got %d reads and %d fetches of the prompt, want 1 and at most %d", reads, fetches, upstreams-1)
	}
}

// TestTriedUpstreamIsNotChosenAgain offers a request until no upstream is left.
func TestTriedUpstreamIsNotChosenAgain(t *testing.T) {
	pool := poolOf(3)
	chooser := chooserWith([]int{0, 0, 0}, map[ident.UpstreamID]bool{id(1): true})
	var tried []ident.UpstreamID
	for range 3 {
		chosen, found := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"p"}, Tried: tried})
		if !found {
			t.Fatalf("got no upstream after %v, want another one", tried)
		}
		for _, before := range tried {
			if before == chosen.Upstream.ID {
				t.Errorf("got %s again", before)
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
		{"report and own change", func() {}, time.Second, 6},
		{"report too old", func() {}, 2 * time.Second, 2},
		{"told by a router", func() {
			loads.ApplyRemote(start, balance.RemoteCounts{Router: "r", Sequence: 2, Complete: true, Counts: balance.Counts{"a": {Requests: 3}}})
		}, time.Second, 5},
		{"older message", func() {
			loads.ApplyRemote(start, balance.RemoteCounts{Router: "r", Sequence: 1, Complete: true, Counts: balance.Counts{"a": {Requests: 9}}})
		}, time.Second, 5},
		{"newer message", func() {
			loads.ApplyRemote(start, balance.RemoteCounts{Router: "r", Sequence: 3, Complete: true, Counts: balance.Counts{"b": {Requests: 9}}})
		}, time.Second, 2},
		{"silent router", func() { loads.Expire(start.Add(4 * time.Second)) }, time.Second, 6},
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
		t.Errorf("got holders %v, want a and b", got)
	}
	if got := index.Local(start); len(got) != 1 || got[0].Upstream != "a" {
		t.Errorf("got own %v, want what this router sent itself", got)
	}
	if got := index.TakePending(); len(got) != 1 || len(index.TakePending()) != 0 {
		t.Errorf("got news %v, want it once", got)
	}
	index.Forget("a")
	if got := index.Upstreams(start.Add(time.Second), "p"); len(got) != 1 || got[0] != "b" {
		t.Errorf("got holders %v after a started anew, want b", got)
	}
	if got := index.Upstreams(start.Add(time.Hour), "p"); len(got) != 0 {
		t.Errorf("got holders %v after an hour, want none", got)
	}
}

// TestUpstreamsOnProbation are tried with requests that may be repeated, and
// with others only where none else is left.
func TestUpstreamsOnProbation(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		heldBack   []ident.UpstreamID
		ejected    []ident.UpstreamID
		want       []ident.UpstreamID
		wantReason balance.Reason
	}{
		{"may be repeated", true, []ident.UpstreamID{id(0)}, []ident.UpstreamID{id(1), id(2)}, []ident.UpstreamID{id(0)}, balance.LeastLoaded},
		{"may not be repeated", false, []ident.UpstreamID{id(0), id(1)}, nil, []ident.UpstreamID{id(2)}, balance.LeastLoaded},
		{"none else is left", false, []ident.UpstreamID{id(0)}, []ident.UpstreamID{id(1), id(2)}, []ident.UpstreamID{id(0)}, balance.LastResort},
		{"all are set aside", false, nil, []ident.UpstreamID{id(0), id(1), id(2)}, []ident.UpstreamID{id(0), id(1), id(2)}, balance.LastResort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ejected := make(map[ident.UpstreamID]bool)
			for _, upstream := range test.ejected {
				ejected[upstream] = true
			}
			chooser := chooserWith([]int{0, 0, 0}, ejected)
			chooser.OnProbation = func(_ time.Time, upstream ident.UpstreamID) bool { return slices.Contains(test.heldBack, upstream) }
			for range 20 {
				got, found := chooser.Choose(start, poolOf(3), balance.Request{Retryable: test.repeatable})
				if !found || !slices.Contains(test.want, got.Upstream.ID) || got.Reason != test.wantReason {
					t.Fatalf("got %s as %q, want one of %v as %q", got.Upstream.ID, got.Reason, test.want, test.wantReason)
				}
			}
		})
	}
}
