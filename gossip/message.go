package gossip

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// maxDatagramBytes limits the size of a datagram.
const maxDatagramBytes = 60 << 10

// Message is the state that a router sends to the others. It is encoded as a
// msgpack array, so the order and the types of its fields are part of the
// protocol.
type Message struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router, and Sequence numbers its
	// messages.
	Router   balance.RouterID
	Sequence uint64
	// Address is the address that the router receives messages on, as IP:port.
	Address string
	// Uptime is the time since the router started.
	Uptime ident.Milliseconds
	// InFlight counts the router's requests in flight at each upstream. Unless
	// Complete is set, it contains only the upstreams where the counts changed
	// recently.
	InFlight balance.Counts
	Complete bool
	// CacheUpdates are the prompt prefixes that upstreams have cached since the
	// previous message.
	CacheUpdates []balance.CacheUpdate
	// StoreUptime is how long the store has answered the router without an
	// interruption; zero while it does not answer.
	StoreUptime ident.Milliseconds
	// ReadAge is the time since the router last read the upstreams, or zero if it
	// never did. Digest is a hash of the upstreams that it lists.
	ReadAge ident.Milliseconds
	Digest  uint64
	// ConfigVersion is the version of the configuration that the router has in
	// force.
	ConfigVersion routing.Version
	// Changes are the changes of upstreams that the router read since the
	// previous message.
	Changes []registry.Change
	// Zone is the availability zone of the router. Outcomes are the outcomes of
	// its requests since the previous message.
	Zone     ident.Zone
	Outcomes []health.Tally
	// Warm says that the router knows which prompt prefixes its share of the
	// model engines has cached, and has sent them.
	Warm bool
	// Leaving says that the router stops and that this is its last message.
	Leaving bool
}

// encode returns the datagram of a Message or a StrikeMessage. It fails if the
// datagram would be larger than maxDatagramBytes.
func encode(message any) ([]byte, error) {
	datagram, err := msgpack.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(datagram) > maxDatagramBytes {
		return nil, errors.Newf("gossip message: got %d bytes, want at most %d", len(datagram), maxDatagramBytes)
	}
	return datagram, nil
}

// Decode returns the message in a datagram. It returns an error if the datagram
// is malformed, if the router is missing or if a count is invalid.
func Decode(datagram []byte) (Message, error) {
	var message Message
	if err := unmarshal(datagram, &message); err != nil {
		return Message{}, err
	}
	if message.Router == "" {
		return Message{}, errors.New("gossip message: missing router")
	}
	for upstream, load := range message.InFlight {
		if load.Requests < 0 || load.Requests > maxLoad || load.PendingPrefill < 0 || load.PendingPrefill > maxLoad*prefillUnit || upstream == "" {
			return Message{}, errors.Newf("gossip message: invalid load %+v at upstream %q", load, upstream)
		}
	}
	return message, checkOutcomes(message.Outcomes)
}

// checkOutcomes returns an error if one of the outcomes can't be true.
func checkOutcomes(outcomes []health.Tally) error {
	for _, tally := range outcomes {
		if !(tally.Failed >= 0 && tally.Total >= tally.Failed) || tally.Broken < 0 || tally.Upstream == "" {
			return errors.Newf("gossip message: invalid outcomes %+v", tally)
		}
	}
	return nil
}
