package answer_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/result"
)

func ExampleAssembler() {
	var assembler answer.Assembler
	received := []answer.Frame{
		{Seq: 2, Data: "three headers"},
		{Seq: 1, Data: "Draft: "},
		{Seq: 1, Data: "Draft: "},
		{Seq: 3, End: &answer.End{Frames: 2, Status: 200}},
	}
	for _, frame := range received {
		frames, err := assembler.Add(frame)
		fmt.Println(len(frames), err, assembler.Complete())
	}
	// Output:
	// 0 <nil> false
	// 2 <nil> false
	// 0 <nil> false
	// 1 <nil> true
}

// drawAnswer draws the frames of one complete answer.
func drawAnswer(t *rapid.T) []answer.Frame {
	texts := rapid.SliceOfN(rapid.StringN(0, 5, -1), 0, 30).Draw(t, "texts")
	var frames []answer.Frame
	for i, text := range texts {
		frames = append(frames, answer.Frame{Seq: answer.Seq(i + 1), Data: text})
	}
	end := &answer.End{Frames: uint64(len(texts)), Status: 200}
	return append(frames, answer.Frame{Seq: answer.Seq(len(texts) + 1), End: end})
}

// text returns the joined data of frames.
func text(frames []answer.Frame) string {
	var joined strings.Builder
	for _, frame := range frames {
		joined.WriteString(frame.Data)
	}
	return joined.String()
}

// Frames arrive reordered, repeated and with some missing. The reader must get
// a prefix of the answer, byte for byte, and the answer must count as complete
// only with all frames.
func TestAssemblerReturnsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawAnswer(t)
		indexes := rapid.SliceOf(rapid.IntRange(0, len(sent)-1)).Draw(t, "received")
		if rapid.Bool().Draw(t, "all arrive") {
			all := make([]int, len(sent))
			for i := range all {
				all[i] = i
			}
			indexes = append(indexes, rapid.Permutation(all).Draw(t, "order")...)
		}
		var assembler answer.Assembler
		var got []answer.Frame
		seen := make(map[int]bool)
		for _, index := range indexes {
			frames, err := assembler.Add(sent[index])
			if err != nil {
				t.Fatalf("got error %v for frames without contradiction, want none", err)
			}
			got = append(got, frames...)
			seen[index] = true
		}
		want := 0
		for seen[want] {
			want++
		}
		if len(got) != want || text(got) != text(sent[:want]) {
			t.Fatalf("got %d frames %q, want %d frames %q", len(got), text(got), want, text(sent[:want]))
		}
		if complete := want == len(sent); assembler.Complete() != complete {
			t.Fatalf("got complete %t, want %t after %d of %d frames", assembler.Complete(), complete, want, len(sent))
		}
	})
}

// An answer with a forged frame, which contradicts the others, must fail and
// must never count as complete.
func TestAssemblerRejectsContradictingFrame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawAnswer(t)
		forged := answer.Frame{Seq: answer.Seq(rapid.IntRange(0, len(sent)+2).Draw(t, "seq"))}
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			forged.Data = "forged text"
		case 1:
			forged.End = &answer.End{Frames: rapid.Uint64Range(0, 40).Draw(t, "count")}
		case 2:
			forged.Problem = &result.Problem{Code: "HH3002"}
		}
		if forged.End != nil && int(forged.Seq) == len(sent) && forged.End.Frames == uint64(len(sent)-1) {
			t.Skip("not forged")
		}
		received := rapid.Permutation(append(sent, forged)).Draw(t, "order")
		var assembler answer.Assembler
		var failure error
		for _, frame := range received {
			if _, err := assembler.Add(frame); err != nil {
				failure = err
			}
		}
		if got, want := result.CodeOf(failure), result.AnswerCut; got != want {
			t.Fatalf("got code %s (error %v), want %s", got.Name(), failure, want.Name())
		}
		if assembler.Complete() {
			t.Fatal("got a complete answer with a forged frame, want an incomplete one")
		}
	})
}

func TestAssemblerBoundsBufferedFrames(t *testing.T) {
	tests := []struct {
		name      string
		assembler answer.Assembler
		frames    int
	}{
		{"by count", answer.Assembler{MaxBuffered: 4}, 5},
		{"by bytes", answer.Assembler{MaxBufferedBytes: 300}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var err error
			for i := range test.frames {
				if err != nil {
					t.Fatalf("got error %v before frame %d, want the frames before it buffered", err, i)
				}
				_, err = test.assembler.Add(answer.Frame{Seq: answer.Seq(i + 2), Data: "0123456789"})
			}
			if got, want := result.CodeOf(err), result.AnswerCut; got != want {
				t.Errorf("got code %s, want %s", got.Name(), want.Name())
			}
		})
	}
}

func TestAssemblerResumes(t *testing.T) {
	assembler := answer.Assembler{First: 3}
	for _, frame := range []answer.Frame{{Seq: 2, Data: "b"}, {Seq: 3, Data: "c"}, {Seq: 4, End: &answer.End{Frames: 3}}} {
		if _, err := assembler.Add(frame); err != nil {
			t.Fatalf("got error %v, want none", err)
		}
	}
	if !assembler.Complete() {
		t.Error("got an incomplete answer, want a complete one")
	}
}
