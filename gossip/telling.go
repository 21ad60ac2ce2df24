package gossip

import (
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// wholeEvery is the time between two messages that tell of all requests in
	// flight, which make up for lost ones.
	wholeEvery = time.Second
	// tellings is how many messages in a row tell of the same change: one that is
	// lost does no harm.
	tellings = 2
)

// telling knows what the last messages told of the requests in flight. The zero
// value has told nothing.
type telling struct {
	told balance.Counts
	// left counts the messages that have still to tell of an upstream.
	left    map[ident.UpstreamID]int
	wholeAt time.Time
}

// next returns what the next message tells where the requests in flight are own:
// all of them, or those that changed of late.
func (telling *telling) next(now time.Time, own balance.Counts) (counts balance.Counts, whole bool) {
	telling.compare(own)
	if !now.Before(telling.wholeAt.Add(wholeEvery)) {
		telling.wholeAt = now
		telling.spend()
		return own, true
	}
	changed := make(balance.Counts, len(telling.left))
	for upstream := range telling.left {
		changed[upstream] = own[upstream]
	}
	telling.spend()
	return changed, false
}

// spend takes one message off those that have to tell of a change.
func (telling *telling) spend() {
	for upstream, left := range telling.left {
		if left == 1 {
			delete(telling.left, upstream)
			continue
		}
		telling.left[upstream] = left - 1
	}
}

// compare notes where own differs from what was told.
func (telling *telling) compare(own balance.Counts) {
	if telling.left == nil {
		telling.left = make(map[ident.UpstreamID]int)
	}
	for upstream, load := range own {
		if telling.told[upstream] != load {
			telling.left[upstream] = tellings
		}
	}
	for upstream := range telling.told {
		if _, stays := own[upstream]; !stays {
			telling.left[upstream] = tellings
		}
	}
	telling.told = own
}
