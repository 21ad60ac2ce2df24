package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// bytesPerToken is the length of a token's text. A prompt's tokens are counted
// by the same measure.
const bytesPerToken = 4

// CountTokens returns the number of tokens of text.
func CountTokens(text string) ident.Tokens {
	return ident.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// Answer returns the whole text that an Engine generates for prompt. It depends
// on nothing but the prompt, so that a reader can tell whether what it received
// is whole.
func Answer(prompt upstream.Prompt) string {
	return script{key: keyOf(prompt)}.upTo(prompt.MaxTokens)
}

// script gives the tokens of one answer.
type script struct {
	key uint64
}

func keyOf(prompt upstream.Prompt) uint64 {
	return mix(xxhash.Sum64String(prompt.Text) ^ mix(prompt.Seed))
}

// token returns the text of token number index, which counts from 1.
func (script script) token(index ident.Tokens) string {
	return fmt.Sprintf(" %03x", mix(script.key+uint64(index))&0xfff)
}

// upTo returns the text of the first count tokens.
func (script script) upTo(count ident.Tokens) string {
	var text strings.Builder
	for index := ident.Tokens(1); index <= count; index++ {
		text.WriteString(script.token(index))
	}
	return text.String()
}

// mix is the finalizer of SplitMix64, a bijection that spreads close values.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}
