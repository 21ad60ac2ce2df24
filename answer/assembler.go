package answer

import (
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Bounds of an Assembler whose fields are zero.
const (
	defaultMaxHeld                  = 1024
	defaultMaxHeldBytes ident.Bytes = 1 << 20
)

// Assembler puts frames in order. The zero value starts at frame 1. It is not
// safe for concurrent use.
type Assembler struct {
	// First is the first frame to give out, for a reader that resumes; zero
	// means 1.
	First Seq
	// MaxHeld bounds the frames held back for a gap; zero means 1024.
	MaxHeld int
	// MaxHeldBytes bounds their data; zero means 1 MiB.
	MaxHeldBytes ident.Bytes

	next      Seq
	held      map[Seq]Frame
	heldBytes ident.Bytes
	// last is the sequence number of the end or problem, once one was seen.
	last Seq
	// digests holds what was given out, by sequence number modulo its length,
	// so that a late duplicate can be compared.
	digests []uint64
	given   int
	// released is the space of the frames that Add returns.
	released []Frame
	whole    bool
	failure  *result.Error
}

// Next returns the sequence number of the first frame not yet given out.
func (assembler *Assembler) Next() Seq { return max(assembler.next, assembler.First, 1) }

// Complete reports whether the end frame and every frame before it were given
// out.
func (assembler *Assembler) Complete() bool { return assembler.whole }

// Add takes in one frame and returns the frames that are now in order, in
// order and without duplicates. They stay valid until the next call. Its error is a *result.Error with AnswerCut
// where the frames contradict each other or too many are held; after an error
// every further call fails with it.
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
		return nil, assembler.hold(frame)
	}
	return assembler.release(frame), nil
}

// check compares frame with all that is known of the answer.
func (assembler *Assembler) check(frame Frame) *result.Error {
	switch {
	case !frame.wellFormed():
		return result.Errorf(result.AnswerCut, "frame %d is malformed", frame.Seq)
	case assembler.last != 0 && frame.Seq > assembler.last:
		return result.Errorf(result.AnswerCut, "frame %d follows the last frame %d", frame.Seq, assembler.last)
	case frame.Last() && frame.Seq < assembler.highest():
		return result.Errorf(result.AnswerCut, "the answer ends at frame %d, but frame %d was seen", frame.Seq, assembler.highest())
	case !assembler.agrees(frame):
		return result.Errorf(result.AnswerCut, "frame %d came twice with different contents", frame.Seq)
	}
	return nil
}

// highest returns the highest sequence number seen, as far as it is known.
func (assembler *Assembler) highest() Seq {
	highest := assembler.Next() - 1
	for seq := range assembler.held {
		highest = max(highest, seq)
	}
	return highest
}

// agrees reports whether frame equals the frame of its number that was seen
// before. A duplicate from before the remembered ones is taken as equal, since
// nothing of it is given out.
func (assembler *Assembler) agrees(frame Frame) bool {
	if held, found := assembler.held[frame.Seq]; found {
		return held.digest() == frame.digest()
	}
	age := int(assembler.Next()) - int(frame.Seq)
	if age < 1 || age > min(assembler.given, len(assembler.digests)) {
		return true
	}
	return assembler.digests[uint64(frame.Seq)%uint64(len(assembler.digests))] == frame.digest()
}

func (assembler *Assembler) hold(frame Frame) error {
	if _, found := assembler.held[frame.Seq]; found {
		return nil
	}
	assembler.heldBytes += frame.size()
	if len(assembler.held) >= assembler.maxHeld() || assembler.heldBytes > assembler.maxHeldBytes() {
		failure := result.Errorf(result.AnswerCut, "%d frames wait for frame %d", len(assembler.held), assembler.Next())
		return assembler.fail(failure)
	}
	if assembler.held == nil {
		assembler.held = make(map[Seq]Frame)
	}
	assembler.held[frame.Seq] = frame
	return nil
}

// release gives out frame and the held frames that follow it without a gap.
func (assembler *Assembler) release(frame Frame) []Frame {
	frames := assembler.released[:0]
	for found := true; found; frame, found = assembler.held[assembler.next] {
		delete(assembler.held, frame.Seq)
		if len(frames) > 0 {
			assembler.heldBytes -= frame.size()
		}
		assembler.remember(frame)
		frames = append(frames, frame)
	}
	assembler.released = frames
	return frames
}

func (assembler *Assembler) remember(frame Frame) {
	if assembler.digests == nil {
		assembler.digests = make([]uint64, assembler.maxHeld())
	}
	assembler.digests[uint64(frame.Seq)%uint64(len(assembler.digests))] = frame.digest()
	assembler.given++
	assembler.next = frame.Seq + 1
	assembler.whole = frame.End != nil
}

// fail keeps failure for all further calls and drops what is held.
func (assembler *Assembler) fail(failure *result.Error) error {
	assembler.failure = failure
	assembler.whole = false
	assembler.held = nil
	assembler.heldBytes = 0
	return failure
}

func (assembler *Assembler) maxHeld() int {
	if assembler.MaxHeld == 0 {
		return defaultMaxHeld
	}
	return assembler.MaxHeld
}

func (assembler *Assembler) maxHeldBytes() ident.Bytes {
	if assembler.MaxHeldBytes == 0 {
		return defaultMaxHeldBytes
	}
	return assembler.MaxHeldBytes
}
