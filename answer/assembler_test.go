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
	arriving := []answer.Frame{
		{Seq: 2, Data: "three headers"},
		{Seq: 1, Data: "Draft: "},
		{Seq: 1, Data: "Draft: "},
		{Seq: 3, End: &answer.End{Frames: 2, Status: 200}},
	}
	for _, frame := range arriving {
		frames, err := assembler.Add(frame)
		fmt.Println(len(frames), err, assembler.Complete())
	}
	// Output:
	// 0 <nil> false
	// 2 <nil> false
	// 0 <nil> false
	// 1 <nil> true
}

// drawAnswer draws the frames of one whole answer.
func drawAnswer(t *rapid.T) []answer.Frame {
	texts := rapid.SliceOfN(rapid.StringN(0, 5, -1), 0, 30).Draw(t, "texts")
	var frames []answer.Frame
	for i, text := range texts {
		frames = append(frames, answer.Frame{Seq: answer.Seq(i + 1), Data: text})
	}
	end := &answer.End{Frames: uint64(len(texts)), Status: 200}
	return append(frames, answer.Frame{Seq: answer.Seq(len(texts) + 1), End: end})
}

func text(frames []answer.Frame) string {
	var joined strings.Builder
	for _, frame := range frames {
		joined.WriteString(frame.Data)
	}
	return joined.String()
}

// Whatever is reordered, repeated or cut, the reader has the first frames of
// the answer, byte for byte, and holds it for whole only with all of them.
func TestAssemblerGivesAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawAnswer(t)
		indexes := rapid.SliceOf(rapid.IntRange(0, len(sent)-1)).Draw(t, "arriving")
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
				t.Fatalf("got error %v for an undamaged answer", err)
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
		if whole := want == len(sent); assembler.Complete() != whole {
			t.Fatalf("got whole %t, want %t after %d of %d frames", assembler.Complete(), whole, want, len(sent))
		}
	})
}

// A frame that contradicts the others is never given out beside them as part
// of a whole answer.
func TestAssemblerRefusesContradiction(t *testing.T) {
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
		arriving := rapid.Permutation(append(sent, forged)).Draw(t, "order")
		var assembler answer.Assembler
		var failure error
		for _, frame := range arriving {
			if _, err := assembler.Add(frame); err != nil {
				failure = err
			}
		}
		if got, want := result.CodeOf(failure), result.AnswerCut; got != want {
			t.Fatalf("got %s (%v), want %s", got.Name(), failure, want.Name())
		}
		if assembler.Complete() {
			t.Fatal("got whole, want a cut answer")
		}
	})
}

func TestAssemblerBoundsHeldFrames(t *testing.T) {
	tests := []struct {
		name      string
		assembler answer.Assembler
		frames    int
	}{
		{"by count", answer.Assembler{MaxHeld: 4}, 5},
		{"by bytes", answer.Assembler{MaxHeldBytes: 300}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var err error
			for i := range test.frames {
				if err != nil {
					t.Fatalf("got %v before frame %d, want it held", err, i)
				}
				_, err = test.assembler.Add(answer.Frame{Seq: answer.Seq(i + 2), Data: "0123456789"})
			}
			if got, want := result.CodeOf(err), result.AnswerCut; got != want {
				t.Errorf("got %s, want %s", got.Name(), want.Name())
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
		t.Error("got a cut answer, want a whole one")
	}
}
