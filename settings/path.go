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

// Address is a parsed Path.
type Address struct {
	Team ident.TeamID
	Kind Kind
	Name string
}

// Path returns the path of the address.
func (address Address) Path() Path {
	return Path("/Teams/" + string(address.Team) + "/" + string(address.Kind) + "/" + address.Name)
}

// ParsePath parses and validates path. Its error is a result.Error with code
// InvalidSettings.
func ParsePath(path Path) (Address, error) {
	parts := strings.Split(string(path), "/")
	if len(parts) != 5 || parts[0] != "" || parts[1] != "Teams" {
		return Address{}, result.Errorf(result.InvalidSettings, "path %q: want /Teams/<team>/<kind>/<name>", truncate(string(path)))
	}
	address := Address{Team: ident.TeamID(parts[2]), Kind: Kind(parts[3]), Name: parts[4]}
	if !ident.Valid(address.Team) || !ident.Valid(address.Name) {
		return Address{}, result.Errorf(result.InvalidSettings, "path %q: team and name must have 1 to %d characters from letters, digits, '.', '_', '-', ':' and '@'", truncate(string(path)), ident.MaxLength)
	}
	if !address.Kind.known() {
		return Address{}, result.Errorf(result.InvalidSettings, "path %q: kind %q: want one of %s", path, truncate(string(address.Kind)), kindList())
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

// maxQuotedBytes is the maximum number of bytes of an invalid input that an error
// message quotes.
const maxQuotedBytes = 120

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
