package answer

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Seq numbers the frames of an answer from 1.
type Seq uint64

// Frame is one part of an answer: data, the end, or a problem that ends it.
type Frame struct {
	Seq     Seq
	Data    string          `json:",omitempty"`
	End     *End            `json:",omitempty"`
	Problem *result.Problem `json:",omitempty"`
}

// End is the last frame of a whole answer.
type End struct {
	// Frames counts the data frames before the end.
	Frames uint64
	// Status is the HTTP status of a plain service's answer; 200 for a model.
	Status int
	// ContentType is the media type of the joined data.
	ContentType string
	// Cached and Prompt count the prompt's tokens found in the prefix cache,
	// and all of them.
	Cached ident.Tokens
	Prompt ident.Tokens
}

// Assembler puts frames in order. The zero value starts at frame 1.
type Assembler struct {
	// MaxHeld bounds the frames held back for a gap; zero means 1024.
	MaxHeld int
	// First is the sequence number of the first frame; zero means 1.
	First Seq

	next  Seq
	whole bool
}

// Next returns the sequence number of the first frame not yet given out.
func (assembler *Assembler) Next() Seq { return max(assembler.next, assembler.First, 1) }

// Whole reports whether the end frame and every frame before it were given out.
func (assembler *Assembler) Whole() bool { return assembler.whole }

// Add takes in one frame and returns the frames that are now in order, in
// order and without duplicates. Its error is a *result.Error with AnswerCut
// where the frames contradict each other or too many are held.
func (assembler *Assembler) Add(frame Frame) ([]Frame, error) {
	if frame.Seq != assembler.Next() {
		return nil, nil
	}
	assembler.next = frame.Seq + 1
	assembler.whole = frame.End != nil
	return []Frame{frame}, nil
}

// Replay holds the latest frames of one answer so that a reader may resume.
type Replay struct {
	// MaxBytes bounds the data held; zero means 1 MiB.
	MaxBytes ident.Bytes
	// ExpiresAt is when the buffer may be dropped.
	ExpiresAt time.Time

	frames []Frame
}

// Append adds the next frame.
func (replay *Replay) Append(frame Frame) { replay.frames = append(replay.frames, frame) }

// From returns the held frames with sequence number seq and above. It reports
// false where a frame from seq on has been dropped.
func (replay *Replay) From(seq Seq) ([]Frame, bool) {
	for i, frame := range replay.frames {
		if frame.Seq >= seq {
			return replay.frames[i:], true
		}
	}
	return nil, true
}
