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

// maxDatagram bounds a datagram, in bytes.
const maxDatagram = 60 << 10

// Message is what a router tells the others.
type Message struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router names the run of the router, and Sequence counts its messages.
	Router   balance.RouterID
	Sequence uint64
	// Address is where the router listens, as IP:port.
	Address string
	// Uptime is how long the router runs.
	Uptime ident.Milliseconds
	// InFlight is what the router has in flight at upstreams. Where Complete is
	// not set it names those alone where that has changed of late.
	InFlight balance.Counts
	Complete bool
	// CacheUpdates is what the router sent since its message before.
	CacheUpdates []balance.CacheUpdate
	// StoreUptime is how long the store has answered the router without a break;
	// zero while it does not.
	StoreUptime ident.Milliseconds
	// ReadAge is how long ago the router read the upstreams, zero if it never
	// did, and Digest hashes what it lists.
	ReadAge ident.Milliseconds
	Digest  uint64
	// Config is the version of the configuration that the router has in force.
	Config routing.Version
	// Changes are changes of upstreams that the router has just read.
	Changes []registry.Change
	// Zone is the availability zone of the router, and Outcomes what came of its
	// requests since its message before.
	Zone     ident.Zone
	Outcomes []health.Tally
	// Warm says that the router has learned which prompts its part of the engines
	// has cached, and has told of them.
	Warm bool
	// Leaving says that the router stops and this is its last message.
	Leaving bool
}

func encode(message Message) ([]byte, error) {
	datagram, err := msgpack.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(datagram) > maxDatagram {
		return nil, errors.Newf("message of %d bytes, want at most %d", len(datagram), maxDatagram)
	}
	return datagram, nil
}

// Decode returns the message in a datagram, or why it is none.
func Decode(datagram []byte) (Message, error) {
	var message Message
	if err := msgpack.Unmarshal(datagram, &message); err != nil {
		return Message{}, err
	}
	if message.Router == "" {
		return Message{}, errors.New("message without a router")
	}
	for upstream, load := range message.InFlight {
		if load.Requests < 0 || load.PendingPrefill < 0 || upstream == "" {
			return Message{}, errors.Newf("load %+v at upstream %q", load, upstream)
		}
	}
	for _, tally := range message.Outcomes {
		if !(tally.Failed >= 0 && tally.Total >= tally.Failed) || tally.Broken < 0 || tally.Upstream == "" {
			return Message{}, errors.Newf("outcomes %+v", tally)
		}
	}
	return message, nil
}
