package settings

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Count returns the number of settings of the subtree.
func (subtree *Subtree) Count() int {
	if subtree == nil {
		return 0
	}
	return len(subtree.Routes) + len(subtree.Workspaces) + len(subtree.Priorities) + len(subtree.Placements)
}

// Value returns the JSON form of the setting at address, or nil if there is none.
func (subtree *Subtree) Value(address Address) json.RawMessage {
	if subtree == nil || address.Team != subtree.Team {
		return nil
	}
	switch address.Kind {
	case KindRoute:
		return encode(subtree.Routes, ident.RouteName(address.Name))
	case KindWorkspace:
		return encode(subtree.Workspaces, ident.WorkspaceID(address.Name))
	case KindPriority:
		return encode(subtree.Priorities, ident.Priority(address.Name))
	case KindPlacement:
		return encode(subtree.Placements, address.Name)
	}
	return nil
}

// Names returns the names of the settings of kind, in order.
func (subtree *Subtree) Names(kind Kind) []string {
	if subtree == nil {
		return nil
	}
	switch kind {
	case KindRoute:
		return names(subtree.Routes)
	case KindWorkspace:
		return names(subtree.Workspaces)
	case KindPriority:
		return names(subtree.Priorities)
	case KindPlacement:
		return names(subtree.Placements)
	}
	return nil
}

// Values returns every setting of the subtree by its path.
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

// clone returns a copy that may be written to.
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

// set checks raw and stores it at address.
func (subtree *Subtree) set(address Address, raw json.RawMessage) error {
	switch address.Kind {
	case KindRoute:
		return store(&subtree.Routes, ident.RouteName(address.Name), address, raw)
	case KindWorkspace:
		return store(&subtree.Workspaces, ident.WorkspaceID(address.Name), address, raw)
	case KindPriority:
		return store(&subtree.Priorities, ident.Priority(address.Name), address, raw)
	}
	return store(&subtree.Placements, address.Name, address, raw)
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

func encode[K comparable, V any](collection map[K]V, name K) json.RawMessage {
	value, found := collection[name]
	if !found {
		return nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		// The kinds hold only strings, numbers that validation bounds, and booleans.
		panic(err)
	}
	return raw
}

func store[K comparable, V any](collection *map[K]V, name K, address Address, raw json.RawMessage) error {
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

func names[K ~string, V any](collection map[K]V) []string {
	sorted := make([]string, 0, len(collection))
	for name := range collection {
		sorted = append(sorted, string(name))
	}
	slices.Sort(sorted)
	return sorted
}
