package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

// countedConn counts the bytes that are sent.
type countedConn struct {
	net.PacketConn
	sent *atomic.Int64
}

// WriteTo sends a datagram and counts it.
func (conn countedConn) WriteTo(datagram []byte, address net.Addr) (int, error) {
	conn.sent.Add(int64(len(datagram)))
	return conn.PacketConn.WriteTo(datagram, address)
}

// traffic gives a router work as at the design load: 33.9 requests a second of
// 1.5 s, each with a prompt of two shared parts. One in ten goes to an upstream
// that does not have it.
type traffic struct {
	member *member
	random *rand.Rand
	done   chan struct{}
}

func (traffic *traffic) run(ctx context.Context) {
	const pause, lasting, upstreams, prompts = time.Second * 10 / 339, 1500 * time.Millisecond, 18, 80
	defer close(traffic.done)
	for n := 0; ctx.Err() == nil; n++ {
		prompt := traffic.random.IntN(prompts)
		home := prompt % upstreams
		if n%10 == 0 {
			home = traffic.random.IntN(upstreams)
		}
		upstream := ident.UpstreamID(fmt.Sprintf("i-%010d", home))
		traffic.member.loads.Start(upstream, 500)
		for _, part := range []int{prompts, prompt} {
			key := ident.ChatID(fmt.Sprintf("%016x", part))
			traffic.member.cacheIndex.RecordLocal(time.Now(), balance.CacheUpdate{Key: key, Upstream: upstream})
		}
		time.AfterFunc(50*time.Millisecond, func() { traffic.member.loads.PrefillDone(upstream, 500) })
		time.AfterFunc(lasting, func() { traffic.member.loads.End(upstream, 0) })
		time.Sleep(pause)
	}
}

// BenchmarkTraffic measures what each of six routers sends to the others, once
// all know the prompts.
func BenchmarkTraffic(b *testing.B) {
	const routers, warmUp, length = 6, 7 * time.Second, 4 * time.Second
	var sent atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var members []*member
	for i := range routers {
		made := startCounted(b, balance.RouterID(fmt.Sprintf("router-%06d", i)), &sent)
		for _, other := range members {
			made.gossip.Add(other.gossip.Address)
		}
		members = append(members, made)
	}
	var loads []*traffic
	for i, member := range members {
		load := &traffic{member: member, random: rand.New(rand.NewPCG(1, uint64(i))), done: make(chan struct{})}
		loads = append(loads, load)
		go load.run(ctx)
	}
	time.Sleep(warmUp)
	before := sent.Load()
	time.Sleep(length)
	rate := float64(sent.Load()-before) / routers / length.Seconds()
	cancel()
	for _, load := range loads {
		<-load.done
	}
	b.ReportMetric(rate, "B/s")
}
