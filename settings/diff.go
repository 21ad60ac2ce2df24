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

// Difference is what changed at one path. A nil value means that there was,
// or is, no setting.
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

// Diff returns what changed from before to after, in the order of the paths.
// Either may be nil.
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

// Undo returns the values of a change that undoes entry.
func Undo(entry Entry) map[Path]json.RawMessage {
	values := make(map[Path]json.RawMessage, len(entry.Differences))
	for _, difference := range entry.Differences {
		values[difference.Path] = difference.Before
	}
	return values
}

// CheckUndo refuses with RevisionConflict to undo entry in subtree, the team's
// settings now, where a later change has touched one of its paths.
func CheckUndo(subtree *Subtree, entry Entry) error {
	for _, difference := range entry.Differences {
		address, err := ParsePath(difference.Path)
		if err != nil {
			return err
		}
		if present := subtree.Value(address); !bytes.Equal(present, difference.After) {
			return result.Errorf(result.RevisionConflict, "%s: a later change touched it: revision %d left %s, and %s is there now", difference.Path, entry.Revision, orNone(difference.After), orNone(present))
		}
	}
	return nil
}

func orNone(raw json.RawMessage) string {
	if raw == nil {
		return "no setting"
	}
	return string(raw)
}

// Delta is the step from one revision of a team to a later one: a nil value
// deletes its path.
type Delta struct {
	Team     ident.TeamID
	Base     ident.Revision
	Revision ident.Revision
	Values   map[Path]json.RawMessage
}

// NewDelta returns the step from before to after, two revisions of one team.
func NewDelta(before, after *Subtree) Delta {
	delta := Delta{Team: after.Team, Base: before.Revision, Revision: after.Revision, Values: make(map[Path]json.RawMessage)}
	for _, difference := range Diff(before, after) {
		delta.Values[difference.Path] = difference.After
	}
	return delta
}

// Apply returns the later revision that delta leads to from subtree, or false
// where subtree is not the revision that it builds on.
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
		if deletes(raw) {
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
