package gossip

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/strike"
)

// StrikeMessage is what a router sends to the others about strikes, in a datagram
// of its own: a router that does not know these leaves them and reads every
// Message. It is encoded as a msgpack array, as Message is.
type StrikeMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router.
	Router balance.RouterID
	// Strikes are the crashes of upstreams while they ran a request, and
	// Successes the requests with strikes that succeeded since.
	Strikes   []StrikeItem
	Successes []SuccessItem
}

// strikeMessageStart is the first byte of the datagram of a StrikeMessage, which in
// msgpack says: an array of three fields. A Message has more.
const strikeMessageStart = 0x93

// StrikeItem is a strike in a message. It has an age in place of a time, since
// the clocks of routers differ.
type StrikeItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Fingerprint ident.Fingerprint
	Upstream    ident.UpstreamID
	Incarnation registry.Incarnation
	Age         ident.Milliseconds
	// Ran is how long the request ran before the crash.
	Ran ident.Milliseconds
}

// SuccessItem is the success of a request in a message.
type SuccessItem struct {
	//lint:ignore U1000 msgpack reads its tag: an item is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Fingerprint ident.Fingerprint
	Age         ident.Milliseconds
}

// newStrikeMessage returns the message of a router with report, as of now.
func newStrikeMessage(now time.Time, router balance.RouterID, report strike.Report) StrikeMessage {
	message := StrikeMessage{Router: router}
	for _, strike := range report.Strikes {
		item := StrikeItem{
			Fingerprint: strike.Fingerprint,
			Upstream:    strike.Upstream,
			Incarnation: strike.Incarnation,
			Age:         ident.Milliseconds(now.Sub(strike.At).Milliseconds()),
		}
		if !strike.SentAt.IsZero() {
			item.Ran = ident.Milliseconds(strike.At.Sub(strike.SentAt).Milliseconds())
		}
		message.Strikes = append(message.Strikes, item)
	}
	for _, success := range report.Successes {
		message.Successes = append(message.Successes, SuccessItem{
			Fingerprint: success.Fingerprint,
			Age:         ident.Milliseconds(now.Sub(success.At).Milliseconds()),
		})
	}
	return message
}

// report returns the strikes and successes of a message that was received now.
func (message *StrikeMessage) report(now time.Time) strike.Report {
	var report strike.Report
	for _, item := range message.Strikes {
		at := now.Add(-item.Age.Duration())
		report.Strikes = append(report.Strikes, strike.Strike{
			Fingerprint: item.Fingerprint,
			Upstream:    item.Upstream,
			Incarnation: item.Incarnation,
			SentAt:      at.Add(-item.Ran.Duration()),
			At:          at,
		})
	}
	for _, item := range message.Successes {
		report.Successes = append(report.Successes, strike.Success{Fingerprint: item.Fingerprint, At: now.Add(-item.Age.Duration())})
	}
	return report
}

// isStrikeMessage reports whether a datagram holds a StrikeMessage.
func isStrikeMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == strikeMessageStart
}

// decodeStrikes returns the message in a datagram. It returns an error if the
// datagram is malformed or if the router is missing.
func decodeStrikes(datagram []byte) (StrikeMessage, error) {
	var message StrikeMessage
	if err := msgpack.Unmarshal(datagram, &message); err != nil {
		return StrikeMessage{}, err
	}
	if message.Router == "" {
		return StrikeMessage{}, errors.New("gossip message: missing router")
	}
	return message, nil
}
