package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

func BenchmarkChoose(b *testing.B) { benchmarkChoose(b, nil) }

// BenchmarkChooseByExpectedTime chooses by the predictions of a model that knows the service
// and its upstreams. A choice may take twice the time of one without.
func BenchmarkChooseByExpectedTime(b *testing.B) {
	model := new(cost.Model)
	now := time.Now()
	for i := range 20000 {
		upstream := registry.Upstream{ID: ident.UpstreamID(fmt.Sprint("i-", i%2300)), Service: "pool"}
		model.ObserveFirstEvent(now, upstream, cost.Work{Prefill: ident.Tokens(i % 5000)}, time.Duration(10+i%50)*time.Millisecond)
		model.ObservePace(now, upstream, 1)
	}
	benchmarkChoose(b, func(now time.Time, upstream registry.Upstream, work balance.Work) (time.Duration, bool) {
		return model.FirstEvent(now, upstream, costOf(work))
	})
}

func benchmarkChoose(b *testing.B, firstEvent func(time.Time, registry.Upstream, balance.Work) (time.Duration, bool)) {
	for _, size := range []int{18, 53, 2300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var upstreams []registry.Upstream
			for i := range size {
				upstreams = append(upstreams, registry.Upstream{ID: ident.UpstreamID(fmt.Sprint("i-", i)), Service: "pool", Address: "10.0.0.1:1"})
			}
			members := new(registry.Registry)
			members.Replace(time.Now(), 1, upstreams)
			loads, index, tracker := new(balance.Loads), new(balance.CacheIndex), new(health.Tracker)
			now := time.Now()
			counts := make(balance.Counts)
			for i := range size {
				counts[upstreams[i].ID] = balance.Load{Requests: i % 5, PendingPrefill: ident.Tokens(i % 5 * 100)}
				tracker.Add(now, "pool", upstreams[i].ID, health.Succeeded)
			}
			loads.ApplyRemote(now, balance.RemoteCounts{Router: "other", Sequence: 1, Complete: true, Counts: counts})
			for n := range 500 {
				index.RecordLocal(now, balance.CacheUpdate{Key: ident.ChatID(fmt.Sprint("chat-", n)), Upstream: upstreams[n%size].ID})
			}
			chooser := &balance.Chooser{Loads: loads, CacheIndex: index, Ejected: tracker.Ejected, Multiple: 2, Slack: 1.5, FirstEvent: firstEvent}
			pool := members.Pool("pool")
			n := 0
			for b.Loop() {
				n++
				request := balance.Request{Keys: []ident.ChatID{ident.ChatID(fmt.Sprint("chat-", n%1000)), "house"}, Own: 200, Prompt: 3000, Target: 500}
				if _, found := chooser.Choose(now, pool, request); !found {
					b.Fatal("got no upstream, want one")
				}
			}
		})
	}
}
