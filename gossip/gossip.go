package gossip

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
)

const (
	// tellEvery is the shortest time between two messages to the same router.
	tellEvery = 100 * time.Millisecond
	// repeatEvery is the time between two messages that say nothing new.
	repeatEvery = time.Second
	// quietAfter is the silence after which a router is told seldom, and
	// forgottenAfter the one after which it is told nothing.
	quietAfter     = 5 * time.Second
	forgottenAfter = 2 * time.Minute
)

// peer is another router.
type peer struct {
	address *net.UDPAddr
	heardAt time.Time
	toldAt  time.Time
}

// Gossip exchanges messages with the other routers. Its fields are set before
// Run.
type Gossip struct {
	Router  balance.RouterID
	Address string
	Conn    net.PacketConn
	Loads   *balance.Loads
	Holders *balance.Holders
	// StoreServes returns since when the store answers this router without a
	// break, and Elsewhere takes in the same of another one. A zero time means
	// that it does not answer.
	StoreServes func() time.Time
	Elsewhere   func(now, since time.Time)
	Metrics     *metrics.Set
	Logger      *slog.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	told     balance.Counts
	toldAt   time.Time
}

// Add makes another router known by its address, which is IP:port.
func (gossip *Gossip) Add(address string) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	gossip.add(time.Now(), address)
}

// add returns the peer at address, or nil for the router itself and for an
// address that is none. The caller holds mu.
func (gossip *Gossip) add(now time.Time, address string) *peer {
	if address == gossip.Address {
		return nil
	}
	if known := gossip.peers[address]; known != nil {
		return known
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		gossip.Logger.Debug("Address of a router not understood.", "Address", address, "Error", err)
		return nil
	}
	if gossip.peers == nil {
		gossip.peers = make(map[string]*peer)
	}
	made := &peer{address: net.UDPAddrFromAddrPort(parsed), heardAt: now}
	gossip.peers[address] = made
	gossip.Logger.Info("Router known.", "Address", address)
	return made
}

// Run exchanges messages until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) {
	receiver := &receiver{gossip: gossip}
	go receiver.run()
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			gossip.tell(time.Now(), true)
			// The receiver ends with the socket.
			_ = gossip.Conn.Close()
			return
		case <-ticker.C:
			gossip.tell(time.Now(), false)
		}
	}
}

// tell sends what is new, or anything at all if nothing was sent for long.
func (gossip *Gossip) tell(now time.Time, leaving bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	served := gossip.Holders.News()
	inFlight := gossip.Loads.Own()
	changed := leaving || len(served) > 0 || !maps.Equal(inFlight, gossip.told)
	if !changed && now.Before(gossip.toldAt.Add(repeatEvery)) {
		return
	}
	gossip.sequence++
	var serves time.Duration
	if since := gossip.StoreServes(); !since.IsZero() {
		serves = now.Sub(since)
	}
	datagram, err := encode(Message{
		Router: gossip.Router, Sequence: gossip.sequence, Address: gossip.Address,
		InFlight: inFlight, Served: served, Leaving: leaving,
		StoreServes: ident.Milliseconds(serves.Milliseconds()),
	})
	if err != nil {
		gossip.Logger.Warn("Message not sent.", "Error", err)
		return
	}
	gossip.told = inFlight
	gossip.toldAt = now
	gossip.send(now, datagram)
}

// send sends datagram to the routers that are due. The caller holds mu.
func (gossip *Gossip) send(now time.Time, datagram []byte) {
	for address, peer := range gossip.peers {
		silence := now.Sub(peer.heardAt)
		if silence > forgottenAfter {
			delete(gossip.peers, address)
			continue
		}
		if silence > quietAfter && now.Before(peer.toldAt.Add(repeatEvery)) {
			continue
		}
		peer.toldAt = now
		if _, err := gossip.Conn.WriteTo(datagram, peer.address); err != nil {
			gossip.Metrics.Happened("gossip.send.failed")
		}
	}
}

// receiver reads messages until the socket is closed.
type receiver struct {
	gossip *Gossip
}

func (receiver *receiver) run() {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := receiver.gossip.Conn.ReadFrom(buffer)
		if err != nil {
			receiver.gossip.Logger.Info("No more messages are read.", "Error", err)
			return
		}
		message, err := decode(slices.Clone(buffer[:count]))
		if err != nil {
			receiver.gossip.Metrics.Happened("gossip.malformed")
			continue
		}
		receiver.gossip.hear(time.Now(), message)
	}
}

// hear takes in a message.
func (gossip *Gossip) hear(now time.Time, message Message) {
	if message.Router == gossip.Router {
		return
	}
	gossip.mu.Lock()
	if known := gossip.add(now, message.Address); known != nil {
		known.heardAt = now
		if message.Leaving {
			delete(gossip.peers, message.Address)
		}
	}
	gossip.mu.Unlock()
	gossip.Loads.Heard(now, message.Router, message.Sequence, message.InFlight)
	gossip.Holders.Heard(now, message.Served)
	if message.StoreServes > 0 {
		gossip.Elsewhere(now, now.Add(-message.StoreServes.Duration()))
	}
}
