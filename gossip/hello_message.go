package gossip

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

// HelloMessage is what a router sends to each other one when they meet. It says that the
// router understands a SummaryMessage. A router of an earlier program drops it, and gets
// each Message as before.
type HelloMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router, and Address is where it receives
	// messages, as IP:port.
	Router  balance.RouterID
	Address string
	Zone    ident.Zone
	// Uptime is the time since the router started.
	Uptime ident.Milliseconds
	Warm   bool
	// Kind says what the receiver has to do.
	Kind HelloKind
	// Version is the version of the summaries that the router understands.
	Version int
}

// HelloKind says what the receiver of a HelloMessage has to do.
type HelloKind int

const (
	// hello has the receiver answer, and list the members of its group again.
	hello HelloKind = iota
	// reply is an answer to a hello.
	reply
	// request has the receiver send all that it knows.
	request
)

const (
	// helloMessageStart is the first byte of the datagram of a HelloMessage, which in
	// msgpack says: an array of seven fields.
	helloMessageStart = 0x97
	// summaryVersion is the version of the summaries that this program sends.
	summaryVersion = 1
)

// isHelloMessage reports whether a datagram holds a HelloMessage.
func isHelloMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == helloMessageStart
}

// decodeHello returns the message in a datagram. It returns an error if the datagram is
// malformed, or if the router or its address is missing.
func decodeHello(datagram []byte) (HelloMessage, error) {
	var message HelloMessage
	if err := unmarshal(datagram, &message); err != nil {
		return HelloMessage{}, err
	}
	if message.Router == "" || message.Address == "" || message.Uptime < 0 {
		return HelloMessage{}, errors.Newf("gossip message: invalid hello %+v", message)
	}
	return message, nil
}

// sendHello sends a HelloMessage to one router. The caller holds mu.
func (gossip *Gossip) sendHello(now time.Time, peer *peer, kind HelloKind) {
	gossip.send(gossip.encode(HelloMessage{
		Router:  gossip.Router,
		Address: gossip.Address,
		Zone:    gossip.Zone,
		Uptime:  gossip.uptime(now),
		Warm:    gossip.warm,
		Kind:    kind,
		Version: summaryVersion,
	}), peer)
}

// receiveHello applies the HelloMessage in a datagram, and answers it.
func (gossip *Gossip) receiveHello(now time.Time, datagram []byte) error {
	message, err := decodeHello(datagram)
	if err != nil || message.Router == gossip.Router {
		return err
	}
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	peer := gossip.sender(now, message.Address, message.Router)
	if peer == nil {
		return nil
	}
	peer.receivedAt = now
	peer.warm = message.Warm
	// A program that knows a later version only gets each Message.
	peer.summaries = message.Version == summaryVersion
	peer.zone = message.Zone
	gossip.topologyStale = true
	started := gossip.startRun(now, peer, message.Router, message.Uptime)
	switch message.Kind {
	case hello:
		gossip.answerHello(now, peer, started)
	case reply:
		gossip.requestState(now, peer)
	case request:
		gossip.sendFullState(now, peer)
	}
	return nil
}

// answerHello answers a hello, and has the next summary list the members of the group. A
// router that has started also gets a message, which says what configuration this one has
// and whether the store answers it. The caller holds mu.
func (gossip *Gossip) answerHello(now time.Time, peer *peer, started bool) {
	gossip.relay.membersSent = min(gossip.relay.membersSent, memberSends-1)
	if !started && now.Before(peer.helloAt.Add(sendInterval)) {
		return
	}
	peer.helloAt = now
	gossip.sendHello(now, peer, reply)
	if started {
		gossip.send(gossip.encode(gossip.newMessage(now)), peer)
	}
}

// requestState asks a peer for all that it knows if this router has just started and few
// have been asked so far. The caller holds mu.
func (gossip *Gossip) requestState(now time.Time, peer *peer) {
	starting := now.Sub(gossip.Started) < minHeadStart
	if !starting || gossip.stateRequests >= stateSenders || gossip.Started.Sub(peer.startedAt) < minHeadStart {
		return
	}
	gossip.stateRequests++
	gossip.sendHello(now, peer, request)
}
