package answer

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Bounds of an Assembler whose fields are zero.
const (
	defaultMaxBuffered                  = 1024
	defaultMaxBufferedBytes ident.Bytes = 1 << 20
)

// Assembler restores the order of the frames of one answer. The zero value
// starts at frame 1. It is not safe for concurrent use.
type Assembler struct {
	// First is the first frame to return, for a reader that resumes; zero means
	// 1.
	First Seq
	// MaxBuffered bounds the number of frames buffered while an earlier one is
	// missing; zero means 1024.
	MaxBuffered int
	// MaxBufferedBytes bounds the size of the buffered frames, counted as the
	// data and 64 bytes for each frame; zero means 1 MiB.
	MaxBufferedBytes ident.Bytes

	next          Seq
	buffered      map[Seq]Frame
	bufferedBytes ident.Bytes
	// last is the sequence number of the end or problem frame, or zero if none
	// was received.
	last Seq
	// digests holds the digests of the latest frames released, indexed by
	// sequence number modulo its length, to check late duplicates against.
	digests       []uint64
	releasedCount int
	// releaseBuffer is the slice that Add returns. It is reused.
	releaseBuffer []Frame
	complete      bool
	failure       *result.Error
}

// Next returns the sequence number of the first frame not yet released.
func (assembler *Assembler) Next() Seq { return max(assembler.next, assembler.First, 1) }

// Complete reports whether the end frame and every frame before it were
// released.
func (assembler *Assembler) Complete() bool { return assembler.complete }

// Add adds a received frame and returns the frames that this releases, in order
// and without duplicates. The slice is valid until the next call. The error is
// a *result.Error with code AnswerCut if frames contradict each other or too
// many are buffered. After an error every further call fails with the same
// error.
func (assembler *Assembler) Add(frame Frame) ([]Frame, error) {
	if assembler.failure != nil {
		return nil, assembler.failure
	}
	if failure := assembler.check(frame); failure != nil {
		return nil, assembler.fail(failure)
	}
	if frame.Seq < assembler.Next() {
		return nil, nil
	}
	if frame.Last() {
		assembler.last = frame.Seq
	}
	if frame.Seq > assembler.Next() {
		return nil, assembler.buffer(frame)
	}
	return assembler.release(frame), nil
}

// check returns an error if frame is malformed or contradicts the frames
// received before.
func (assembler *Assembler) check(frame Frame) *result.Error {
	switch {
	case !frame.wellFormed():
		return result.Errorf(result.AnswerCut, "frame %d is malformed", frame.Seq)
	case assembler.last != 0 && frame.Seq > assembler.last:
		return result.Errorf(result.AnswerCut, "frame %d follows the last frame %d", frame.Seq, assembler.last)
	case frame.Last() && frame.Seq < assembler.highest():
		return result.Errorf(result.AnswerCut, "answer ends at frame %d, but frame %d was received", frame.Seq, assembler.highest())
	case !assembler.matchesEarlier(frame):
		return result.Errorf(result.AnswerCut, "frame %d was received twice with different contents", frame.Seq)
	}
	return nil
}

// highest returns the highest sequence number among the released and the
// buffered frames.
func (assembler *Assembler) highest() Seq {
	highest := assembler.Next() - 1
	for seq := range assembler.buffered {
		highest = max(highest, seq)
	}
	return highest
}

// matchesEarlier reports whether frame equals an earlier frame with the same
// sequence number. It assumes so if no digest of that one is kept: such a
// duplicate is not released.
func (assembler *Assembler) matchesEarlier(frame Frame) bool {
	if earlier, found := assembler.buffered[frame.Seq]; found {
		return earlier.digest() == frame.digest()
	}
	age := int(assembler.Next()) - int(frame.Seq)
	if age < 1 || age > min(assembler.releasedCount, len(assembler.digests)) {
		return true
	}
	return assembler.digests[uint64(frame.Seq)%uint64(len(assembler.digests))] == frame.digest()
}

// buffer keeps frame until the frames before it are received.
func (assembler *Assembler) buffer(frame Frame) error {
	if _, found := assembler.buffered[frame.Seq]; found {
		return nil
	}
	assembler.bufferedBytes += frame.size()
	if len(assembler.buffered) >= assembler.maxBuffered() || assembler.bufferedBytes > assembler.maxBufferedBytes() {
		failure := result.Errorf(result.AnswerCut, "%d frames buffered while waiting for frame %d", len(assembler.buffered), assembler.Next())
		return assembler.fail(failure)
	}
	if assembler.buffered == nil {
		assembler.buffered = make(map[Seq]Frame)
	}
	assembler.buffered[frame.Seq] = frame
	return nil
}

// release returns frame and the buffered frames that follow it without a gap.
func (assembler *Assembler) release(frame Frame) []Frame {
	frames := assembler.releaseBuffer[:0]
	for found := true; found; frame, found = assembler.buffered[assembler.next] {
		delete(assembler.buffered, frame.Seq)
		if len(frames) > 0 {
			assembler.bufferedBytes -= frame.size()
		}
		assembler.recordReleased(frame)
		frames = append(frames, frame)
	}
	assembler.releaseBuffer = frames
	return frames
}

func (assembler *Assembler) recordReleased(frame Frame) {
	if assembler.digests == nil {
		assembler.digests = make([]uint64, assembler.maxBuffered())
	}
	assembler.digests[uint64(frame.Seq)%uint64(len(assembler.digests))] = frame.digest()
	assembler.releasedCount++
	assembler.next = frame.Seq + 1
	assembler.complete = frame.End != nil
}

// fail records failure for all further calls and drops the buffered frames.
func (assembler *Assembler) fail(failure *result.Error) error {
	assembler.failure = failure
	assembler.complete = false
	assembler.buffered = nil
	assembler.bufferedBytes = 0
	return failure
}

func (assembler *Assembler) maxBuffered() int {
	if assembler.MaxBuffered == 0 {
		return defaultMaxBuffered
	}
	return assembler.MaxBuffered
}

func (assembler *Assembler) maxBufferedBytes() ident.Bytes {
	if assembler.MaxBufferedBytes == 0 {
		return defaultMaxBufferedBytes
	}
	return assembler.MaxBufferedBytes
}
