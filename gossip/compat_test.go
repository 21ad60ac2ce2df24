package gossip

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/strike"
)

// messageBefore is the datagram of a Message as routers sent it before strikes
// were told.
const messageBefore = "dc0010a179cf0000000000000008a0d30000000000000000c0c2c0d30000000000000000d30000000000000000cf0000000000000000cf0000000000000000c0a0c0c3c2"

// TestMessagesOfEarlierRouters guards against a rolling upgrade in which routers of
// the old and the new program drop each other's messages: an array with another
// number of fields can't be decoded.
func TestMessagesOfEarlierRouters(t *testing.T) {
	datagram, err := hex.DecodeString(messageBefore)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(datagram)
	if err != nil || got.Router != "y" || got.Sequence != 8 || !got.Warm {
		t.Errorf("got %+v and error %v, want message 8 of router y", got, err)
	}
	encoded, err := encode(Message{Router: "y", Sequence: 8, Warm: true})
	if err != nil || hex.EncodeToString(encoded) != messageBefore {
		t.Errorf("got %x and error %v, want %s", encoded, err, messageBefore)
	}
}

// TestStrikeMessageIsToldFromOthers checks the byte by which datagrams are told
// apart, and that a strike is received as it was sent.
func TestStrikeMessageIsToldFromOthers(t *testing.T) {
	now := time.Now()
	want := strike.Strike{Fingerprint: 1<<63 + 5, Upstream: "i-1", Incarnation: 17, SentAt: now.Add(-2 * time.Second), At: now.Add(-time.Second)}
	strikes, err := encode(newStrikeMessage(now, "x", strike.Report{Strikes: []strike.Strike{want}, Successes: []strike.Success{{Fingerprint: 9, At: now}}}))
	if err != nil {
		t.Fatal(err)
	}
	message, err := encode(Message{Router: "x"})
	if err != nil {
		t.Fatal(err)
	}
	if !isStrikeMessage(strikes) || isStrikeMessage(message) || isStrikeMessage(nil) {
		t.Errorf("got strikes told as such: %t, others: %t, want only strikes", isStrikeMessage(strikes), isStrikeMessage(message))
	}
	decoded, err := decodeStrikes(strikes)
	if err != nil {
		t.Fatal(err)
	}
	report := decoded.report(now)
	if len(report.Strikes) != 1 || report.Strikes[0] != want || len(report.Successes) != 1 || report.Successes[0].Fingerprint != 9 {
		t.Errorf("got %+v, want %+v", report, want)
	}
}
