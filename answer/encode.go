package answer

import (
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/jsonline"
)

// dataLine is the encoding of a data frame. It has a fast path because by far
// the most frames are data frames.
var dataLine = jsonline.NewShape("Seq", "Data")

// AppendJSON appends frame to line as one line of JSON, with exactly the bytes
// that json.Encoder writes.
func (frame Frame) AppendJSON(line []byte) ([]byte, error) {
	if frame.Last() || frame.Data == "" {
		encoded, err := json.Marshal(frame)
		return append(append(line, encoded...), '\n'), err
	}
	return dataLine.Append(line, uint64(frame.Seq), frame.Data), nil
}

// DecodeFrame decodes one line of JSON with the same result as json.Unmarshal.
func DecodeFrame(line []byte) (Frame, error) {
	if seq, text, found := dataLine.Parse(line); found {
		return Frame{Seq: Seq(seq), Data: text}, nil
	}
	var frame Frame
	err := json.Unmarshal(line, &frame)
	return frame, err
}
