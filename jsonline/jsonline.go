// Package jsonline writes and reads the most frequent lines of JSON without
// reflection.
//
// It promises the bytes and the values that encoding/json gives; whatever it
// does not read itself is left to encoding/json.
package jsonline

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// lineEnd ends a line after its text.
const lineEnd = "\"}\n"

// Shape describes the lines of an object with a number and a text, such as
// {"Seq":1,"Data":"a"}.
type Shape struct {
	number string
	text   string
}

// NewShape returns the shape with the keys number and text.
func NewShape(number, text string) Shape {
	return Shape{number: `{"` + number + `":`, text: `,"` + text + `":"`}
}

// Append appends number and text to line, ended by a line feed.
func (shape Shape) Append(line []byte, number uint64, text string) []byte {
	line = append(line, shape.number...)
	line = strconv.AppendUint(line, number, 10)
	line = append(line, shape.text[:len(shape.text)-1]...)
	line = AppendString(line, text)
	return append(line, "}\n"...)
}

// Cut returns the number and the text of line. It reports false for any line
// that is not exactly as Append writes it with a text that needs no escapes.
func (shape Shape) Cut(line []byte) (number uint64, text string, found bool) {
	line, hasNumber := bytes.CutPrefix(line, []byte(shape.number))
	digits, rest, hasText := bytes.Cut(line, []byte(shape.text))
	rest, hasEnd := bytes.CutSuffix(rest, []byte(lineEnd))
	if !hasNumber || !hasText || !hasEnd || len(digits) == 0 || digits[0] == '0' {
		return 0, "", false
	}
	number, err := strconv.ParseUint(string(digits), 10, 64)
	text = string(rest)
	return number, text, err == nil && plain(text)
}

// AppendString appends text to line as a JSON string, exactly as json.Marshal
// writes it.
func AppendString(line []byte, text string) []byte {
	if !plain(text) {
		// The encoding of a string does not fail.
		encoded, _ := json.Marshal(text)
		return append(line, encoded...)
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}

// plain reports whether text stands for itself in a JSON string: it is valid
// UTF-8 without a character that encoding/json escapes.
func plain(text string) bool {
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
