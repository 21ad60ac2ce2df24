package strike

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// maxUnsaved limits the writes, and the removals, that wait for the store.
const maxUnsaved = 4096

// Unsaved holds the strikes that have to be written to the store and those that
// have to be removed from it.
type Unsaved struct {
	Write  []Strike
	Remove []Strike
}

// Add adds the changes of another one.
func (unsaved *Unsaved) Add(other Unsaved) {
	unsaved.Write = append(unsaved.Write, other.Write...)
	unsaved.Remove = append(unsaved.Remove, other.Remove...)
}

// rowKey identifies the row of a strike.
type rowKey struct {
	fingerprint ident.Fingerprint
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
}

func (strike Strike) rowKey() rowKey {
	return rowKey{fingerprint: strike.Fingerprint, upstream: strike.Upstream, incarnation: strike.Incarnation}
}

// save has the strikes of a key written to the store if it has more than one and this
// process saw one of them. The caller holds mu.
func (guard *Guard) save(now time.Time, fingerprint ident.Fingerprint) {
	strikes := guard.tracker.Strikes(now, fingerprint)
	if guard.tracker.Count(now, fingerprint) < aloneStrikes || !anyOwn(strikes) {
		return
	}
	for _, strike := range strikes {
		if guard.markSaved(strike) {
			guard.unsaved.Write = append(guard.unsaved.Write, strike)
		}
	}
	guard.announceUnsaved()
}

// announceUnsaved calls OnUnsaved if there is something to write. The caller holds mu.
func (guard *Guard) announceUnsaved() {
	if guard.OnUnsaved != nil && len(guard.unsaved.Write)+len(guard.unsaved.Remove) > 0 {
		guard.OnUnsaved()
	}
}

// markSaved records that a strike is, or is about to be, a row of the store. It
// reports false if that was recorded before. The caller holds mu.
func (guard *Guard) markSaved(strike Strike) bool {
	if guard.saved == nil {
		guard.saved = make(map[rowKey]struct{})
	}
	if _, found := guard.saved[strike.rowKey()]; found {
		return false
	}
	guard.saved[strike.rowKey()] = struct{}{}
	return true
}

// SaveAgain has the strikes of all keys with more than one written to the store, which
// has lost some of them. Which router saw them does not matter.
func (guard *Guard) SaveAgain(now time.Time) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	for fingerprint := range guard.tracker.requests {
		if guard.tracker.Count(now, fingerprint) < aloneStrikes {
			continue
		}
		for _, strike := range guard.tracker.Strikes(now, fingerprint) {
			guard.markSaved(strike)
			guard.unsaved.Write = append(guard.unsaved.Write, strike)
		}
	}
	guard.unsaved.Write = newest(guard.unsaved.Write)
}

func anyOwn(strikes []Strike) bool {
	for _, strike := range strikes {
		if strike.Own {
			return true
		}
	}
	return false
}

// Reconcile returns the changes that give the rows which a call names what they should have: a strike
// that counts has its row, and no other one has any. The store may have performed the call behind
// later ones.
func (guard *Guard) Reconcile(now time.Time, call Unsaved) Unsaved {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	var changes Unsaved
	seen := make(map[rowKey]struct{})
	for _, removed := range firstOfEachRow(call.Remove, seen) {
		if _, counts := guard.saved[removed.rowKey()]; counts {
			changes.Write = append(changes.Write, guard.counted(now, removed.rowKey())...)
		} else {
			changes.Remove = append(changes.Remove, removed)
		}
	}
	for _, written := range firstOfEachRow(call.Write, seen) {
		if _, counts := guard.saved[written.rowKey()]; !counts {
			changes.Remove = append(changes.Remove, written)
		}
	}
	return changes
}

// firstOfEachRow returns the first strike of each row that is not in seen, and adds the rows to it.
func firstOfEachRow(strikes []Strike, seen map[rowKey]struct{}) []Strike {
	var first []Strike
	for _, strike := range strikes {
		if _, found := seen[strike.rowKey()]; !found {
			seen[strike.rowKey()] = struct{}{}
			first = append(first, strike)
		}
	}
	return first
}

// counted returns the strike of a row if it counts. The caller holds mu.
func (guard *Guard) counted(now time.Time, key rowKey) []Strike {
	strikes := guard.tracker.Strikes(now, key.fingerprint)
	return slices.DeleteFunc(slices.Clone(strikes), func(strike Strike) bool { return strike.rowKey() != key })
}

// removeStale has the rows of strikes removed from the store that no longer
// count. The caller holds mu.
func (guard *Guard) removeStale() {
	for key := range guard.saved {
		if !guard.tracker.has(key) {
			delete(guard.saved, key)
			guard.unsaved.Remove = append(guard.unsaved.Remove, Strike{Fingerprint: key.fingerprint, Upstream: key.upstream, Incarnation: key.incarnation})
		}
	}
	guard.announceUnsaved()
}

// TakeUnsaved returns the changes that have to be made in the store. The caller
// passes them to PutBackUnsaved if it can't make them.
func (guard *Guard) TakeUnsaved() Unsaved {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	unsaved := guard.unsaved
	guard.unsaved = Unsaved{}
	// A strike that counts again keeps its row.
	unsaved.Remove = slices.DeleteFunc(unsaved.Remove, func(strike Strike) bool {
		_, counts := guard.saved[strike.rowKey()]
		return counts
	})
	return unsaved
}

// PutBackUnsaved takes back changes that could not be made in the store. Beyond
// a bound it drops the oldest removals and then the oldest writes.
func (guard *Guard) PutBackUnsaved(unsaved Unsaved) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.unsaved.Write = newest(append(unsaved.Write, guard.unsaved.Write...))
	guard.unsaved.Remove = newest(append(unsaved.Remove, guard.unsaved.Remove...))
}

func newest(strikes []Strike) []Strike {
	return strikes[max(len(strikes)-maxUnsaved, 0):]
}
