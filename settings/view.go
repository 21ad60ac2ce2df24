package settings

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// View is an immutable set of subtrees, one per team. The zero value is empty.
type View struct {
	teams map[ident.TeamID]*Subtree
}

// Adopt returns a view with subtree in force, and whether it was newer than
// what was in force. An older or equal revision changes nothing.
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

// Team returns the subtree of a team, or nil.
func (view *View) Team(team ident.TeamID) *Subtree {
	if view == nil {
		return nil
	}
	return view.teams[team]
}

// Teams returns the number of teams.
func (view *View) Teams() int {
	if view == nil {
		return 0
	}
	return len(view.teams)
}

// TeamIDs returns the teams in order.
func (view *View) TeamIDs() []ident.TeamID {
	if view == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(view.teams))
}

// Revision returns the revision in force of a team; zero means none.
func (view *View) Revision(team ident.TeamID) ident.Revision {
	subtree := view.Team(team)
	if subtree == nil {
		return 0
	}
	return subtree.Revision
}

// Revisions returns the revision in force of each team.
func (view *View) Revisions() map[ident.TeamID]ident.Revision {
	revisions := make(map[ident.TeamID]ident.Revision, view.Teams())
	for _, team := range view.TeamIDs() {
		revisions[team] = view.Revision(team)
	}
	return revisions
}

// Digest returns a hash of the revisions in force: two views with the same
// digest hold the same settings.
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
