package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/answer"
)

// producer appends the frames of an answer as fast as it can.
type producer struct {
	execution *execution
	count     int
}

func (producer producer) run() {
	for i := range producer.count {
		producer.execution.appendData(fmt.Sprint(i))
	}
	producer.execution.appendEnd(answer.End{}, time.Time{})
}

// Every reader receives all frames in order up to the end while they are being
// produced. A lost wakeup would make a reader hang.
func TestReadersMissNoFrame(t *testing.T) {
	const count, readers = 5000, 4
	execution := newExecution(Call{}, 0, 0, func() {})
	ended := make(chan answer.Seq, readers)
	for range readers {
		follower := &follower{execution: execution, reader: execution.attach(), ended: ended}
		go follower.run()
	}
	go producer{execution: execution, count: count}.run()
	for range readers {
		if got, want := <-ended, answer.Seq(count+2); got != want {
			t.Errorf("got frames up to %d, want up to %d", got-1, want-1)
		}
	}
}

// follower reads an answer to its end and then sends the number after the last
// frame.
type follower struct {
	execution *execution
	reader    *reader
	ended     chan<- answer.Seq
}

func (follower *follower) run() {
	next := answer.Seq(1)
	for {
		frames, finished, retained := follower.execution.next(follower.reader, next)
		for _, frame := range frames {
			if frame.Seq != next {
				retained = false
				break
			}
			next++
		}
		if finished || !retained {
			follower.ended <- next
			return
		}
		<-follower.reader.wakeup
	}
}

func TestUnreadSinceNeedsAllReadersDetached(t *testing.T) {
	now := time.Unix(1000, 0)
	execution := newExecution(Call{}, 0, 0, func() {})
	first, second := execution.attach(), execution.attach()
	execution.detach(first, now)
	if execution.unreadSince(now.Add(time.Second)) {
		t.Error("got unread with a reader left, want read")
	}
	execution.detach(second, now)
	if !execution.unreadSince(now.Add(time.Second)) {
		t.Error("got read without a reader, want unread")
	}
}

func TestHeldFramesBeginAfterTheResumedOnes(t *testing.T) {
	execution := newExecution(Call{ResumeFrames: 2}, 0, 0, func() {})
	execution.appendData("c")
	for seq, want := range map[answer.Seq]bool{2: false, 3: true, 4: true} {
		if got := execution.retainsFrom(seq); got != want {
			t.Errorf("frame %d: got retained %t, want %t", seq, got, want)
		}
	}
}

// A frame that is appended after next returned none, but before the reader waits,
// must wake the reader.
func TestFrameBeforeTheWaitEndsIt(t *testing.T) {
	execution := newExecution(Call{}, 0, 0, func() {})
	reader := execution.attach()
	if frames, _, _ := execution.next(reader, 1); len(frames) > 0 {
		t.Fatalf("got %d frames before any was appended, want none", len(frames))
	}
	execution.appendData("a")
	select {
	case <-reader.wakeup:
	default:
		t.Error("got no wakeup after the frame was appended, want one")
	}
}
