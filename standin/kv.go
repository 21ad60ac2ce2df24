package standin

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// kvBytesPerToken is the number of bytes of one token in an exported KV cache.
const kvBytesPerToken = 64

// encodeKV returns the exported form of a prefix: one line of JSON that describes
// it, followed by zero bytes in place of the KV state of its tokens.
func encodeKV(cached prefix) []byte {
	head, err := json.Marshal(cached)
	if err != nil {
		panic("standin: encode KV cache header: " + err.Error())
	}
	head = append(head, '\n')
	return append(head, make([]byte, paddingLength(cached.Tokens))...)
}

func paddingLength(tokens ident.Tokens) int { return int(tokens) * kvBytesPerToken }

// decodeKV reads an exported prefix. It returns an error if the prefix is
// truncated or longer than its number of tokens requires.
func decodeKV(body io.Reader) (prefix, error) {
	read, err := io.ReadAll(body)
	if err != nil {
		return prefix{}, errors.Wrap(err, "read KV cache")
	}
	head, padding, _ := bytes.Cut(read, []byte{'\n'})
	var cached prefix
	if err := json.Unmarshal(head, &cached); err != nil {
		return prefix{}, errors.Wrap(err, "decode KV cache header")
	}
	if len(padding) != paddingLength(cached.Tokens) {
		return prefix{}, errors.Newf("KV cache: got %d bytes for %d tokens, want %d", len(padding), cached.Tokens, paddingLength(cached.Tokens))
	}
	return cached, nil
}
