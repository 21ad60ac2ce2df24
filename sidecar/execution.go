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
	changed  chan struct{}
	queued   bool
	lost     bool
	readers  int
	unreadAt time.Time
}

func newExecution(call Call, fingerprint ident.Fingerprint, maxBytes ident.Bytes, cancel context.CancelFunc) *execution {
	return &execution{
		call:        call,
		fingerprint: fingerprint,
		cancel:      cancel,
		state:       peer.AttemptWaiting,
		replay:      answer.Replay{MaxBytes: maxBytes},
		last:        call.ResumeFrames,
		changed:     make(chan struct{}),
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
	close(execution.changed)
	execution.changed = make(chan struct{})
}

// from returns the held frames from seq on, whether they are the rest of the
// answer, and a channel that is closed when there are more. It reports false
// where a frame from seq on is no longer held.
func (execution *execution) from(seq answer.Seq) (frames []answer.Frame, finished bool, changed <-chan struct{}, held bool) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	frames, held = execution.replay.From(seq)
	if seq <= execution.call.ResumeFrames {
		held = false
	}
	return frames, execution.finished, execution.changed, held
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

// attach counts one more reader.
func (execution *execution) attach() {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.readers++
}

// detach counts one reader less. A request that waits in the queue is given up
// with its last reader: its caller has nothing yet from which to resume.
func (execution *execution) detach(now time.Time) {
	execution.mu.Lock()
	defer execution.mu.Unlock()
	execution.readers--
	execution.unreadAt = now
	if execution.queued && execution.readers == 0 {
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
	return !execution.finished && execution.readers == 0 && !execution.unreadAt.IsZero() && execution.unreadAt.Before(limit)
}
