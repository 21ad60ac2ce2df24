package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// ReportTime is how long after its end an evacuation is still reported to other routers. A
// router that was cut off for longer reports its outdated state itself, and is corrected.
const ReportTime = time.Minute

// State says whether a zone is evacuated at a revision of the store.
type State struct {
	Zone      ident.Zone
	Revision  ident.Revision
	Evacuated bool
}

// Result is what applying states changed.
type Result struct {
	// Changed are the zones whose evacuation began or ended.
	Changed []State
	// Outdated holds, for each zone on which the input was out of date, the newer state that
	// the Tracker has.
	Outdated []State
}

// Tracker holds the newest known state of each zone. The zero value has no evacuated zone.
// It is safe for concurrent use. On a nil Tracker, Evacuated and Report return nothing; the
// other methods need a non-nil one.
type Tracker struct {
	mu sync.Mutex
	// readAt is the revision up to which the store was read: a zone that is not in zones
	// is not evacuated at it, and the state of the others holds at it.
	readAt ident.Revision
	zones  map[ident.Zone]record
}

// record is the state of a zone in a Tracker.
type record struct {
	State
	// changedAt is when the evacuation began or ended, as far as this router knows.
	changedAt time.Time
}

// Replace applies a complete read of the rows at version, which found the given zones
// evacuated. All others are not evacuated at it.
func (tracker *Tracker) Replace(now time.Time, version ident.Revision, evacuated []State) Result {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var result Result
	listed := make(map[ident.Zone]struct{}, len(evacuated))
	for _, state := range evacuated {
		listed[state.Zone] = struct{}{}
		// The row was there when the table had the version.
		state.Revision, state.Evacuated = max(state.Revision, version), true
		tracker.apply(now, state, &result)
	}
	for _, known := range tracker.sorted() {
		if _, found := listed[known.Zone]; !found && known.Evacuated {
			tracker.apply(now, State{Zone: known.Zone, Revision: version}, &result)
		}
	}
	tracker.readAt = max(tracker.readAt, version)
	return result
}

// Follow applies the rows that changed since the last read of the store, up to version.
func (tracker *Tracker) Follow(now time.Time, version ident.Revision, changed []State) Result {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var result Result
	for _, state := range changed {
		tracker.apply(now, state, &result)
	}
	tracker.readAt = max(tracker.readAt, version)
	return result
}

// Apply applies states received from another router.
func (tracker *Tracker) Apply(now time.Time, states []State) Result {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var result Result
	for _, state := range states {
		tracker.apply(now, state, &result)
	}
	return result
}

// apply applies one state unless a newer one is known. The caller holds mu.
func (tracker *Tracker) apply(now time.Time, state State, result *Result) {
	known := tracker.zones[state.Zone]
	knownAt := max(known.Revision, tracker.readAt)
	if state.Revision <= knownAt {
		if state.Evacuated != known.Evacuated && state.Revision < knownAt {
			result.Outdated = append(result.Outdated, State{Zone: state.Zone, Revision: knownAt, Evacuated: known.Evacuated})
		}
		return
	}
	if tracker.zones == nil {
		tracker.zones = make(map[ident.Zone]record)
	}
	next := record{State: state, changedAt: known.changedAt}
	if state.Evacuated != known.Evacuated {
		next.changedAt = now
		result.Changed = append(result.Changed, state)
	}
	tracker.zones[state.Zone] = next
}

// sorted returns the known states by zone. The caller holds mu.
func (tracker *Tracker) sorted() []State {
	states := make([]State, 0, len(tracker.zones))
	for _, known := range tracker.zones {
		states = append(states, known.State)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Zone, b.Zone) })
	return states
}

// Evacuated returns the evacuated zones, sorted, and the revision up to which the store was
// read, which is zero before the first read.
func (tracker *Tracker) Evacuated() ([]State, ident.Revision) {
	if tracker == nil {
		return nil, 0
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return slices.DeleteFunc(tracker.sorted(), func(state State) bool { return !state.Evacuated }), tracker.readAt
}

// Report returns the states to send to other routers: the zones that are evacuated, or were
// within ReportTime. It removes the others that the reads of the store cover.
func (tracker *Tracker) Report(now time.Time) []State {
	if tracker == nil {
		return nil
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for zone, known := range tracker.zones {
		if !known.Evacuated && known.Revision <= tracker.readAt && now.Sub(known.changedAt) > ReportTime {
			delete(tracker.zones, zone)
		}
	}
	return slices.DeleteFunc(tracker.sorted(), func(state State) bool {
		known := tracker.zones[state.Zone]
		return !known.Evacuated && (known.changedAt.IsZero() || now.Sub(known.changedAt) > ReportTime)
	})
}
