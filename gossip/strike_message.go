package gossip

import (
	"time"

	"github.com/cockroachdb/errors"

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

// KeyMessage is a StrikeMessage about other keys than whole requests.
type KeyMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Router    balance.RouterID
	Strikes   []StrikeItem
	Successes []SuccessItem
	// Kind is the kind of the keys. A router leaves a message with a kind that it
	// doesn't know.
	Kind KeyKind
}

// KeyKind is a kind of key that may be to blame for the crash of an upstream.
type KeyKind int

// The kinds.
const (
	// requestKey is the key of a request as a whole, which a StrikeMessage is about.
	requestKey KeyKind = 0
	// PartKey is the key of a part of a prompt.
	PartKey KeyKind = 1
	// TrialKey is the key of a request that runs alone. The strikes of such a message are
	// its trials, which the sending router proposes.
	TrialKey KeyKind = 2
)

// strikeMessageStart and keyMessageStart are the first bytes of the datagrams of a
// StrikeMessage and a KeyMessage, which in msgpack say: an array of three, or of
// four, fields. A Message has more.
const (
	strikeMessageStart = 0x93
	keyMessageStart    = 0x94
)

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

// strikeMessages returns the messages of a router with report, as of now: at most one each
// about requests, parts and trials.
func strikeMessages(now time.Time, router balance.RouterID, report strike.Report) []any {
	var requests, parts []StrikeItem
	for _, strike := range report.Strikes {
		item := newStrikeItem(now, strike)
		if strike.Part {
			parts = append(parts, item)
			continue
		}
		requests = append(requests, item)
	}
	var successes []SuccessItem
	for _, success := range report.Successes {
		successes = append(successes, SuccessItem{
			Fingerprint: success.Fingerprint,
			Age:         ident.Milliseconds(now.Sub(success.At).Milliseconds()),
		})
	}
	var messages []any
	if len(requests)+len(successes) > 0 {
		messages = append(messages, StrikeMessage{Router: router, Strikes: requests, Successes: successes})
	}
	if len(parts) > 0 {
		messages = append(messages, KeyMessage{Router: router, Strikes: parts, Kind: PartKey})
	}
	var trials []StrikeItem
	for _, trial := range report.Trials {
		trials = append(trials, StrikeItem{
			Fingerprint: trial.Fingerprint,
			Upstream:    trial.Upstream,
			Incarnation: trial.Incarnation,
			Age:         ident.Milliseconds(now.Sub(trial.At).Milliseconds()),
		})
	}
	if len(trials) > 0 {
		messages = append(messages, KeyMessage{Router: router, Strikes: trials, Kind: TrialKey})
	}
	return messages
}

// newStrikeItem returns the item of a strike in a message, as of now.
func newStrikeItem(now time.Time, strike strike.Strike) StrikeItem {
	item := StrikeItem{
		Fingerprint: strike.Fingerprint,
		Upstream:    strike.Upstream,
		Incarnation: strike.Incarnation,
		Age:         ident.Milliseconds(now.Sub(strike.At).Milliseconds()),
	}
	if !strike.SentAt.IsZero() {
		item.Ran = ident.Milliseconds(strike.At.Sub(strike.SentAt).Milliseconds())
	}
	return item
}

// report returns the strikes or trials, which are of the given kind, and the successes of a
// message that was received now. A message about an unknown kind of key has none.
func (message *KeyMessage) report(now time.Time) strike.Report {
	var report strike.Report
	for _, item := range message.Strikes {
		decoded := item.strike(now)
		switch message.Kind {
		case requestKey:
			report.Strikes = append(report.Strikes, decoded)
		case PartKey:
			decoded.Part = true
			report.Strikes = append(report.Strikes, decoded)
		case TrialKey:
			report.Trials = append(report.Trials, strike.Trial{
				Fingerprint: item.Fingerprint,
				Router:      string(message.Router),
				Upstream:    item.Upstream,
				Incarnation: item.Incarnation,
				At:          decoded.At,
			})
		}
	}
	for _, item := range message.Successes {
		report.Successes = append(report.Successes, strike.Success{Fingerprint: item.Fingerprint, At: now.Add(-item.Age.Duration())})
	}
	return report
}

// strike returns the strike of an item that was received now.
func (item *StrikeItem) strike(now time.Time) strike.Strike {
	at := now.Add(-item.Age.Duration())
	return strike.Strike{
		Fingerprint: item.Fingerprint,
		Upstream:    item.Upstream,
		Incarnation: item.Incarnation,
		SentAt:      at.Add(-item.Ran.Duration()),
		At:          at,
	}
}

// isStrikeMessage reports whether a datagram holds a StrikeMessage or a KeyMessage.
func isStrikeMessage(datagram []byte) bool {
	return len(datagram) > 0 && (datagram[0] == strikeMessageStart || datagram[0] == keyMessageStart)
}

// decodeStrikes returns the router that sent a datagram and the report in it, which
// was received now. It returns an error if the datagram is malformed or if the router
// is missing.
func decodeStrikes(now time.Time, datagram []byte) (balance.RouterID, strike.Report, error) {
	message, err := decodeStrikeMessage(datagram)
	switch {
	case err != nil:
		return "", strike.Report{}, err
	case message.Router == "":
		return "", strike.Report{}, errors.New("gossip message: missing router")
	}
	return message.Router, message.report(now), nil
}

// decodeStrikeMessage returns the message in a datagram.
func decodeStrikeMessage(datagram []byte) (KeyMessage, error) {
	if datagram[0] == keyMessageStart {
		var message KeyMessage
		err := unmarshal(datagram, &message)
		return message, err
	}
	var message StrikeMessage
	err := unmarshal(datagram, &message)
	return KeyMessage{Router: message.Router, Strikes: message.Strikes, Successes: message.Successes, Kind: requestKey}, err
}
