package gossip

import (
	"fmt"
	"testing"
	"time"
)

// TestRegisteredRouterIsAddedToAFullTable guards against datagrams that name invented addresses
// until the table is full, and so keep out the routers that are registered in the store.
func TestRegisteredRouterIsAddedToAFullTable(t *testing.T) {
	gossip := benchGossip(3, 1, 10)
	for n := 0; len(gossip.peers) < maxPeers; n++ {
		gossip.add(time.Now(), fmt.Sprintf("10.%d.%d.%d:7340", 2+n/62500, n/250%250, 1+n%250))
	}
	if gossip.add(time.Now(), "10.9.9.8:7340") != nil {
		t.Error("got a router added that a datagram named, want none beyond the bound")
	}
	for _, address := range []string{"10.9.9.9:7340", "10.9.9.10:7340"} {
		gossip.Add(address)
	}
	for _, address := range []string{"10.0.0.2:7340", "10.0.0.3:7340", "10.9.9.9:7340", "10.9.9.10:7340"} {
		if gossip.peers[address] == nil {
			t.Errorf("got no router at %s, want those that are registered or were heard from", address)
		}
	}
	if got := len(gossip.peers); got > maxPeers {
		t.Errorf("got %d routers, want at most %d", got, maxPeers)
	}
}
