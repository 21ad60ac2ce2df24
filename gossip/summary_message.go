package gossip

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// SummaryMessage is what a router sends to some routers of other groups about all
// routers of its own.
type SummaryMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router, and Sequence numbers its
	// messages. Address is where it receives messages, as IP:port.
	Router   balance.RouterID
	Sequence uint64
	Address  string
	// Zone, Groups and Index identify the group.
	Zone   ident.Zone
	Groups int
	Index  int
	// Members are the routers of the group that run, and MembersHash a hash of them. It
	// is empty if it didn't change recently.
	Members     []MemberItem
	MembersHash uint64
	// Loads are the requests that the group has in flight at each upstream. Unless
	// Complete is set, it contains only the upstreams where they changed.
	Loads    []byte
	Complete bool
	// CacheUpdates, Changes and Outcomes are those of all messages of the group. Only
	// routers of its availability zone get outcomes.
	CacheUpdates []balance.CacheUpdate
	Changes      []registry.Change
	Outcomes     []health.Tally
	// States are those of the routers of the group on which others rely: the first ones
	// that read the store, and one with a new configuration.
	States []StateItem
}

// MemberItem is a router of a group in a message.
type MemberItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Address string
	Warm    bool
}

// StateItem is what a router says of the store, as in its Message.
type StateItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Address       string
	StoreUptime   ident.Milliseconds
	ReadAge       ident.Milliseconds
	Digest        uint64
	ConfigVersion routing.Version
}

// summaryMessageStart is the first byte of the datagram of a SummaryMessage, which in
// msgpack says: an array of fourteen fields.
const summaryMessageStart = 0x9e

const (
	// prefillUnit is the unit of tokens pending prefill in an encoded load.
	prefillUnit ident.Tokens = 64
	// keyBytes is the length of an upstream's key in an encoded load.
	keyBytes = 4
	// maxGroups limits the groups of an availability zone.
	maxGroups = 1 << 16
	// maxLoad limits the requests, and the units of prefill, of one upstream.
	maxLoad = math.MaxInt32
)

// isSummaryMessage reports whether a datagram holds a SummaryMessage.
func isSummaryMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == summaryMessageStart
}

// group returns the group that the message is about.
func (message *SummaryMessage) group() group {
	return group{zone: message.Zone, of: message.Groups, index: message.Index}
}

// decodeSummary returns the message in a datagram and the loads in it. It returns an
// error if the datagram is malformed, if the sender is missing or if a count is invalid.
func decodeSummary(datagram []byte) (SummaryMessage, balance.Sums, error) {
	var message SummaryMessage
	if err := unmarshal(datagram, &message); err != nil {
		return SummaryMessage{}, nil, err
	}
	if message.Router == "" || message.Address == "" {
		return SummaryMessage{}, nil, errors.New("gossip message: missing router or address")
	}
	if message.Groups < 1 || message.Groups > maxGroups || message.Index < 0 || message.Index >= message.Groups {
		return SummaryMessage{}, nil, errors.Newf("gossip message: invalid group %d of %d", message.Index, message.Groups)
	}
	for _, state := range message.States {
		if state.Address == "" || state.StoreUptime < 0 || state.ReadAge < 0 {
			return SummaryMessage{}, nil, errors.Newf("gossip message: invalid state %+v", state)
		}
	}
	if err := checkOutcomes(message.Outcomes); err != nil {
		return SummaryMessage{}, nil, err
	}
	loads, err := decodeLoads(message.Loads)
	return message, loads, err
}

// hashOf returns a hash of the members of a group, which are sorted.
func hashOf(members []MemberItem) uint64 {
	digest := xxhash.New()
	for _, member := range members {
		_, _ = digest.WriteString(member.Address)
		_, _ = digest.Write([]byte{0, boolByte(member.Warm)})
	}
	return digest.Sum64()
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// encodeLoads returns loads as bytes: for each upstream its key, its requests and its
// pending prefill.
func encodeLoads(loads balance.Sums) []byte {
	var encoded []byte
	for key, load := range loads {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.AppendUvarint(encoded, uint64(load.Requests))
		encoded = binary.AppendUvarint(encoded, uint64((load.PendingPrefill+prefillUnit/2)/prefillUnit))
	}
	return encoded
}

var errTruncatedLoads = errors.New("gossip message: truncated loads")

// decodeLoads returns the loads that encodeLoads encoded.
func decodeLoads(encoded []byte) (balance.Sums, error) {
	loads := make(balance.Sums, len(encoded)/(keyBytes+2))
	for len(encoded) > 0 {
		if len(encoded) < keyBytes {
			return nil, errTruncatedLoads
		}
		key := balance.UpstreamKey(binary.LittleEndian.Uint32(encoded))
		encoded = encoded[keyBytes:]
		requests, length := binary.Uvarint(encoded)
		if length <= 0 || requests > maxLoad {
			return nil, errTruncatedLoads
		}
		encoded = encoded[length:]
		prefill, length := binary.Uvarint(encoded)
		if length <= 0 || prefill > maxLoad {
			return nil, errTruncatedLoads
		}
		encoded = encoded[length:]
		loads[key] = balance.Load{Requests: int(requests), PendingPrefill: ident.Tokens(prefill) * prefillUnit}
	}
	return loads, nil
}
