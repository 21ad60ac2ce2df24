package split

import (
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// settleMargin is added to the time for which a cell must have been settled: the
// store's clock is known only as of its last response.
const settleMargin = time.Second

// State is what a Tracker knows of the split of a service.
type State int

// The states.
const (
	// Unread means that the splits were not read yet.
	Unread State = iota
	// Missing means that the service has no split: its streams begin at any version.
	Missing
	// Assigned means that the version of the stream's cell is known.
	Assigned
)

// Tracker holds the splits that this router has adopted. The zero value has read none.
// A nil *Tracker has none. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	read   bool
	splits map[ident.ServiceName]Split
	// storeTime is the latest time of the store's clock, and storeTimeAt when it was
	// received.
	storeTime   ident.StoreTime
	storeTimeAt time.Time
}

// ObserveClock records the time of the store's clock in a response received now.
func (tracker *Tracker) ObserveClock(now time.Time, storeTime ident.StoreTime) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if storeTime > tracker.storeTimeOf(now) {
		tracker.storeTime, tracker.storeTimeAt = storeTime, now
	}
}

// StoreTime returns the time of the store's clock, or zero if it is not known. It may
// be early by as long as a call takes, and is never late.
func (tracker *Tracker) StoreTime(now time.Time) ident.StoreTime {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.storeTimeOf(now)
}

// storeTimeOf returns StoreTime. The caller holds mu.
func (tracker *Tracker) storeTimeOf(now time.Time) ident.StoreTime {
	if tracker.storeTimeAt.IsZero() {
		return 0
	}
	return tracker.storeTime + ident.StoreTime(now.Sub(tracker.storeTimeAt).Milliseconds())
}

// MarkRead records that all splits in the store were read.
func (tracker *Tracker) MarkRead() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.read = true
}

// Adopt puts a split in force unless a newer one is, and reports whether it did.
func (tracker *Tracker) Adopt(adopted Split) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if known, found := tracker.splits[adopted.Service]; found && !adopted.Newer(&known) {
		return false
	}
	if tracker.splits == nil {
		tracker.splits = make(map[ident.ServiceName]Split)
	}
	tracker.splits[adopted.Service] = adopted
	return true
}

// Split returns the split of a service that is in force, and whether there is one.
func (tracker *Tracker) Split(service ident.ServiceName) (Split, bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	split, found := tracker.splits[service]
	return split, found
}

// All returns the splits in force, in no particular order.
func (tracker *Tracker) All() []Split {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	all := make([]Split, 0, len(tracker.splits))
	for _, split := range tracker.splits {
		all = append(all, split)
	}
	return all
}

// Version returns the version at which a new stream of the service begins.
func (tracker *Tracker) Version(service ident.ServiceName, key Key) (ident.SoftwareVersion, State) {
	if tracker == nil {
		return "", Missing
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	split, found := tracker.splits[service]
	switch {
	case found:
		return split.Cells[key.Cell()].Version, Assigned
	case tracker.read:
		return "", Missing
	}
	return "", Unread
}

// Began returns the version at which a stream of the service began, if it began within
// lifetime. It reports false if routers may have begun it at another version. CertainAt
// is then when that will be certain, or the zero time if that is not known.
func (tracker *Tracker) Began(now time.Time, service ident.ServiceName, key Key, lifetime time.Duration) (version ident.SoftwareVersion, certainAt time.Time, certain bool) {
	if tracker == nil {
		return "", time.Time{}, false
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	split, found := tracker.splits[service]
	if !found {
		return "", time.Time{}, false
	}
	cell := split.Cells[key.Cell()]
	storeTime := tracker.storeTimeOf(now)
	if cell.SettledAt == 0 || storeTime == 0 {
		return "", time.Time{}, false
	}
	settledFor := time.Duration(storeTime-cell.SettledAt) * time.Millisecond
	certainAt = now.Add(lifetime + settleMargin - settledFor)
	return cell.Version, certainAt, !now.Before(certainAt)
}
