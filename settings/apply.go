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
	// MaxChangeValues is the most paths of one change.
	MaxChangeValues = 1000
	// MaxChangeBytes is the most bytes of the values of one change.
	MaxChangeBytes ident.Bytes = 256 << 10
	// MaxValueBytes is the most bytes of one value.
	MaxValueBytes ident.Bytes = 4 << 10
	// MaxSettings is the most settings of one team.
	MaxSettings = 4000
	// MaxTextBytes is the most bytes of an author's name or a reason.
	MaxTextBytes = 500
)

// Apply returns subtree with change applied, at the next revision. The subtree
// of a team without settings is nil. Its error is a result.Error with code
// InvalidSettings, SettingsLimit, NotOwner, PathNotFound or RevisionConflict,
// and subtree is never altered.
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
		return nil, result.Errorf(result.SettingsLimit, "team %s would hold %d settings: at most %d", change.Team, count, MaxSettings)
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	next.Revision++
	return next, nil
}

func checkBase(subtree *Subtree, change Change) error {
	if subtree.Team != change.Team {
		return result.Errorf(result.NotOwner, "a change of team %s for the settings of team %s", change.Team, subtree.Team)
	}
	if subtree.Revision != change.Base {
		return result.Errorf(result.RevisionConflict, "the change builds on revision %d, and revision %d of team %s is there now", change.Base, subtree.Revision, change.Team)
	}
	return nil
}

func (change Change) checkSize() error {
	if !ident.Valid(change.ID) {
		return result.Errorf(result.InvalidSettings, "change ID %q: want 1 to %d of letters, digits, '.', '_', '-', ':' and '@'", clip(change.ID), ident.MaxLength)
	}
	if !ident.Valid(change.Team) {
		return result.Errorf(result.InvalidSettings, "team %q: want 1 to %d of letters, digits, '.', '_', '-', ':' and '@'", clip(string(change.Team)), ident.MaxLength)
	}
	if len(change.Author) > MaxTextBytes || len(change.Reason) > MaxTextBytes {
		return result.Errorf(result.SettingsLimit, "the author or the reason is too long: at most %d bytes", MaxTextBytes)
	}
	if count := len(change.Values); count == 0 || count > MaxChangeValues {
		return result.Errorf(result.SettingsLimit, "the change has %d paths: want 1 to %d", count, MaxChangeValues)
	}
	var total ident.Bytes
	for path, raw := range change.Values {
		size := ident.Bytes(len(raw))
		if size > MaxValueBytes {
			return result.Errorf(result.SettingsLimit, "%s: the value has %d bytes: at most %d", clip(string(path)), size, MaxValueBytes)
		}
		total += size
	}
	if total > MaxChangeBytes {
		return result.Errorf(result.SettingsLimit, "the change has %d bytes: at most %d", total, MaxChangeBytes)
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
	if !deletes(raw) {
		return subtree.set(address, raw)
	}
	if subtree.Value(address) == nil {
		return result.Errorf(result.PathNotFound, "%s: there is nothing to delete", path)
	}
	subtree.remove(address)
	return nil
}

// deletes reports whether a value of a change deletes its path.
func deletes(raw json.RawMessage) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) == 0 || bytes.Equal(trimmed, []byte("null"))
}

// checkReferences refuses settings that name others which are not there.
func (subtree *Subtree) checkReferences() error {
	for _, name := range names(subtree.Routes) {
		priority := subtree.Routes[ident.RouteName(name)].Priority
		if priority == "" {
			continue
		}
		if _, found := subtree.Priorities[priority]; !found {
			address := Address{Team: subtree.Team, Kind: KindRoute, Name: name}
			return result.Errorf(result.InvalidSettings, "%s: Priority is %q: want one of the team's priorities, %v", address.Path(), priority, names(subtree.Priorities))
		}
	}
	return nil
}

// Digest returns a hash of what the change asks for. A change ID that comes
// again must come with the same digest.
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
		if raw := change.Values[path]; !deletes(raw) {
			add(compact(raw))
		}
		add("")
	}
	return hash.Sum64()
}

func compact(raw json.RawMessage) string {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return string(raw)
	}
	return out.String()
}
