package settings

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// View is an immutable set of subtrees, one per team. The zero value and nil are
// empty views. A View may be used concurrently.
type View struct {
	teams map[ident.TeamID]*Subtree
}

// Adopt returns a view in which subtree is in force, and true, if subtree is newer
// than the team's subtree in view. Otherwise it returns view and false.
func (view *View) Adopt(subtree *Subtree) (*View, bool) {
	present := view.Team(subtree.Team)
	if present != nil && present.Revision >= subtree.Revision {
		return view, false
	}
	adopted := &View{teams: make(map[ident.TeamID]*Subtree, view.Teams()+1)}
	if view != nil {
		maps.Copy(adopted.teams, view.teams)
	}
	adopted.teams[subtree.Team] = subtree
	return adopted, true
}

// Team returns the subtree of a team, or nil if the team has no settings.
func (view *View) Team(team ident.TeamID) *Subtree {
	if view == nil {
		return nil
	}
	return view.teams[team]
}

// Teams returns the number of teams with settings.
func (view *View) Teams() int {
	if view == nil {
		return 0
	}
	return len(view.teams)
}

// TeamIDs returns the sorted IDs of the teams with settings.
func (view *View) TeamIDs() []ident.TeamID {
	if view == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(view.teams))
}

// Revision returns the revision of a team that is in force, or zero if there is
// none.
func (view *View) Revision(team ident.TeamID) ident.Revision {
	subtree := view.Team(team)
	if subtree == nil {
		return 0
	}
	return subtree.Revision
}

// Revisions returns the revision in force of each team, in a new map.
func (view *View) Revisions() map[ident.TeamID]ident.Revision {
	revisions := make(map[ident.TeamID]ident.Revision, view.Teams())
	for _, team := range view.TeamIDs() {
		revisions[team] = view.Revision(team)
	}
	return revisions
}

// Digest returns a hash of the revisions in force. Views with the same digest
// have the same settings, except for hash collisions.
func (view *View) Digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, team := range view.TeamIDs() {
		hash.WriteString(string(team))
		var revision [9]byte
		binary.BigEndian.PutUint64(revision[1:], uint64(view.Revision(team)))
		hash.Write(revision[:])
	}
	return hash.Sum64()
}
