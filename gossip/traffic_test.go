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

// countingConn counts the bytes that are sent.
type countingConn struct {
	net.PacketConn
	sent *atomic.Int64
}

// WriteTo sends a datagram and counts it.
func (conn countingConn) WriteTo(datagram []byte, address net.Addr) (int, error) {
	conn.sent.Add(int64(len(datagram)))
	return conn.PacketConn.WriteTo(datagram, address)
}

// loadGenerator simulates a router's requests at the design load: 33.9 requests
// per second that take 1.5 s each, every one with a prompt of two shared
// prefixes. One in ten goes to a random upstream instead of the one that has the
// prompt cached.
type loadGenerator struct {
	member *member
	random *rand.Rand
	done   chan struct{}
}

func (generator *loadGenerator) run(ctx context.Context) {
	const pause, requestTime, upstreams, prompts = time.Second * 10 / 339, 1500 * time.Millisecond, 18, 80
	defer close(generator.done)
	for n := 0; ctx.Err() == nil; n++ {
		prompt := generator.random.IntN(prompts)
		index := prompt % upstreams
		if n%10 == 0 {
			index = generator.random.IntN(upstreams)
		}
		upstream := ident.UpstreamID(fmt.Sprintf("i-%010d", index))
		generator.member.loads.Start(upstream, 500)
		for _, part := range []int{prompts, prompt} {
			key := ident.ChatID(fmt.Sprintf("%016x", part))
			generator.member.cacheIndex.RecordLocal(time.Now(), balance.CacheUpdate{Key: key, Upstream: upstream})
		}
		time.AfterFunc(50*time.Millisecond, func() { generator.member.loads.PrefillDone(upstream, 500) })
		time.AfterFunc(requestTime, func() { generator.member.loads.End(upstream, 0) })
		time.Sleep(pause)
	}
}

// BenchmarkTraffic measures the bytes per second that each of six routers sends
// to the others, after a warm-up in which all receive the prompts.
func BenchmarkTraffic(b *testing.B) {
	const routers, warmUp, duration = 6, 7 * time.Second, 4 * time.Second
	var sent atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var members []*member
	for i := range routers {
		member := startCountingMember(b, balance.RouterID(fmt.Sprintf("router-%06d", i)), &sent)
		for _, other := range members {
			member.gossip.Add(other.gossip.Address)
		}
		members = append(members, member)
	}
	var generators []*loadGenerator
	for i, member := range members {
		generator := &loadGenerator{member: member, random: rand.New(rand.NewPCG(1, uint64(i))), done: make(chan struct{})}
		generators = append(generators, generator)
		go generator.run(ctx)
	}
	time.Sleep(warmUp)
	before := sent.Load()
	time.Sleep(duration)
	rate := float64(sent.Load()-before) / routers / duration.Seconds()
	cancel()
	for _, generator := range generators {
		<-generator.done
	}
	b.ReportMetric(rate, "B/s")
}
