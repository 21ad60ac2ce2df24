package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Difference is the change at one path. A nil Before means that the setting did
// not exist, a nil After that it was deleted.
type Difference struct {
	Path   Path
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Entry is one accepted change in the history of a team.
type Entry struct {
	Team        ident.TeamID
	Revision    ident.Revision
	ChangeID    string
	At          time.Time
	Author      string `json:",omitempty"`
	Reason      string `json:",omitempty"`
	Differences []Difference
}

// Diff returns the differences between before and after, sorted by path. Either
// may be nil.
func Diff(before, after *Subtree) []Difference {
	old, current := before.Values(), after.Values()
	paths := make(map[Path]struct{}, len(current))
	for path := range old {
		paths[path] = struct{}{}
	}
	for path := range current {
		paths[path] = struct{}{}
	}
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if !bytes.Equal(old[path], current[path]) {
			differences = append(differences, Difference{Path: path, Before: old[path], After: current[path]})
		}
	}
	return differences
}

// Undo returns the values of a change that reverts entry.
func Undo(entry Entry) map[Path]json.RawMessage {
	values := make(map[Path]json.RawMessage, len(entry.Differences))
	for _, difference := range entry.Differences {
		values[difference.Path] = difference.Before
	}
	return values
}

// CheckUndo returns a result.Error with code RevisionConflict if a later change
// has modified one of the paths of entry, so that entry cannot be undone. subtree
// is the team's current settings.
func CheckUndo(subtree *Subtree, entry Entry) error {
	for _, difference := range entry.Differences {
		address, err := ParsePath(difference.Path)
		if err != nil {
			return err
		}
		if present := subtree.Value(address); !bytes.Equal(present, difference.After) {
			return result.Errorf(result.RevisionConflict, "%s: a later change touched it: the value was %s at revision %d and is %s now", difference.Path, formatValue(difference.After), entry.Revision, formatValue(present))
		}
	}
	return nil
}

func formatValue(raw json.RawMessage) string {
	if raw == nil {
		return "unset"
	}
	return string(raw)
}

// Delta is the difference between a revision of a team, Base, and a later one. A
// nil value deletes its path.
type Delta struct {
	Team     ident.TeamID
	Base     ident.Revision
	Revision ident.Revision
	Values   map[Path]json.RawMessage
}

// NewDelta returns the delta from before to after, two revisions of one team.
func NewDelta(before, after *Subtree) Delta {
	delta := Delta{Team: after.Team, Base: before.Revision, Revision: after.Revision, Values: make(map[Path]json.RawMessage)}
	for _, difference := range Diff(before, after) {
		delta.Values[difference.Path] = difference.After
	}
	return delta
}

// Apply returns a copy of subtree with delta applied. It returns false if subtree
// is not the delta's base, or if a value of the delta is not valid.
func (delta Delta) Apply(subtree *Subtree) (*Subtree, bool) {
	if subtree == nil || subtree.Team != delta.Team || subtree.Revision != delta.Base {
		return nil, false
	}
	next := subtree.clone()
	for path, raw := range delta.Values {
		address, err := ParsePath(path)
		if err != nil || address.Team != delta.Team {
			return nil, false
		}
		if isDelete(raw) {
			next.remove(address)
			continue
		}
		if next.set(address, raw) != nil {
			return nil, false
		}
	}
	next.Revision = delta.Revision
	return next, true
}
