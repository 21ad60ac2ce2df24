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

// execution is one request at this sidecar, from its arrival until its answer is
// dropped. The answer is produced independently of its readers, so that a reader
// can resume it after its connection broke.
type execution struct {
	call        Call
	fingerprint ident.Fingerprint
	idempotent  bool
	cancel      context.CancelFunc

	mu           sync.Mutex
	state        peer.AttemptState
	replay       answer.Replay
	last         answer.Seq
	finished     bool
	queued       bool
	lost         bool
	readers      map[*reader]struct{}
	lastDetachAt time.Time
}

// reader is one reader of an answer. Its channel wakeup has a capacity of one
// and holds an item while there may be frames that the reader has not seen.
type reader struct {
	wakeup chan struct{}
	// frames is the buffer for the frames that next returns, reused by each
	// call.
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

// forward marks the request as forwarded to the upstream. It reports false if
// the attempt was already abandoned.
func (execution *execution) forward() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	if execution.state == peer.AttemptAbandoned {
		return false
	}
	execution.state = peer.AttemptForwarded
	return true
}

// abandon ensures that a request that was not forwarded never will be, and
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

// cancelLost cancels the request because its upstream no longer responds.
func (execution *execution) cancelLost() {
	execution.mu.Lock()
	execution.lost = true
	execution.mu.Unlock()
	execution.cancel()
}

// wasLost reports whether cancelLost was called.
func (execution *execution) wasLost() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.lost
}

// undoForward marks a forwarded request as abandoned again, because no byte of
// it was sent.
func (execution *execution) undoForward() {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.state = peer.AttemptAbandoned
}

func (execution *execution) attemptState() peer.AttemptState {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.state
}

// appendData appends one data frame.
func (execution *execution) appendData(text string) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.append(answer.Frame{Data: text})
}

// appendEnd appends the end frame of a complete answer.
func (execution *execution) appendEnd(end answer.End, expiresAt time.Time) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	end.Frames = uint64(execution.last)
	execution.state = peer.AttemptDone
	execution.finish(answer.Frame{End: &end}, expiresAt)
}

// fail ends the answer with a problem, unless it has already ended.
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

// wake notifies the reader of new frames. It never blocks.
func (reader *reader) wake() {
	select {
	case reader.wakeup <- struct{}{}:
	default:
	}
}

// retainsFrom reports whether all frames from seq on that were produced so far
// are still in the replay buffer.
func (execution *execution) retainsFrom(seq answer.Seq) bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	_, retained := execution.replay.AppendFrom(nil, seq)
	return retained && seq > execution.call.ResumeFrames
}

// next returns the frames from seq on, which stay valid until the reader's next
// call. finished reports whether they are the rest of the answer, and retained
// is false if a frame from seq on is no longer in the replay buffer.
func (execution *execution) next(reader *reader, seq answer.Seq) (frames []answer.Frame, finished, retained bool) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	reader.frames, retained = execution.replay.AppendFrom(reader.frames[:0], seq)
	if seq <= execution.call.ResumeFrames {
		retained = false
	}
	return reader.frames, execution.finished, retained
}

// expired reports whether the answer has ended and its retention time has
// passed at now.
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

// size returns the size of the replay buffer.
func (execution *execution) size() ident.Bytes {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return execution.replay.Size()
}

// attach adds a reader. The caller detaches it when it stops reading.
func (execution *execution) attach() *reader {
	attached := &reader{wakeup: make(chan struct{}, 1)}
	execution.mu.Lock()
	defer execution.mu.Unlock()
	if execution.readers == nil {
		execution.readers = make(map[*reader]struct{})
	}
	execution.readers[attached] = struct{}{}
	return attached
}

// detach removes a reader. A request that is still queued is abandoned with its
// last reader, because its caller has no frame yet from which to resume.
func (execution *execution) detach(reader *reader, now time.Time) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	delete(execution.readers, reader)
	execution.lastDetachAt = now
	if execution.queued && len(execution.readers) == 0 {
		execution.state = peer.AttemptAbandoned
		execution.cancel()
	}
}

// markQueued marks the request as waiting in the admission queue.
func (execution *execution) markQueued() {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.queued = true
}

// markDequeued marks the request as no longer queued and reports whether it may
// still run.
func (execution *execution) markDequeued() bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.queued = false
	return execution.state == peer.AttemptWaiting
}

// unreadSince reports whether the answer is still running and its last reader
// detached before limit.
func (execution *execution) unreadSince(limit time.Time) bool {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	return !execution.finished && len(execution.readers) == 0 && !execution.lastDetachAt.IsZero() && execution.lastDetachAt.Before(limit)
}
