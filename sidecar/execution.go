package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/result"
)

// execution is one request at this sidecar, from its arrival until its answer
// is no longer held. Its answer is produced independently of any reader, so
// that a reader may come back after its connection was cut.
type execution struct {
	call        Call
	fingerprint ident.Fingerprint
	idempotent  bool
	cancel      context.CancelFunc

	mu       sync.Mutex
	state    peer.AttemptState
	replay   answer.Replay
	last     answer.Seq
	finished bool
	queued   bool
	lost     bool
	readers  map[*reader]struct{}
	unreadAt time.Time
}

// reader is one reader of an answer. News holds a token while there may be
// frames that it has not seen.
type reader struct {
	news chan struct{}
	// frames is the space of the frames that next returns.
	frames []answer.Frame
}

func newExecution(call Call, fingerprint ident.Fingerprint, maxBytes ident.Bytes, cancel context.CancelFunc) *execution {
	return &execution{
		call:        call,
		fingerprint: fingerprint,
		cancel:      cancel,
		state:       peer.AttemptWaiting,
		replay:      answer.Replay{MaxBytes: maxBytes},
		last:        call.ResumeFrames,
	}
}

// forward marks the request as given to the upstream. It reports false where
// the attempt was abandoned before.
func (execution *execution) forward() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	if execution.state == peer.AttemptAbandoned {
		return false
	}
	execution.state = peer.AttemptForwarded
	return true
}

// abandon makes sure that a request that was not forwarded never will be, and
// returns the state of the attempt.
func (execution *execution) abandon() peer.AttemptState {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	if execution.state == peer.AttemptWaiting {
		execution.state = peer.AttemptAbandoned
		execution.cancel()
	}
	return execution.state
}

// lose ends the run of a request on an upstream that no longer answers.
func (execution *execution) lose() {
	execution.mu.Lock()
	execution.lost = true
	execution.mu.Unlock()
	execution.cancel()
}

// wasLost reports whether the run was ended because the upstream was lost.
func (execution *execution) wasLost() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.lost
}

// withdraw returns a request that was marked as forwarded, of which no byte
// was sent, to the state in which nothing was run.
func (execution *execution) withdraw() {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.state = peer.AttemptAbandoned
}

func (execution *execution) attemptState() peer.AttemptState {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.state
}

// data appends one data frame.
func (execution *execution) data(text string) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.append(answer.Frame{Data: text})
}

// end appends the end frame of a whole answer.
func (execution *execution) end(end answer.End, expiresAt time.Time) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	end.Frames = uint64(execution.last)
	execution.state = peer.AttemptDone
	execution.finish(answer.Frame{End: &end}, expiresAt)
}

// fail ends the answer with a problem.
func (execution *execution) fail(problem result.Problem, expiresAt time.Time) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	if execution.finished {
		return
	}
	execution.finish(answer.Frame{Problem: &problem}, expiresAt)
}

func (execution *execution) finish(frame answer.Frame, expiresAt time.Time) {
	execution.finished = true
	execution.replay.ExpiresAt = expiresAt
	execution.append(frame)
}

func (execution *execution) append(frame answer.Frame) {
	execution.last++
	frame.Seq = execution.last
	execution.replay.Append(frame)
	for reader := range execution.readers {
		reader.wake()
	}
}

// wake tells the reader that there are more frames. It never blocks.
func (reader *reader) wake() {
	select {
	case reader.news <- struct{}{}:
	default:
	}
}

// holds reports whether every frame from seq on is held, as far as there are
// any yet.
func (execution *execution) holds(seq answer.Seq) bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	_, held := execution.replay.AppendFrom(nil, seq)
	return held && seq > execution.call.ResumeFrames
}

// next returns the held frames from seq on, which stay valid until the next
// call, and whether they are the rest of the answer. It reports false where a
// frame from seq on is no longer held.
func (execution *execution) next(reader *reader, seq answer.Seq) (frames []answer.Frame, finished, held bool) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	reader.frames, held = execution.replay.AppendFrom(reader.frames[:0], seq)
	if seq <= execution.call.ResumeFrames {
		held = false
	}
	return reader.frames, execution.finished, held
}

// expired reports whether the answer may be dropped at the time now.
func (execution *execution) expired(now time.Time) bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.finished && now.After(execution.replay.ExpiresAt)
}

// done reports whether the answer has ended.
func (execution *execution) done() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.finished
}

// size returns the bytes that the answer's replay buffer holds.
func (execution *execution) size() ident.Bytes {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.replay.Size()
}

// attach adds one more reader.
func (execution *execution) attach() *reader {
	attached := &reader{news: make(chan struct{}, 1)}
	execution.mu.Lock()
	defer execution.mu.Unlock()
	if execution.readers == nil {
		execution.readers = make(map[*reader]struct{})
	}
	execution.readers[attached] = struct{}{}
	return attached
}

// detach takes a reader away. A request that waits in the queue is given up with
// its last reader: its caller has nothing yet from which to resume.
func (execution *execution) detach(reader *reader, now time.Time) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	delete(execution.readers, reader)
	execution.unreadAt = now
	if execution.queued && len(execution.readers) == 0 {
		execution.state = peer.AttemptAbandoned
		execution.cancel()
	}
}

// queue marks the request as waiting in the queue.
func (execution *execution) queue() {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.queued = true
}

// unqueue ends the wait and reports whether the request may still run.
func (execution *execution) unqueue() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.queued = false
	return execution.state == peer.AttemptWaiting
}

// deserted reports whether nobody has read a running answer since the time
// limit.
func (execution *execution) deserted(limit time.Time) bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return !execution.finished && len(execution.readers) == 0 && !execution.unreadAt.IsZero() && execution.unreadAt.Before(limit)
}
