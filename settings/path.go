package settings

import (
	"strings"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Kinds returns the kinds of settings in the order in which they are listed.
func Kinds() []Kind {
	return []Kind{KindRoute, KindWorkspace, KindPriority, KindPlacement}
}

// Address is a Path taken apart.
type Address struct {
	Team ident.TeamID
	Kind Kind
	Name string
}

// Path returns the path of the address.
func (address Address) Path() Path {
	return Path("/Teams/" + string(address.Team) + "/" + string(address.Kind) + "/" + address.Name)
}

// ParsePath takes path apart. Its error is a result.Error.
func ParsePath(path Path) (Address, error) {
	parts := strings.Split(string(path), "/")
	if len(parts) != 5 || parts[0] != "" || parts[1] != "Teams" {
		return Address{}, result.Errorf(result.InvalidSettings, "path %q: want /Teams/<team>/<kind>/<name>", clip(string(path)))
	}
	address := Address{Team: ident.TeamID(parts[2]), Kind: Kind(parts[3]), Name: parts[4]}
	if !ident.Valid(address.Team) || !ident.Valid(address.Name) {
		return Address{}, result.Errorf(result.InvalidSettings, "path %q: the team and the name must be 1 to %d of letters, digits, '.', '_', '-', ':' and '@'", clip(string(path)), ident.MaxLength)
	}
	if !address.Kind.known() {
		return Address{}, result.Errorf(result.InvalidSettings, "path %q: kind %q: want one of %s", path, clip(string(address.Kind)), kindList())
	}
	return address, nil
}

func (kind Kind) known() bool {
	for _, known := range Kinds() {
		if kind == known {
			return true
		}
	}
	return false
}

func kindList() string {
	names := make([]string, 0, len(Kinds()))
	for _, kind := range Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// clipLength is the longest part of a wrong input that an error repeats, in bytes.
const clipLength = 120

func clip(text string) string {
	if len(text) <= clipLength {
		return text
	}
	return text[:clipLength] + "..."
}
