package gossip

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
)

// receiver reads messages until the socket is closed.
type receiver struct {
	gossip *Gossip
}

func (receiver *receiver) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := receiver.gossip.Conn.ReadFrom(buffer)
		if err != nil {
			receiver.gossip.Logger.Info("Stopped receiving messages.", "Error", err)
			return
		}
		receiver.gossip.Metrics.AddControlBytes(metrics.PeerRouter, metrics.Received, ident.Bytes(count))
		if err := receiver.gossip.receive(slices.Clone(buffer[:count])); err != nil {
			receiver.gossip.Metrics.CountEvent("gossip.malformed")
		}
	}
}

// receive applies the message in a datagram.
func (gossip *Gossip) receive(datagram []byte) error {
	if isStrikeMessage(datagram) {
		now := time.Now()
		router, report, err := decodeStrikes(now, datagram)
		if err == nil && router != gossip.Router {
			gossip.Strikes.Apply(now, report)
		}
		return err
	}
	if isVersionMessage(datagram) {
		return gossip.receiveVersions(datagram)
	}
	if isLimitMessage(datagram) {
		message, err := decodeLimits(datagram)
		if err == nil && message.Router != gossip.Router {
			now := time.Now()
			gossip.Quota.Apply(now, message.limits(now))
		}
		return err
	}
	message, err := Decode(datagram)
	if err == nil {
		gossip.handle(time.Now(), message)
	}
	return err
}

// handle applies a message from another router. It adds a sender that is not a
// peer yet, sends the full state to one that has just started and removes one
// that is leaving.
func (gossip *Gossip) handle(now time.Time, message Message) {
	if message.Router == gossip.Router {
		return
	}
	gossip.mu.Lock()
	if peer := gossip.add(now, message.Address); peer != nil {
		silent := now.Sub(peer.receivedAt) > max(missedAfter, missedPauses*gossip.pause())
		peer.receivedAt = now
		newRun := peer.router != message.Router
		if newRun {
			peer.runSince = now
		}
		peer.router = message.Router
		peer.startedAt = now.Add(-message.Uptime.Duration())
		peer.warm = message.Warm
		if newRun && !message.Leaving {
			gossip.sendFullState(now, peer)
		}
		if newRun || silent {
			peer.strikeSends = strikeSends
		}
		if message.Leaving {
			delete(gossip.peers, message.Address)
		} else if peer.strikeSends > 0 {
			peer.strikeSends--
			gossip.sendStrikes(now, peer)
		}
	}
	gossip.mu.Unlock()
	gossip.Loads.ApplyRemote(now, balance.RemoteCounts{Router: message.Router, Sequence: message.Sequence, Complete: message.Complete, Counts: message.InFlight})
	gossip.CacheIndex.ApplyRemote(now, message.CacheUpdates)
	gossip.OnMessage(now, message)
}
