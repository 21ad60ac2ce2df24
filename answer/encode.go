package answer

import (
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/jsonline"
)

// dataLine is the line of a data frame, of which there are the most by far.
var dataLine = jsonline.NewShape("Seq", "Data")

// AppendJSON appends frame to line as one line of JSON, exactly as
// json.Encoder writes it.
func (frame Frame) AppendJSON(line []byte) ([]byte, error) {
	if frame.Last() || frame.Data == "" {
		encoded, err := json.Marshal(frame)
		return append(append(line, encoded...), '\n'), err
	}
	return dataLine.Append(line, uint64(frame.Seq), frame.Data), nil
}

// DecodeFrame reads one line of JSON as json.Unmarshal does.
func DecodeFrame(line []byte) (Frame, error) {
	if seq, text, found := dataLine.Cut(line); found {
		return Frame{Seq: Seq(seq), Data: text}, nil
	}
	var frame Frame
	err := json.Unmarshal(line, &frame)
	return frame, err
}
