// Package jsonline encodes and decodes the most frequent JSON lines without
// reflection.
//
// It guarantees the same bytes and values as encoding/json. Lines that Parse does
// not recognize have to be decoded with encoding/json.
package jsonline

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// lineEnd follows the text in a line: the closing quote, the closing brace and a
// line feed.
const lineEnd = "\"}\n"

// Shape describes lines that hold a JSON object with a number and a string, such
// as {"Seq":1,"Data":"a"}.
type Shape struct {
	number string
	text   string
}

// NewShape returns the shape whose keys are number and text. The keys are not
// escaped.
func NewShape(number, text string) Shape {
	return Shape{number: `{"` + number + `":`, text: `,"` + text + `":"`}
}

// Append appends the object with number and text, and a line feed, to line.
func (shape Shape) Append(line []byte, number uint64, text string) []byte {
	line = append(line, shape.number...)
	line = strconv.AppendUint(line, number, 10)
	line = append(line, shape.text[:len(shape.text)-1]...)
	line = AppendString(line, text)
	return append(line, "}\n"...)
}

// Parse returns the number and the text of line. It reports false unless line is
// exactly what Append writes and its text contains no escapes.
func (shape Shape) Parse(line []byte) (number uint64, text string, found bool) {
	line, hasNumber := bytes.CutPrefix(line, []byte(shape.number))
	digits, rest, hasText := bytes.Cut(line, []byte(shape.text))
	rest, hasEnd := bytes.CutSuffix(rest, []byte(lineEnd))
	if !hasNumber || !hasText || !hasEnd || len(digits) == 0 || digits[0] == '0' {
		return 0, "", false
	}
	number, err := strconv.ParseUint(string(digits), 10, 64)
	text = string(rest)
	return number, text, err == nil && needsNoEscape(text)
}

// AppendString appends text to line as a JSON string, exactly as json.Marshal
// writes it.
func AppendString(line []byte, text string) []byte {
	if !needsNoEscape(text) {
		// Marshal does not fail for a string.
		encoded, _ := json.Marshal(text)
		return append(line, encoded...)
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}

// needsNoEscape reports whether text is written unchanged in a JSON string: it
// is valid UTF-8 without a character that encoding/json escapes.
func needsNoEscape(text string) bool {
	for _, r := range text {
		switch {
		case r < ' ', r == utf8.RuneError, r == '\u2028', r == '\u2029':
			return false
		case r == '"', r == '\\', r == '<', r == '>', r == '&':
			return false
		}
	}
	return true
}
