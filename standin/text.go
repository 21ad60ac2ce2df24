package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// bytesPerToken is the length of the text of a generated token. The tokens of a
// prompt are counted with the same length.
const bytesPerToken = 4

// CountTokens returns the number of tokens of text, rounded up.
func CountTokens(text string) ident.Tokens {
	return ident.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// Answer returns the complete text that an Engine generates for prompt. It
// depends on nothing but the prompt, so that a caller can check whether it
// received a complete and correct answer.
func Answer(prompt upstream.Prompt) string {
	return tokenSequence{seed: seedOf(prompt)}.firstTokens(prompt.MaxTokens)
}

// tokenSequence generates the tokens of one answer from a seed.
type tokenSequence struct {
	seed uint64
}

func seedOf(prompt upstream.Prompt) uint64 {
	return mix(xxhash.Sum64String(prompt.Text) ^ mix(prompt.Seed))
}

// token returns the text of the token with the given index, counted from 1.
func (tokenSequence tokenSequence) token(index ident.Tokens) string {
	return fmt.Sprintf(" %03x", mix(tokenSequence.seed+uint64(index))&0xfff)
}

// firstTokens returns the text of the first count tokens.
func (tokenSequence tokenSequence) firstTokens(count ident.Tokens) string {
	var text strings.Builder
	for index := ident.Tokens(1); index <= count; index++ {
		text.WriteString(tokenSequence.token(index))
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
