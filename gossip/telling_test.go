package gossip

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

// listener is a router that hears another one.
type listener struct {
	loads    balance.Loads
	sequence uint64
}

func (listener *listener) hear(now time.Time, counts balance.Counts, whole bool) {
	listener.sequence++
	listener.loads.ApplyRemote(now, balance.RemoteCounts{Router: "other", Sequence: listener.sequence, Complete: whole, Counts: maps.Clone(counts)})
}

// TestTellingWithLoss loses any one message in a row, and more up to the next
// whole message, and wants the listener to know what is in flight.
func TestTellingWithLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var telling telling
		var heard listener
		now := time.Unix(1_000_000, 0)
		own := make(balance.Counts)
		lostBefore, broken := false, false
		upstreams := []ident.UpstreamID{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now = now.Add(tellEvery)
			own = maps.Clone(own)
			upstream := rapid.SampledFrom(upstreams).Draw(t, "upstream")
			if requests := rapid.IntRange(0, 3).Draw(t, "requests"); requests > 0 {
				own[upstream] = balance.Load{Requests: requests, PendingPrefill: ident.Tokens(requests * 10)}
			} else {
				delete(own, upstream)
			}
			counts, whole := telling.next(now, own)
			lost := rapid.Bool().Draw(t, "lost")
			broken = broken || lost && lostBefore
			lostBefore = lost
			if lost {
				continue
			}
			heard.hear(now, counts, whole)
			broken = broken && !whole
			if broken {
				continue
			}
			for _, upstream := range upstreams {
				if got, want := heard.loads.Estimate(now, upstream), own[upstream]; got != want {
					t.Fatalf("got %+v at %s, want %+v", got, upstream, want)
				}
			}
		}
	})
}

// TestTellingSaysWhatChanged wants each change told in two messages, and all of it from time to time.
func TestTellingSaysWhatChanged(t *testing.T) {
	var telling telling
	now := time.Unix(1_000_000, 0)
	own := balance.Counts{"a": {Requests: 1}, "b": {Requests: 2}}
	steps := []struct {
		after     time.Duration
		own       balance.Counts
		want      balance.Counts
		wantWhole bool
	}{
		{0, own, own, true},
		{tellEvery, own, own, false},
		{tellEvery, own, balance.Counts{}, false},
		{2 * tellEvery, balance.Counts{"a": {Requests: 1}}, balance.Counts{"b": {}}, false},
		{3 * tellEvery, balance.Counts{"a": {Requests: 1}}, balance.Counts{"b": {}}, false},
		{4 * tellEvery, balance.Counts{"a": {Requests: 1}}, balance.Counts{}, false},
		{wholeEvery, balance.Counts{"a": {Requests: 1}}, balance.Counts{"a": {Requests: 1}}, true},
		{2 * wholeEvery, balance.Counts{}, balance.Counts{}, true},
	}
	for _, step := range steps {
		got, whole := telling.next(now.Add(step.after), step.own)
		if !maps.Equal(got, step.want) || whole != step.wantWhole {
			t.Errorf("got %v, whole %t after %v, want %v, %t", got, whole, step.after, step.want, step.wantWhole)
		}
	}
}
