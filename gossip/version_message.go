package gossip

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/split"
)

// VersionMessage is what a router sends to others about the software versions that begin
// streams, in a datagram of its own, as a StrikeMessage is.
type VersionMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router, and Address is where it receives
	// messages, as IP:port.
	Router  balance.RouterID
	Address string
	// Splits are splits that the router has adopted.
	Splits []SplitItem
	// Adopted are the revisions of splits that the router has adopted.
	Adopted []AdoptedItem
	// Origins are where streams began, and Requested the attempts whose origins the router
	// asks for.
	Origins   []OriginItem
	Requested []ident.AttemptID
}

// versionMessageStart is the first byte of the datagram of a VersionMessage, which in
// msgpack says: an array of six fields.
const versionMessageStart = 0x96

// SplitItem is a split in a message.
type SplitItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Service  ident.ServiceName
	Revision uint64
	Cells    []RangeItem
}

// RangeItem is a run of equal cells in a message.
type RangeItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Count     int
	Version   ident.SoftwareVersion
	SettledAt ident.StoreTime
}

// AdoptedItem says which revision of the split of a service a router has adopted.
type AdoptedItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Service  ident.ServiceName
	Revision uint64
}

// OriginItem is the origin of a stream in a message. It has an age in place of a time,
// since the clocks of routers differ.
type OriginItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Attempt   ident.AttemptID
	Service   ident.ServiceName
	Version   ident.SoftwareVersion
	Workspace ident.WorkspaceID
	Age       ident.Milliseconds
}

// NewSplitItem returns the item of a split.
func NewSplitItem(adopted split.Split) SplitItem {
	item := SplitItem{Service: adopted.Service, Revision: adopted.Revision}
	for _, cells := range adopted.Ranges() {
		item.Cells = append(item.Cells, RangeItem{Count: cells.Count, Version: cells.Version, SettledAt: cells.SettledAt})
	}
	return item
}

// Split returns the split of the item, or an error if its cells are invalid.
func (item SplitItem) Split() (split.Split, error) {
	ranges := make([]split.Range, len(item.Cells))
	for i, cells := range item.Cells {
		ranges[i] = split.Range{Count: cells.Count, Version: cells.Version, SettledAt: cells.SettledAt}
	}
	return split.FromRanges(item.Service, item.Revision, ranges)
}

// NewOriginItem returns the item of an origin, as of now.
func NewOriginItem(now time.Time, origin split.Origin) OriginItem {
	return OriginItem{
		Attempt:   origin.Attempt,
		Service:   origin.Service,
		Version:   origin.Version,
		Workspace: origin.Workspace,
		Age:       ident.Milliseconds(now.Sub(origin.BeganAt).Milliseconds()),
	}
}

// Origin returns the origin of an item that was received now.
func (item OriginItem) Origin(now time.Time) split.Origin {
	return split.Origin{Attempt: item.Attempt, Service: item.Service, Version: item.Version, Workspace: item.Workspace, BeganAt: now.Add(-item.Age.Duration())}
}

// isVersionMessage reports whether a datagram holds a VersionMessage.
func isVersionMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == versionMessageStart
}

// decodeVersions returns the message in a datagram. It returns an error if the datagram
// is malformed, or if the router or its address is missing.
func decodeVersions(datagram []byte) (VersionMessage, error) {
	var message VersionMessage
	if err := unmarshal(datagram, &message); err != nil {
		return VersionMessage{}, err
	}
	if message.Router == "" || message.Address == "" {
		return VersionMessage{}, errors.New("gossip message: missing router or address")
	}
	return message, nil
}

// receiveVersions applies the VersionMessage in a datagram.
func (gossip *Gossip) receiveVersions(datagram []byte) error {
	message, err := decodeVersions(datagram)
	if err != nil || message.Router == gossip.Router {
		return err
	}
	gossip.mu.Lock()
	if peer := gossip.peers[message.Address]; peer != nil {
		peer.versionsRun = message.Router
	}
	gossip.mu.Unlock()
	if gossip.OnVersions != nil {
		gossip.OnVersions(time.Now(), message)
	}
	return nil
}

const (
	// versionsTimeout is how long after its first message a router has sent a
	// VersionMessage, unless its program knows none, and pingAfter when those that
	// have not are sent one that they answer.
	versionsTimeout = 3 * time.Second
	pingAfter       = time.Second
)

// Unconfirmed returns the addresses of the routers that should have sent a VersionMessage
// by now. One may have been lost.
func (gossip *Gossip) Unconfirmed(now time.Time) []string {
	return gossip.silentOnVersions(now, pingAfter)
}

// WithoutVersions returns the addresses of the routers whose program knows no splits.
func (gossip *Gossip) WithoutVersions(now time.Time) []string {
	return gossip.silentOnVersions(now, versionsTimeout)
}

// silentOnVersions returns the addresses of the routers whose run has sent no
// VersionMessage for the given time.
func (gossip *Gossip) silentOnVersions(now time.Time, timeout time.Duration) []string {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	var addresses []string
	for address, peer := range gossip.peers {
		// A program that understands summaries knows splits.
		if peer.router != "" && !peer.summaries && peer.versionsRun != peer.router && now.Sub(peer.runSince) > timeout {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// SendVersions sends a message about versions to the routers at the given addresses, or
// to all if there are none. It sets the sender.
func (gossip *Gossip) SendVersions(message VersionMessage, addresses ...string) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	message.Router, message.Address = gossip.Router, gossip.Address
	datagram := gossip.encode(message)
	if len(addresses) == 0 {
		for _, peer := range gossip.peers {
			gossip.send(datagram, peer)
		}
		return
	}
	for _, address := range addresses {
		if peer := gossip.peers[address]; peer != nil {
			gossip.send(datagram, peer)
		}
	}
}

// sendSplits sends splits to one router. The caller holds mu.
func (gossip *Gossip) sendSplits(splits []split.Split, peer *peer) {
	message := VersionMessage{Router: gossip.Router, Address: gossip.Address}
	for _, adopted := range splits {
		message.Splits = append(message.Splits, NewSplitItem(adopted))
	}
	gossip.send(gossip.encode(message), peer)
}
