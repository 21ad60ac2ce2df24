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
		producer.execution.data(fmt.Sprint(i))
	}
	producer.execution.end(answer.End{}, time.Time{})
}

// Whenever frames come, each reader sees all of them in order and the end, and
// none waits for a frame that is there.
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

// follower reads an answer to its end and then reports the next frame's number.
type follower struct {
	execution *execution
	reader    *reader
	ended     chan<- answer.Seq
}

func (follower *follower) run() {
	next := answer.Seq(1)
	for {
		frames, finished, held := follower.execution.next(follower.reader, next)
		for _, frame := range frames {
			if frame.Seq != next {
				held = false
				break
			}
			next++
		}
		if finished || !held {
			follower.ended <- next
			return
		}
		<-follower.reader.news
	}
}

func TestReadersCountForDesertion(t *testing.T) {
	now := time.Unix(1000, 0)
	execution := newExecution(Call{}, 0, 0, func() {})
	first, second := execution.attach(), execution.attach()
	execution.detach(first, now)
	if execution.deserted(now.Add(time.Second)) {
		t.Error("got deserted with a reader left, want not")
	}
	execution.detach(second, now)
	if !execution.deserted(now.Add(time.Second)) {
		t.Error("got not deserted without a reader, want deserted")
	}
}

func TestHeldFramesBeginAfterTheResumedOnes(t *testing.T) {
	execution := newExecution(Call{ResumeFrames: 2}, 0, 0, func() {})
	execution.data("c")
	for seq, want := range map[answer.Seq]bool{2: false, 3: true, 4: true} {
		if got := execution.holds(seq); got != want {
			t.Errorf("frame %d: got held %t, want %t", seq, got, want)
		}
	}
}

// A frame that comes between the look for frames and the wait ends the wait.
func TestFrameBeforeTheWaitEndsIt(t *testing.T) {
	execution := newExecution(Call{}, 0, 0, func() {})
	reader := execution.attach()
	if frames, _, _ := execution.next(reader, 1); len(frames) > 0 {
		t.Fatalf("got %d frames before any came, want none", len(frames))
	}
	execution.data("a")
	select {
	case <-reader.news:
	default:
		t.Error("got no news of the frame, want it")
	}
}
