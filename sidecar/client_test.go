package sidecar

import (
	"io"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/answer"
)

// parts is a reader that returns one part of a stream per Read.
type parts []string

func (parts *parts) Read(buffer []byte) (int, error) {
	if len(*parts) == 0 {
		return 0, io.EOF
	}
	part := (*parts)[0]
	*parts = (*parts)[1:]
	return copy(buffer, part), nil
}

func framesOf(stream io.Reader) *Frames {
	return newFrames(io.NopCloser(stream), func() {}, time.AfterFunc(time.Hour, func() {}))
}

// Next skips heartbeats, and a heartbeat after a frame does not count as a
// buffered frame.
func TestHeartbeatIsNoFrame(t *testing.T) {
	frames := framesOf(&parts{"{\"Seq\":1,\"Data\":\"a\"}\n\n", "\n{\"Seq\":2,\"Data\":\"b\"}\n"})
	for _, want := range []answer.Seq{1, 2} {
		frame, err := frames.Next()
		if err != nil || frame.Seq != want {
			t.Fatalf("got frame %d and error %v, want frame %d", frame.Seq, err, want)
		}
		if frames.Buffered() {
			t.Errorf("after frame %d: got buffered true, want false", frame.Seq)
		}
	}
}

// A frame that was received only in part does not count as buffered. Otherwise a
// reader would wait for its rest before it passes on the frames before it.
func TestFramesAreBufferedOnlyWhole(t *testing.T) {
	stream := &parts{"{\"Seq\":1,\"Data\":\"a\"}\n{\"Seq\":2,\"Data\":\"b\"}\n{\"Seq\":3,\"Da", "ta\":\"c\"}\n"}
	frames := framesOf(stream)
	wantBuffered := []bool{true, false, false}
	for i, want := range wantBuffered {
		frame, err := frames.Next()
		if err != nil || frame.Seq != answer.Seq(i+1) {
			t.Fatalf("got frame %d and error %v, want frame %d", frame.Seq, err, i+1)
		}
		if got := frames.Buffered(); got != want {
			t.Errorf("after frame %d: got buffered %t, want %t", frame.Seq, got, want)
		}
	}
	if _, err := frames.Next(); err != io.ErrUnexpectedEOF {
		t.Errorf("got error %v at the end, want io.ErrUnexpectedEOF", err)
	}
}

// endlessReader returns the same byte without end and counts the bytes read.
type endlessReader struct {
	count int
}

// Read fills the buffer.
func (reader *endlessReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'x'
	}
	reader.count += len(buffer)
	return len(buffer), nil
}

// TestFrameWithoutEndIsGivenUp guards against a frame that is read until memory runs
// out.
func TestFrameWithoutEndIsGivenUp(t *testing.T) {
	const maxRead = 8 << 20
	reader := new(endlessReader)
	if _, err := framesOf(reader).Next(); err == nil || reader.count > maxRead {
		t.Errorf("got error %v after %d bytes, want one after at most %d", err, reader.count, maxRead)
	}
}
