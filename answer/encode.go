package answer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// The parts of a plain data frame's line, around its number and its text.
const (
	lineSeq  = `{"Seq":`
	lineData = `,"Data":"`
	lineEnd  = "\"}\n"
)

// AppendJSON appends frame to line as one line of JSON, exactly as
// json.Encoder writes it. Data frames, of which there are the most by far, do
// without reflection.
func (frame Frame) AppendJSON(line []byte) ([]byte, error) {
	if frame.Last() || frame.Data == "" {
		encoded, err := json.Marshal(frame)
		return append(append(line, encoded...), '\n'), err
	}
	line = append(line, lineSeq...)
	line = strconv.AppendUint(line, uint64(frame.Seq), 10)
	line = append(line, `,"Data":`...)
	line = AppendString(line, frame.Data)
	return append(line, "}\n"...), nil
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

// DecodeFrame reads one line of JSON as json.Unmarshal does. Lines of the form
// that AppendJSON gives to plain data do without reflection.
func DecodeFrame(line []byte) (Frame, error) {
	if frame, found := decodePlain(line); found {
		return frame, nil
	}
	var frame Frame
	err := json.Unmarshal(line, &frame)
	return frame, err
}

func decodePlain(line []byte) (Frame, bool) {
	line, hasSeq := bytes.CutPrefix(line, []byte(lineSeq))
	number, text, hasData := bytes.Cut(line, []byte(lineData))
	text, hasEnd := bytes.CutSuffix(text, []byte(lineEnd))
	if !hasSeq || !hasData || !hasEnd || len(number) == 0 || number[0] == '0' {
		return Frame{}, false
	}
	seq, err := strconv.ParseUint(string(number), 10, 64)
	frame := Frame{Seq: Seq(seq), Data: string(text)}
	return frame, err == nil && plain(frame.Data)
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
