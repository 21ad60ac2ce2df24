package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// The limits on settings.
const (
	// MaxChangeValues is the maximum number of paths in one change.
	MaxChangeValues = 1000
	// MaxChangeBytes is the maximum total size of the values in one change.
	MaxChangeBytes ident.Bytes = 256 << 10
	// MaxValueBytes is the maximum size of one value.
	MaxValueBytes ident.Bytes = 4 << 10
	// MaxSettings is the maximum number of settings of one team.
	MaxSettings = 4000
	// MaxTextBytes is the maximum size of an author's name and of a reason, in
	// bytes.
	MaxTextBytes = 500
)

// Apply returns a copy of subtree at the next revision, with change applied. A
// nil subtree is that of a team without settings. Apply never modifies subtree.
// Its error is a result.Error with code InvalidSettings, SettingsLimit, NotOwner,
// PathNotFound or RevisionConflict.
func Apply(subtree *Subtree, change Change) (*Subtree, error) {
	if err := change.checkSize(); err != nil {
		return nil, err
	}
	if subtree == nil {
		subtree = &Subtree{Team: change.Team}
	}
	if err := checkBase(subtree, change); err != nil {
		return nil, err
	}
	next := subtree.clone()
	for _, path := range slices.Sorted(maps.Keys(change.Values)) {
		if err := next.apply(change, path); err != nil {
			return nil, err
		}
	}
	if count := next.Count(); count > MaxSettings {
		return nil, result.Errorf(result.SettingsLimit, "team %s would have %d settings, want at most %d", change.Team, count, MaxSettings)
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	next.Revision++
	return next, nil
}

func checkBase(subtree *Subtree, change Change) error {
	if subtree.Team != change.Team {
		return result.Errorf(result.NotOwner, "change of team %s cannot be applied to the settings of team %s", change.Team, subtree.Team)
	}
	if subtree.Revision != change.Base {
		return result.Errorf(result.RevisionConflict, "the change is based on revision %d, but team %s is at revision %d", change.Base, change.Team, subtree.Revision)
	}
	return nil
}

func (change Change) checkSize() error {
	if !ident.Valid(change.ID) {
		return result.Errorf(result.InvalidSettings, "change ID %q: want 1 to %d characters from letters, digits, '.', '_', '-', ':' and '@'", truncate(change.ID), ident.MaxLength)
	}
	if !ident.Valid(change.Team) {
		return result.Errorf(result.InvalidSettings, "team %q: want 1 to %d characters from letters, digits, '.', '_', '-', ':' and '@'", truncate(string(change.Team)), ident.MaxLength)
	}
	if len(change.Author) > MaxTextBytes || len(change.Reason) > MaxTextBytes {
		return result.Errorf(result.SettingsLimit, "author has %d bytes and reason has %d, want at most %d each", len(change.Author), len(change.Reason), MaxTextBytes)
	}
	if count := len(change.Values); count == 0 || count > MaxChangeValues {
		return result.Errorf(result.SettingsLimit, "change has %d paths, want 1 to %d", count, MaxChangeValues)
	}
	var total ident.Bytes
	for path, raw := range change.Values {
		size := ident.Bytes(len(raw))
		if size > MaxValueBytes {
			return result.Errorf(result.SettingsLimit, "%s: value has %d bytes, want at most %d", truncate(string(path)), size, MaxValueBytes)
		}
		total += size
	}
	if total > MaxChangeBytes {
		return result.Errorf(result.SettingsLimit, "values of the change have %d bytes, want at most %d", total, MaxChangeBytes)
	}
	return nil
}

func (subtree *Subtree) apply(change Change, path Path) error {
	address, err := ParsePath(path)
	if err != nil {
		return err
	}
	if address.Team != change.Team {
		return result.Errorf(result.NotOwner, "%s: team %s may change only /Teams/%s", path, change.Team, change.Team)
	}
	raw := change.Values[path]
	if !isDelete(raw) {
		return subtree.set(address, raw)
	}
	if subtree.Value(address) == nil {
		return result.Errorf(result.PathNotFound, "%s: there is nothing to delete", path)
	}
	subtree.remove(address)
	return nil
}

// isDelete reports whether a value of a change deletes its path.
func isDelete(raw json.RawMessage) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) == 0 || bytes.Equal(trimmed, []byte("null"))
}

// checkReferences returns an error if a route names a priority that the team does
// not have.
func (subtree *Subtree) checkReferences() error {
	for _, name := range sortedNames(subtree.Routes) {
		priority := subtree.Routes[ident.RouteName(name)].Priority
		if priority == "" {
			continue
		}
		if _, found := subtree.Priorities[priority]; !found {
			address := Address{Team: subtree.Team, Kind: KindRoute, Name: name}
			return result.Errorf(result.InvalidSettings, "%s: Priority is %q: want one of the team's priorities, %v", address.Path(), priority, sortedNames(subtree.Priorities))
		}
	}
	return nil
}

// Digest returns a hash of the team and the values of the change. A repeated
// change ID must have the same digest. White space in the JSON values does not
// count.
func (change Change) Digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	add := func(part string) {
		hash.WriteString(part)
		hash.Write([]byte{0})
	}
	add(string(change.Team))
	for _, path := range slices.Sorted(maps.Keys(change.Values)) {
		add(string(path))
		if raw := change.Values[path]; !isDelete(raw) {
			add(compactJSON(raw))
		}
		add("")
	}
	return hash.Sum64()
}

func compactJSON(raw json.RawMessage) string {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return string(raw)
	}
	return out.String()
}
