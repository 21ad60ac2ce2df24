package answer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
)

// A reader that resumes at any frame must get either every frame from there on
// or the report that some were dropped, and the buffer must stay within its
// bound.
func TestReplayIsBoundedAndWithoutGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawAnswer(t)
		replay := answer.Replay{MaxBytes: ident.Bytes(rapid.IntRange(1, 600).Draw(t, "bound"))}
		count := rapid.IntRange(0, len(sent)).Draw(t, "count")
		for _, frame := range sent[:count] {
			replay.Append(frame)
			replay.Append(frame)
			if replay.Size() > replay.MaxBytes {
				t.Fatalf("got a buffer of %d bytes, want at most %d", replay.Size(), replay.MaxBytes)
			}
		}
		from := rapid.IntRange(0, count+2).Draw(t, "from")
		frames, available := replay.From(answer.Seq(from))
		if !available {
			if len(frames) != 0 {
				t.Fatalf("got %d frames although some were dropped, want none", len(frames))
			}
			return
		}
		want := sent[min(max(from, 1)-1, count):count]
		if len(frames) != len(want) || text(frames) != text(want) {
			t.Fatalf("got %d frames %q, want %d frames %q", len(frames), text(frames), len(want), text(want))
		}
	})
}

func TestReplayKeepsFramesWithinBound(t *testing.T) {
	var replay answer.Replay
	for seq := answer.Seq(1); seq <= 100; seq++ {
		replay.Append(answer.Frame{Seq: seq, Data: "text"})
	}
	frames, available := replay.From(1)
	if got, want := len(frames), 100; got != want || !available {
		t.Errorf("got %d frames, available %t, want %d frames available", got, available, want)
	}
}

func TestReplayDropsFramesBeforeAGap(t *testing.T) {
	var replay answer.Replay
	replay.Append(answer.Frame{Seq: 1, Data: "a"})
	replay.Append(answer.Frame{Seq: 3, Data: "c"})
	if _, available := replay.From(1); available {
		t.Error("got frames across a gap, want the report that some were dropped")
	}
	if frames, available := replay.From(3); len(frames) != 1 || !available {
		t.Errorf("got %d frames, available %t, want frame 3 available", len(frames), available)
	}
}

func TestReplayExpires(t *testing.T) {
	expiry := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	replay := answer.Replay{ExpiresAt: expiry}
	if got := replay.Expired(expiry.Add(-time.Nanosecond)); got {
		t.Errorf("got expired %t before its expiry, want false", got)
	}
	if got := replay.Expired(expiry); !got {
		t.Errorf("got expired %t at its expiry, want true", got)
	}
}
