package answer

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// defaultMaxBytes is the bound of a Replay whose MaxBytes is zero.
const defaultMaxBytes ident.Bytes = 1 << 20

// Replay buffers the latest frames of one answer, so that a reader can resume.
// It is not safe for concurrent use.
type Replay struct {
	// MaxBytes bounds the buffer's size, as returned by Size; zero means 1 MiB.
	MaxBytes ident.Bytes
	// ExpiresAt is the time from which the buffer may be dropped; zero means
	// never.
	ExpiresAt time.Time

	frames []Frame
	size   ident.Bytes
	last   Seq
}

// Append adds the next frame and drops the oldest frames that exceed the bound.
// A frame whose sequence number is not above the last one is ignored. A frame
// that leaves a gap drops all frames before it, since a reader cannot resume
// across the gap.
func (replay *Replay) Append(frame Frame) {
	if frame.Seq <= replay.last {
		return
	}
	if frame.Seq != replay.last+1 {
		replay.clear()
	}
	replay.last = frame.Seq
	replay.frames = append(replay.frames, frame)
	replay.size += frame.size()
	for replay.size > replay.maxBytes() {
		replay.dropOldest()
	}
}

// From returns the buffered frames with sequence number seq and above. It
// reports false, without frames, if one of them has been dropped.
func (replay *Replay) From(seq Seq) ([]Frame, bool) {
	return replay.AppendFrom(nil, seq)
}

// AppendFrom is like From but appends to frames.
func (replay *Replay) AppendFrom(frames []Frame, seq Seq) ([]Frame, bool) {
	seq = max(seq, 1)
	if seq > replay.last {
		return frames, true
	}
	if len(replay.frames) == 0 || seq < replay.frames[0].Seq {
		return frames, false
	}
	return append(frames, replay.frames[seq-replay.frames[0].Seq:]...), true
}

// Last returns the sequence number of the last frame appended; zero means none.
func (replay *Replay) Last() Seq { return replay.last }

// Size returns the size of the buffer: the data and 64 bytes for each frame.
func (replay *Replay) Size() ident.Bytes { return replay.size }

// Expired reports whether the buffer may be dropped at the time now.
func (replay *Replay) Expired(now time.Time) bool {
	return !replay.ExpiresAt.IsZero() && !now.Before(replay.ExpiresAt)
}

func (replay *Replay) dropOldest() {
	replay.size -= replay.frames[0].size()
	replay.frames[0] = Frame{}
	replay.frames = replay.frames[1:]
}

func (replay *Replay) clear() {
	replay.frames = nil
	replay.size = 0
}

func (replay *Replay) maxBytes() ident.Bytes {
	if replay.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return replay.MaxBytes
}
