package gossip

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/registry"
)

// relay holds what the next summary says of the messages of this router's group, its own
// included. The zero value is empty.
type relay struct {
	delta    deltaEncoder[balance.UpstreamKey]
	sentAt   time.Time
	sequence uint64

	cacheUpdates []balance.CacheUpdate
	changes      []registry.Change
	outcomes     []health.Tally
	// datagrams are those about strikes. They were sent once already, and are sent once
	// more so that a lost one does no harm.
	datagrams [][]byte
	// membersHash is the hash of the members of the last summary, membersSent how many
	// summaries listed them, and repeatAt is when they are listed again.
	membersHash uint64
	membersSent int
	repeatAt    time.Time
}

// add adds what a message of a router of the group says: of its cache updates those given.
func (relay *relay) add(message Message, updates []balance.CacheUpdate) {
	relay.cacheUpdates = balance.AppendPending(relay.cacheUpdates, updates...)
	relay.changes = append(relay.changes, message.Changes...)
	relay.outcomes = append(relay.outcomes, message.Outcomes...)
}

// urgent reports whether there is something that receivers should learn at once.
func (relay *relay) urgent() bool {
	broken := slices.ContainsFunc(relay.outcomes, func(tally health.Tally) bool { return tally.Broken > 0 })
	return broken || len(relay.changes)+len(relay.datagrams) > 0
}

// takeFirst removes and returns the first items of queue, at most limit.
func takeFirst[Item any](queue *[]Item, limit int) []Item {
	count := min(len(*queue), limit)
	taken := (*queue)[:count:count]
	*queue = (*queue)[count:]
	return taken
}
