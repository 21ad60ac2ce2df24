package gossip

import (
	"slices"
	"testing"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
)

// TestEvacuationMessage checks that states are received as they were sent, that the datagram
// is distinguished from others, and that an incomplete one is dropped.
func TestEvacuationMessage(t *testing.T) {
	want := []evacuation.State{{Zone: "a", Revision: 1 << 40, Evacuated: true}, {Zone: "b", Revision: 9}}
	datagram, err := encode(newEvacuationMessage("x", "10.0.0.1:1", want))
	if err != nil {
		t.Fatal(err)
	}
	others := isVersionMessage(datagram) || isStrikeMessage(datagram) || isLimitMessage(datagram) || isHelloMessage(datagram) || isSummaryMessage(datagram)
	if !isEvacuationMessage(datagram) || others || isEvacuationMessage(nil) {
		t.Errorf("got datagram %x, want it recognized as one of evacuations alone", datagram)
	}
	if _, err := Decode(datagram); err == nil {
		t.Error("got no error at a router of an earlier program, want the datagram dropped")
	}
	message, err := decodeEvacuations(datagram)
	if err != nil {
		t.Fatal(err)
	}
	if got := message.states(); !slices.Equal(got, want) || message.Router != "x" || message.Address != "10.0.0.1:1" {
		t.Errorf("got %+v of %q at %q, want %+v of x", got, message.Router, message.Address, want)
	}
	whole := newEvacuationMessage("x", "10.0.0.1:1", want)
	for name, spoil := range map[string]func(message *EvacuationMessage){
		"router":   func(message *EvacuationMessage) { message.Router = "" },
		"address":  func(message *EvacuationMessage) { message.Address = "" },
		"revision": func(message *EvacuationMessage) { message.Revisions = message.Revisions[:1] },
		"flag":     func(message *EvacuationMessage) { message.Evacuated = nil },
		"zero":     func(message *EvacuationMessage) { message.Revisions = []ident.Revision{0, 9} },
		"zone":     func(message *EvacuationMessage) { message.Zones = []ident.Zone{"", "b"} },
	} {
		t.Run(name, func(t *testing.T) {
			spoilt := whole
			spoil(&spoilt)
			datagram, err := encode(spoilt)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decodeEvacuations(datagram); err == nil {
				t.Errorf("got no error for an incomplete message, want one")
			}
		})
	}
}
