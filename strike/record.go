package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// record holds when each upstream crashed while it ran one request. No more
// than neverAt crashes of an upstream are held.
type record map[ident.UpstreamID][]time.Time

// add takes in a strike and reports whether it tells of another crash.
func (record record) add(strike Strike) bool {
	crashes := record[strike.Upstream]
	for _, at := range crashes {
		if strike.At.Sub(at).Abs() <= repeatGap {
			return false
		}
	}
	if len(crashes) >= neverAt {
		return false
	}
	record[strike.Upstream] = append(crashes, strike.At)
	return true
}

// drop removes the crashes for which expired reports true.
func (record record) drop(expired func(at time.Time) bool) {
	for upstream, crashes := range record {
		var kept []time.Time
		for _, at := range crashes {
			if !expired(at) {
				kept = append(kept, at)
			}
		}
		record[upstream] = kept
		if len(kept) == 0 {
			delete(record, upstream)
		}
	}
}

// strikes returns the number of crashes held.
func (record record) strikes() int {
	strikes := 0
	for _, crashes := range record {
		strikes += len(crashes)
	}
	return strikes
}

// last returns when the request was last struck.
func (record record) last() time.Time {
	var last time.Time
	for _, crashes := range record {
		for _, at := range crashes {
			if at.After(last) {
				last = at
			}
		}
	}
	return last
}

func (record record) lessThan(other record) bool {
	if record.strikes() != other.strikes() {
		return record.strikes() < other.strikes()
	}
	return record.last().Before(other.last())
}
