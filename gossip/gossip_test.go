package gossip_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/registry"
)

// member is a router with its gossip on loopback.
type member struct {
	gossip     *gossip.Gossip
	loads      balance.Loads
	cacheIndex balance.CacheIndex
	health     health.Tracker
	done       chan struct{}
	cancel     context.CancelFunc

	mu      sync.Mutex
	changes []registry.Change
}

func startMember(t *testing.T, name balance.RouterID) *member {
	t.Helper()
	return startCounted(t, name, new(atomic.Int64))
}

// startCounted starts a member that adds what it sends to sent, in bytes.
func startCounted(t testing.TB, name balance.RouterID, sent *atomic.Int64) *member {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	made := &member{done: make(chan struct{})}
	made.gossip = &gossip.Gossip{
		Router:     name,
		Started:    time.Now(),
		Address:    conn.LocalAddr().String(),
		Conn:       countedConn{PacketConn: conn, sent: sent},
		Loads:      &made.loads,
		CacheIndex: &made.cacheIndex,
		Health:     &made.health,
		Fill:       func(time.Time, *gossip.Message) {},
		OnMessage: func(_ time.Time, message gossip.Message) {
			made.mu.Lock()
			defer made.mu.Unlock()
			made.changes = append(made.changes, message.Changes...)
		},
		Logger: logging.Component(nil, "gossip"),
	}
	ctx, cancel := context.WithCancel(context.Background())
	made.cancel = cancel
	go made.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-made.done
	})
	return made
}

func (member *member) run(ctx context.Context) {
	defer close(member.done)
	member.gossip.Run(ctx)
}

// eventually waits until holds, for at most three seconds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Errorf("got no %s within 3 s, want it", what)
}

// TestRoutersTellEachOther has one router know the other, which learns of it by
// its first message.
func TestRoutersTellEachOther(t *testing.T) {
	one, two := startMember(t, "one"), startMember(t, "two")
	one.loads.Start("a", 0)
	two.cacheIndex.RecordLocal(time.Now(), balance.CacheUpdate{Key: "p", Upstream: "a"})
	one.gossip.Add(two.gossip.Address)
	one.gossip.Relay([]registry.Change{{Upstream: registry.Upstream{ID: "b", Version: 3}, Gone: true}})
	eventually(t, "load at the other router", func() bool { return two.loads.Estimate(time.Now(), "a").Requests == 1 })
	eventually(t, "prompt at the router that started later", func() bool { return len(one.cacheIndex.Upstreams(time.Now(), "p")) == 1 })
	eventually(t, "relayed change", func() bool {
		two.mu.Lock()
		defer two.mu.Unlock()
		return len(two.changes) == 1 && two.changes[0].Gone && two.changes[0].Upstream.Version == 3
	})
	one.loads.End("a", 0)
	eventually(t, "end of the load", func() bool { return two.loads.Estimate(time.Now(), "a").Requests == 0 })
}

// TestMalformedDatagrams sends what no router sends.
func TestMalformedDatagrams(t *testing.T) {
	one, two := startMember(t, "one"), startMember(t, "two")
	conn, err := net.Dial("udp", one.gossip.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, datagram := range []string{"", "x", "\x81\xa6Router\xa1x\xff", "\xde\xff\xff"} {
		if _, err := conn.Write([]byte(datagram)); err != nil {
			t.Fatal(err)
		}
	}
	two.loads.Start("a", 0)
	two.gossip.Add(one.gossip.Address)
	eventually(t, "load after malformed datagrams", func() bool { return one.loads.Estimate(time.Now(), "a").Requests == 1 })
}

// FuzzHear checks that no datagram ends the receiver.
func FuzzHear(f *testing.F) {
	f.Add([]byte("\x82\xa6Router\xa3two\xa8InFlight\x81\xa1a\x05"))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := gossip.Decode(datagram)
		if err == nil && message.Router == "" {
			t.Errorf("got a message without a router, want an error")
		}
	})
}

// TestMostWarm asks a router of five, one of which never learns anything.
func TestMostWarm(t *testing.T) {
	one := startMember(t, "one")
	var others []*member
	for _, name := range []balance.RouterID{"two", "three", "four", "five"} {
		other := startMember(t, name)
		other.gossip.Add(one.gossip.Address)
		others = append(others, other)
	}
	eventually(t, "word of all routers", func() bool {
		return len(one.gossip.Addresses()) == 5 && !one.gossip.MajorityWarm()
	})
	for _, other := range others[1:] {
		other.gossip.AnnounceWarm()
	}
	eventually(t, "most routers that have learned", one.gossip.MajorityWarm)
}
