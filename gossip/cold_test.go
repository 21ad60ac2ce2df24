package gossip

import (
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestColdMessage checks that what is known of a cold upstream is received as it was sent,
// with times in place of ages, and guards against a datagram that another kind of message is
// taken for, and against lists from which elements are missing.
func TestColdMessage(t *testing.T) {
	now := time.Date(2026, 12, 6, 6, 0, 0, 0, time.UTC)
	sent := []quota.Cold{
		{Upstream: "i-1", Incarnation: 7, Until: now.Add(2 * time.Second), Source: quota.ColdRow, Version: 9, SeenAt: now.Add(-time.Second)},
		{Upstream: "i-2", Incarnation: 8, Failed: true, Source: quota.ColdFailure, Version: 3, SeenAt: now},
	}
	datagram, err := encode(newColdMessage(now, "x", sent))
	if err != nil {
		t.Fatal(err)
	}
	if !isColdMessage(datagram) || isLimitMessage(datagram) || isVersionMessage(datagram) || isHelloMessage(datagram) || isSummaryMessage(datagram) || isStrikeMessage(datagram) || isColdMessage(nil) {
		t.Errorf("got first byte %#x, want that of an array of eight fields alone", datagram[0])
	}
	if _, err := Decode(datagram); err == nil {
		t.Error("got a Message for a router of the earlier program, want an error")
	}
	message, err := decodeColds(datagram)
	if err != nil {
		t.Fatal(err)
	}
	later := now.Add(time.Hour)
	received := message.colds(later)
	if len(received) != len(sent) {
		t.Fatalf("got %d states, want %d", len(received), len(sent))
	}
	for i, want := range sent {
		want.SeenAt = want.SeenAt.Add(time.Hour)
		if !want.Until.IsZero() {
			want.Until = want.Until.Add(time.Hour)
		}
		if received[i] != want {
			t.Errorf("got %+v, want %+v", received[i], want)
		}
	}
	whole := ColdMessage{
		Router: "x", Upstreams: []ident.UpstreamID{"i-1"}, Incarnations: []registry.Incarnation{1}, Remaining: []ident.Milliseconds{1},
		Failed: []bool{false}, Sources: []quota.ColdSource{99}, Versions: []ident.Revision{1}, Ages: []ident.Milliseconds{0},
	}
	for name, change := range map[string]func(message *ColdMessage){
		"no router":             func(message *ColdMessage) { message.Router = "" },
		"no upstream":           func(message *ColdMessage) { message.Upstreams = []ident.UpstreamID{""} },
		"an incarnation less":   func(message *ColdMessage) { message.Incarnations = nil },
		"an age less":           func(message *ColdMessage) { message.Ages = nil },
		"cold for years":        func(message *ColdMessage) { message.Remaining = []ident.Milliseconds{1 << 50} },
		"remaining below zero":  func(message *ColdMessage) { message.Remaining = []ident.Milliseconds{-1} },
		"seen in the future":    func(message *ColdMessage) { message.Ages = []ident.Milliseconds{-5000} },
		"one failure too many":  func(message *ColdMessage) { message.Failed = []bool{true, true} },
		"nothing, as it should": nil,
	} {
		message := whole
		if change != nil {
			change(&message)
		}
		datagram, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeColds(datagram); (err == nil) != (change == nil) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	var longest []quota.Cold
	for range maxColdsPerMessage {
		longest = append(longest, quota.Cold{Upstream: ident.UpstreamID(strings.Repeat("i", ident.MaxLength)), Incarnation: 1 << 62, Version: 1 << 62, Until: now.Add(time.Hour), SeenAt: now})
	}
	if _, err := encode(newColdMessage(now, "x", longest)); err != nil {
		t.Errorf("got %v for the longest identifiers, want a datagram", err)
	}
	if got := quota.ColdSource(99).String(); got != "unknown" {
		t.Errorf("got source %q of a later program, want unknown", got)
	}
}
