package gossip

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// LimitMessage is what a router sends to the others about the limits that upstreams
// name, in a datagram of its own, as a StrikeMessage is.
type LimitMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router.
	Router balance.RouterID
	Limits []LimitItem
}

// limitMessageStart is the first byte of the datagram of a LimitMessage, which in
// msgpack says: an array of two fields.
const limitMessageStart = 0x92

// LimitItem is a limit in a message. It has an age in place of a time, since the
// clocks of routers differ.
type LimitItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Upstream    ident.UpstreamID
	Incarnation registry.Incarnation
	// PerSecond is the limit in requests per second. Lifted says instead that the
	// upstream names none any more.
	PerSecond float64
	Lifted    bool
	Age       ident.Milliseconds
}

// newLimitMessage returns the message of a router with limits, as of now.
func newLimitMessage(now time.Time, router balance.RouterID, limits []quota.Limit) LimitMessage {
	message := LimitMessage{Router: router}
	for _, limit := range limits {
		message.Limits = append(message.Limits, LimitItem{
			Upstream:    limit.Upstream,
			Incarnation: limit.Incarnation,
			PerSecond:   limit.PerSecond,
			Lifted:      limit.Lifted,
			Age:         ident.Milliseconds(now.Sub(limit.SeenAt).Milliseconds()),
		})
	}
	return message
}

// limits returns the limits of a message that was received now.
func (message *LimitMessage) limits(now time.Time) []quota.Limit {
	var limits []quota.Limit
	for _, item := range message.Limits {
		limits = append(limits, quota.Limit{
			Upstream:    item.Upstream,
			Incarnation: item.Incarnation,
			PerSecond:   item.PerSecond,
			Lifted:      item.Lifted,
			SeenAt:      now.Add(-item.Age.Duration()),
		})
	}
	return limits
}

// isLimitMessage reports whether a datagram holds a LimitMessage.
func isLimitMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == limitMessageStart
}

// decodeLimits returns the message in a datagram. It returns an error if the datagram
// is malformed, if the router is missing or if a limit is invalid.
func decodeLimits(datagram []byte) (LimitMessage, error) {
	var message LimitMessage
	if err := unmarshal(datagram, &message); err != nil {
		return LimitMessage{}, err
	}
	if message.Router == "" {
		return LimitMessage{}, errors.New("gossip message: missing router")
	}
	for _, item := range message.Limits {
		if !(item.PerSecond >= 0) || item.Upstream == "" {
			return LimitMessage{}, errors.Newf("gossip message: invalid limit %+v", item)
		}
	}
	return message, nil
}
