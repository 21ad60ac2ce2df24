package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// ColdMessage is what a router sends to the others about upstreams that are cold, or no
// longer are, in a datagram of its own, as a StrikeMessage is. Its fields after the first are
// lists of equal length, with one element for each upstream.
type ColdMessage struct {
	//lint:ignore U1000 msgpack reads its tag: a message is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Router identifies the run of the sending router.
	Router       balance.RouterID
	Upstreams    []ident.UpstreamID
	Incarnations []registry.Incarnation
	// Remaining are how much longer the upstreams are cold, zero for one that is not.
	Remaining []ident.Milliseconds
	// Failed says which could not be reached, or broke off, and have not answered since.
	Failed   []bool
	Sources  []quota.ColdSource
	Versions []ident.Revision
	// Ages are in place of times, since the clocks of routers differ.
	Ages []ident.Milliseconds
}

const (
	// coldMessageStart is the first byte of the datagram of a ColdMessage, which in msgpack
	// says: an array of eight fields.
	coldMessageStart = 0x98
	// maxColdRemaining limits for how long a message may say that an upstream is cold.
	maxColdRemaining = ident.Milliseconds(time.Hour / time.Millisecond)
	// maxColdsPerMessage limits the upstreams in a message, so that it fits into a datagram
	// with the longest identifiers.
	maxColdsPerMessage = 25
	// coldBytesPerSecond limits what a router sends of its own knowledge: a tenth of what it
	// may send for control. coldEntryBytes is what an upstream takes in a message.
	coldBytesPerSecond = 500
	coldEntryBytes     = 60
)

// newColdMessage returns the message of a router with what is known of upstreams, as of now.
func newColdMessage(now time.Time, router balance.RouterID, colds []quota.Cold) ColdMessage {
	message := ColdMessage{Router: router}
	for _, cold := range colds {
		message.Upstreams = append(message.Upstreams, cold.Upstream)
		message.Incarnations = append(message.Incarnations, cold.Incarnation)
		message.Remaining = append(message.Remaining, ident.Milliseconds(max(cold.Until.Sub(now), 0).Milliseconds()))
		message.Failed = append(message.Failed, cold.Failed)
		message.Sources = append(message.Sources, cold.Source)
		message.Versions = append(message.Versions, cold.Version)
		message.Ages = append(message.Ages, ident.Milliseconds(max(now.Sub(cold.SeenAt), 0).Milliseconds()))
	}
	return message
}

// colds returns what a message says that was received now.
func (message *ColdMessage) colds(now time.Time) []quota.Cold {
	colds := make([]quota.Cold, 0, len(message.Upstreams))
	for i, upstream := range message.Upstreams {
		cold := quota.Cold{
			Upstream:    upstream,
			Incarnation: message.Incarnations[i],
			Failed:      message.Failed[i],
			Source:      message.Sources[i],
			Version:     message.Versions[i],
			SeenAt:      now.Add(-message.Ages[i].Duration()),
		}
		if message.Remaining[i] > 0 {
			cold.Until = now.Add(message.Remaining[i].Duration())
		}
		colds = append(colds, cold)
	}
	return colds
}

// isColdMessage reports whether a datagram holds a ColdMessage.
func isColdMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == coldMessageStart
}

// decodeColds returns the message in a datagram. It returns an error if the datagram is
// malformed, if the router is missing, or if the lists are not of equal length or have
// invalid elements.
func decodeColds(datagram []byte) (ColdMessage, error) {
	var message ColdMessage
	if err := unmarshal(datagram, &message); err != nil {
		return ColdMessage{}, err
	}
	if message.Router == "" {
		return ColdMessage{}, errors.New("gossip message: missing router")
	}
	count := len(message.Upstreams)
	for _, length := range []int{len(message.Incarnations), len(message.Remaining), len(message.Failed), len(message.Sources), len(message.Versions), len(message.Ages)} {
		if length != count {
			return ColdMessage{}, errors.Newf("gossip message: got lists of %d and %d elements, want equal ones", count, length)
		}
	}
	for i, upstream := range message.Upstreams {
		if upstream == "" || message.Remaining[i] < 0 || message.Remaining[i] > maxColdRemaining || message.Ages[i] < 0 {
			return ColdMessage{}, errors.Newf("gossip message: invalid cold upstream %q: remaining %d, age %d", upstream, message.Remaining[i], message.Ages[i])
		}
	}
	return message, nil
}

// coldsDue reports whether a ColdMessage has to be sent now. The first one waits for a random
// time, in which another router of the group may report the same failure, and for longer if one
// message doesn't hold all that is new. The caller holds mu.
func (gossip *Gossip) coldsDue(now time.Time) bool {
	pending := gossip.Quota.PendingColds()
	if pending == 0 {
		gossip.coldsAt, gossip.coldsPostponed = time.Time{}, false
		return false
	}
	if gossip.coldsAt.IsZero() {
		gossip.coldsAt = now.Add(rand.N(sendInterval))
		if gossip.coldsAt.Before(gossip.coldsPausedUntil) {
			gossip.coldsAt = gossip.coldsPausedUntil
		}
	}
	if now.Before(gossip.coldsAt) {
		return false
	}
	partners := max(gossip.topology.sends, 1)
	if pending > coldsPerMessage(partners) && !gossip.coldsPostponed {
		gossip.coldsPostponed = true
		gossip.coldsAt = now.Add(rand.N(coldPause(partners * coldEntryBytes)))
		return false
	}
	return true
}

// coldsPerMessage returns how many upstreams a message to so many routers may hold.
func coldsPerMessage(partners int) int {
	return max(min(coldBytesPerSecond/(partners*coldEntryBytes), maxColdsPerMessage), 1)
}

// coldPause returns the time in which a router may send so many bytes on cold upstreams.
func coldPause(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / coldBytesPerSecond
}

// sendColds sends what is new of cold upstreams to the routers of the group and to the
// receivers of its summaries. The caller holds mu.
func (gossip *Gossip) sendColds(now time.Time) {
	gossip.coldsAt = time.Time{}
	partners := max(gossip.topology.sends, 1)
	colds := gossip.Quota.TakeColds(coldsPerMessage(partners))
	if len(colds) == 0 {
		return
	}
	datagram := gossip.encode(newColdMessage(now, gossip.Router, colds))
	for _, peers := range [][]*peer{gossip.topology.direct, gossip.topology.receivers} {
		for _, peer := range peers {
			gossip.sendAll(now, peer, [][]byte{datagram})
		}
	}
	gossip.coldsPausedUntil = now.Add(coldPause(partners * len(datagram)))
}

// receiveColds applies the ColdMessage in a datagram. What is new in it is relayed. Failures
// that a router of the group has reported are not reported again.
func (gossip *Gossip) receiveColds(now time.Time, datagram []byte) error {
	message, err := decodeColds(datagram)
	if err != nil || message.Router == gossip.Router {
		return err
	}
	colds := message.colds(now)
	if gossip.inGroup(message.Router) {
		gossip.Quota.DropFailures(colds)
	}
	if gossip.Quota.ApplyColds(now, colds) {
		gossip.relayNews(message.Router, datagram)
	}
	return nil
}

// inGroup reports whether a run of a router belongs to the group of this router.
func (gossip *Gossip) inGroup(router balance.RouterID) bool {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return slices.Contains(gossip.memberRuns(), router)
}
