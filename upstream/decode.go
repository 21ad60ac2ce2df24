package upstream

import (
	"encoding/json"
	"math"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/jsonline"
)

// textLine is the line of a token with nothing but its text, as most are.
var textLine = jsonline.NewShape("Index", "Text")

// decodeToken reads one line of an engine's answer as json.Unmarshal does.
func decodeToken(line []byte) (Token, error) {
	index, text, found := textLine.Cut(line)
	if found && index <= math.MaxInt {
		return Token{Index: ident.Tokens(index), Text: text}, nil
	}
	var token Token
	err := json.Unmarshal(line, &token)
	return token, err
}
