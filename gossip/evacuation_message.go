package gossip

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
)

// EvacuationMessage carries the states of evacuated zones to other routers, in a datagram of
// its own, as a StrikeMessage does for strikes. Zones, Revisions and Evacuated have the same
// indexes.
type EvacuationMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router, and Address is where it receives
	// messages, as IP:port.
	Router  balance.RouterID
	Address string
	Zones   []ident.Zone
	// Revisions are those of the store as of which the states are known.
	Revisions []ident.Revision
	Evacuated []bool
}

const (
	// evacuationMessageStart is the first byte of the datagram of an EvacuationMessage,
	// which in msgpack says: an array of five fields.
	evacuationMessageStart = 0x95
	// maxZones limits the zones in a message, so that it fits into a datagram.
	maxZones = 256
	// evacuationRepeatInterval is the least time between two repetitions of a router's
	// EvacuationMessage.
	evacuationRepeatInterval = time.Second
	// evacuationBytesPerSecond limits the bytes of the repetitions: a tenth of the control
	// budget of a router.
	evacuationBytesPerSecond = 500
)

// newEvacuationMessage returns the message of a router with states, at most maxZones.
func newEvacuationMessage(router balance.RouterID, address string, states []evacuation.State) EvacuationMessage {
	message := EvacuationMessage{Router: router, Address: address}
	for _, state := range states[:min(len(states), maxZones)] {
		message.Zones = append(message.Zones, state.Zone)
		message.Revisions = append(message.Revisions, state.Revision)
		message.Evacuated = append(message.Evacuated, state.Evacuated)
	}
	return message
}

// states returns the states in the message.
func (message *EvacuationMessage) states() []evacuation.State {
	states := make([]evacuation.State, len(message.Zones))
	for i, zone := range message.Zones {
		states[i] = evacuation.State{Zone: zone, Revision: message.Revisions[i], Evacuated: message.Evacuated[i]}
	}
	return states
}

// isEvacuationMessage reports whether a datagram holds an EvacuationMessage.
func isEvacuationMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == evacuationMessageStart
}

// decodeEvacuations returns the message in a datagram. It returns an error if the datagram is
// malformed, if the router or its address is missing, or if a state is incomplete.
func decodeEvacuations(datagram []byte) (EvacuationMessage, error) {
	var message EvacuationMessage
	if err := unmarshal(datagram, &message); err != nil {
		return EvacuationMessage{}, err
	}
	if message.Router == "" || message.Address == "" {
		return EvacuationMessage{}, errors.New("gossip message: missing router or address")
	}
	zones := len(message.Zones)
	if zones > maxZones || len(message.Revisions) != zones || len(message.Evacuated) != zones {
		return EvacuationMessage{}, errors.Newf("gossip message: %d zones with %d revisions and %d flags", zones, len(message.Revisions), len(message.Evacuated))
	}
	for i, zone := range message.Zones {
		if zone == "" || len(zone) > ident.MaxLength || message.Revisions[i] == 0 {
			return EvacuationMessage{}, errors.Newf("gossip message: invalid state of zone %q at revision %d", zone, message.Revisions[i])
		}
	}
	return message, nil
}

// receiveEvacuations applies the EvacuationMessage in a datagram. A sender that lacks newer
// states receives them, at most once in evacuationRepeatInterval.
func (gossip *Gossip) receiveEvacuations(now time.Time, datagram []byte) error {
	message, err := decodeEvacuations(datagram)
	if err != nil || message.Router == gossip.Router || gossip.OnEvacuations == nil {
		return err
	}
	newer := gossip.OnEvacuations(message.states(), message.Address)
	if len(newer) == 0 {
		return nil
	}
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	peer := gossip.peers[message.Address]
	if peer == nil || now.Before(peer.correctedAt.Add(evacuationRepeatInterval)) {
		return nil
	}
	peer.correctedAt = now
	gossip.send(gossip.encode(newEvacuationMessage(gossip.Router, gossip.Address, newer)), peer)
	return nil
}

// SendEvacuations sends which zones are evacuated to all partners at once. Each router that
// receives a change does so, which propagates it to all groups.
func (gossip *Gossip) SendEvacuations() {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	now := time.Now()
	gossip.refreshTopology(now)
	gossip.sendEvacuations(now)
}

// evacuationsDue reports whether the EvacuationMessage has to be repeated now. The caller
// holds mu.
func (gossip *Gossip) evacuationsDue(now time.Time) bool { return !now.Before(gossip.evacuationsAt) }

// sendEvacuations sends which zones are evacuated, or were recently, to the routers of the
// group and to the receivers of its summaries. It sends nothing if there are none. The caller
// holds mu.
func (gossip *Gossip) sendEvacuations(now time.Time) {
	gossip.evacuationsAt = now.Add(evacuationRepeatInterval)
	states := gossip.Evacuations.Report(now)
	if len(states) == 0 {
		return
	}
	datagram := gossip.encode(newEvacuationMessage(gossip.Router, gossip.Address, states))
	partners := 0
	for _, peers := range [][]*peer{gossip.topology.direct, gossip.topology.receivers} {
		partners += len(peers)
		for _, peer := range peers {
			gossip.send(datagram, peer)
		}
	}
	took := time.Duration(partners*len(datagram)) * time.Second / evacuationBytesPerSecond
	gossip.evacuationsAt = now.Add(max(evacuationRepeatInterval, took))
}
