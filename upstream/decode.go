package upstream

import (
	"encoding/json"
	"math"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/jsonline"
)

// textTokenShape is the shape of a line that has only an index and a text, as most
// lines of a stream do.
var textTokenShape = jsonline.NewShape("Index", "Text")

// decodeToken decodes one line of an engine's response. The result is that of
// json.Unmarshal, but lines of textTokenShape are decoded faster.
func decodeToken(line []byte) (Token, error) {
	index, text, found := textTokenShape.Parse(line)
	if found && index <= math.MaxInt {
		return Token{Index: ident.Tokens(index), Text: text}, nil
	}
	var token Token
	err := json.Unmarshal(line, &token)
	return token, err
}
