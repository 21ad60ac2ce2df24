package settings

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Count returns the number of settings of the subtree; zero for a nil subtree.
func (subtree *Subtree) Count() int {
	if subtree == nil {
		return 0
	}
	return len(subtree.Routes) + len(subtree.Workspaces) + len(subtree.Priorities) + len(subtree.Placements)
}

// Value returns the setting at address as JSON, or nil if it does not exist.
func (subtree *Subtree) Value(address Address) json.RawMessage {
	if subtree == nil || address.Team != subtree.Team {
		return nil
	}
	switch address.Kind {
	case KindRoute:
		return encodeValue(subtree.Routes, ident.RouteName(address.Name))
	case KindWorkspace:
		return encodeValue(subtree.Workspaces, ident.WorkspaceID(address.Name))
	case KindPriority:
		return encodeValue(subtree.Priorities, ident.Priority(address.Name))
	case KindPlacement:
		return encodeValue(subtree.Placements, address.Name)
	}
	return nil
}

// Names returns the sorted names of the settings of kind.
func (subtree *Subtree) Names(kind Kind) []string {
	if subtree == nil {
		return nil
	}
	switch kind {
	case KindRoute:
		return sortedNames(subtree.Routes)
	case KindWorkspace:
		return sortedNames(subtree.Workspaces)
	case KindPriority:
		return sortedNames(subtree.Priorities)
	case KindPlacement:
		return sortedNames(subtree.Placements)
	}
	return nil
}

// Values returns all settings of the subtree as JSON, keyed by path.
func (subtree *Subtree) Values() map[Path]json.RawMessage {
	values := make(map[Path]json.RawMessage, subtree.Count())
	for _, address := range subtree.addresses() {
		values[address.Path()] = subtree.Value(address)
	}
	return values
}

func (subtree *Subtree) addresses() []Address {
	if subtree == nil {
		return nil
	}
	addresses := make([]Address, 0, subtree.Count())
	for _, kind := range Kinds() {
		for _, name := range subtree.Names(kind) {
			addresses = append(addresses, Address{Team: subtree.Team, Kind: kind, Name: name})
		}
	}
	return addresses
}

// clone returns a copy that can be modified without affecting subtree.
func (subtree *Subtree) clone() *Subtree {
	return &Subtree{
		Team:       subtree.Team,
		Revision:   subtree.Revision,
		Routes:     maps.Clone(subtree.Routes),
		Workspaces: maps.Clone(subtree.Workspaces),
		Priorities: maps.Clone(subtree.Priorities),
		Placements: maps.Clone(subtree.Placements),
	}
}

// set decodes and validates raw and stores it at address.
func (subtree *Subtree) set(address Address, raw json.RawMessage) error {
	switch address.Kind {
	case KindRoute:
		return decodeInto(&subtree.Routes, ident.RouteName(address.Name), address, raw)
	case KindWorkspace:
		return decodeInto(&subtree.Workspaces, ident.WorkspaceID(address.Name), address, raw)
	case KindPriority:
		return decodeInto(&subtree.Priorities, ident.Priority(address.Name), address, raw)
	}
	return decodeInto(&subtree.Placements, address.Name, address, raw)
}

func (subtree *Subtree) remove(address Address) {
	switch address.Kind {
	case KindRoute:
		delete(subtree.Routes, ident.RouteName(address.Name))
	case KindWorkspace:
		delete(subtree.Workspaces, ident.WorkspaceID(address.Name))
	case KindPriority:
		delete(subtree.Priorities, ident.Priority(address.Name))
	case KindPlacement:
		delete(subtree.Placements, address.Name)
	}
}

func encodeValue[K comparable, V any](collection map[K]V, name K) json.RawMessage {
	value, found := collection[name]
	if !found {
		return nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		// Cannot fail: the types have only strings, booleans and numbers that
		// validation limits to finite values.
		panic(err)
	}
	return raw
}

func decodeInto[K comparable, V any](collection *map[K]V, name K, address Address, raw json.RawMessage) error {
	value, err := decode[V](address.Path(), raw)
	if err != nil {
		return err
	}
	if *collection == nil {
		*collection = make(map[K]V)
	}
	(*collection)[name] = value
	return nil
}

func sortedNames[K ~string, V any](collection map[K]V) []string {
	sorted := make([]string, 0, len(collection))
	for name := range collection {
		sorted = append(sorted, string(name))
	}
	slices.Sort(sorted)
	return sorted
}
