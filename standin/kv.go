package standin

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// bytesPerKV is the length in bytes of one token in an exported KV cache.
const bytesPerKV = 64

// encodeKV returns the exported form of a prefix: one line of JSON, and filling
// of the length that the tokens' state would have.
func encodeKV(kept prefix) []byte {
	head, err := json.Marshal(kept)
	if err != nil {
		panic("standin: KV cache: " + err.Error())
	}
	head = append(head, '\n')
	return append(head, make([]byte, fillingOf(kept.Tokens))...)
}

func fillingOf(tokens ident.Tokens) int { return int(tokens) * bytesPerKV }

// decodeKV reads an exported prefix, which must be whole.
func decodeKV(body io.Reader) (prefix, error) {
	read, err := io.ReadAll(body)
	if err != nil {
		return prefix{}, errors.Wrap(err, "KV cache")
	}
	head, filling, _ := bytes.Cut(read, []byte{'\n'})
	var kept prefix
	if err := json.Unmarshal(head, &kept); err != nil {
		return prefix{}, errors.Wrap(err, "KV cache")
	}
	if len(filling) != fillingOf(kept.Tokens) {
		return prefix{}, errors.Newf("KV cache: got %d bytes for %d tokens", len(filling), kept.Tokens)
	}
	return kept, nil
}
