package answer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Seq is the sequence number of a frame in its answer. The first frame has 1.
type Seq uint64

// Frame is one part of an answer: data, the end, or a problem that terminates
// it.
type Frame struct {
	Seq     Seq
	Data    string          `json:",omitempty"`
	End     *End            `json:",omitempty"`
	Problem *result.Problem `json:",omitempty"`
}

// End is the content of the last frame of a complete answer.
type End struct {
	// Frames counts the data frames before the end.
	Frames uint64
	// Status is the HTTP status of a plain service's answer; 200 for a model.
	Status int
	// ContentType is the media type of the joined data.
	ContentType string
	// Base64 says that the joined data is the base64 encoding of the answer,
	// because the answer is not valid UTF-8.
	Base64 bool `json:",omitempty"`
	// Cached is the number of the prompt's tokens that were found in the prefix
	// cache, and Prompt the number of all its tokens.
	Cached ident.Tokens
	Prompt ident.Tokens
}

// Last reports whether frame is the last one of its answer: the end or a
// problem.
func (frame Frame) Last() bool { return frame.End != nil || frame.Problem != nil }

// frameOverhead is the size counted for each frame in addition to its data.
const frameOverhead ident.Bytes = 64

func (frame Frame) size() ident.Bytes {
	return frameOverhead + ident.Bytes(len(frame.Data))
}

// wellFormed reports whether frame is exactly one of data, end and problem, and
// whether the count in an end agrees with the sequence number.
func (frame Frame) wellFormed() bool {
	switch {
	case frame.Seq == 0:
		return false
	case frame.End != nil:
		return frame.Problem == nil && frame.Data == "" && frame.End.Frames == uint64(frame.Seq)-1
	case frame.Problem != nil:
		return frame.Data == ""
	}
	return true
}

// digest hashes the content that matters to a reader: two frames with the same
// sequence number and different digests contradict each other. It omits the
// retry-after time of a problem, which changes with each repetition.
func (frame Frame) digest() uint64 {
	switch {
	case frame.End != nil:
		return xxhash.Sum64String("end " + frame.End.ContentType)
	case frame.Problem != nil:
		return xxhash.Sum64String("problem " + frame.Problem.Code)
	}
	return xxhash.Sum64String("data " + frame.Data)
}
