package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

func BenchmarkChoose(b *testing.B) {
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
				counts[upstreams[i].ID] = balance.Load{Requests: i % 5}
				tracker.Add(now, "pool", upstreams[i].ID, health.Succeeded)
			}
			loads.ApplyRemote(now, balance.RemoteCounts{Router: "other", Sequence: 1, Complete: true, Counts: counts})
			for n := range 500 {
				index.RecordLocal(now, balance.CacheUpdate{Key: ident.ChatID(fmt.Sprint("chat-", n)), Upstream: upstreams[n%size].ID})
			}
			chooser := &balance.Chooser{Loads: loads, CacheIndex: index, Ejected: tracker.Ejected, Multiple: 2, Slack: 1.5}
			pool := members.Pool("pool")
			n := 0
			for b.Loop() {
				n++
				request := balance.Request{Keys: []ident.ChatID{ident.ChatID(fmt.Sprint("chat-", n%1000)), "house"}}
				if _, found := chooser.Choose(now, pool, request); !found {
					b.Fatal("got no upstream, want one")
				}
			}
		})
	}
}
