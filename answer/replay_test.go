package answer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
)

// A reader that resumes anywhere has either every frame from there on or the
// word that some are gone, and the buffer stays within its bound.
func TestReplayIsBoundedAndWithoutGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawAnswer(t)
		replay := answer.Replay{MaxBytes: ident.Bytes(rapid.IntRange(1, 600).Draw(t, "bound"))}
		count := rapid.IntRange(0, len(sent)).Draw(t, "count")
		for _, frame := range sent[:count] {
			replay.Append(frame)
			replay.Append(frame)
			if replay.Size() > replay.MaxBytes {
				t.Fatalf("got %d bytes held, want at most %d", replay.Size(), replay.MaxBytes)
			}
		}
		from := rapid.IntRange(0, count+2).Draw(t, "from")
		frames, held := replay.From(answer.Seq(from))
		if !held {
			if len(frames) != 0 {
				t.Fatalf("got %d frames beside the word that some are gone", len(frames))
			}
			return
		}
		want := sent[min(max(from, 1)-1, count):count]
		if len(frames) != len(want) || text(frames) != text(want) {
			t.Fatalf("got %d frames %q, want %d frames %q", len(frames), text(frames), len(want), text(want))
		}
	})
}

func TestReplayHoldsWhatFits(t *testing.T) {
	var replay answer.Replay
	for seq := answer.Seq(1); seq <= 100; seq++ {
		replay.Append(answer.Frame{Seq: seq, Data: "text"})
	}
	frames, held := replay.From(1)
	if got, want := len(frames), 100; got != want || !held {
		t.Errorf("got %d frames, held %t, want %d frames", got, held, want)
	}
}

func TestReplayDropsFramesBeforeAGap(t *testing.T) {
	var replay answer.Replay
	replay.Append(answer.Frame{Seq: 1, Data: "a"})
	replay.Append(answer.Frame{Seq: 3, Data: "c"})
	if _, held := replay.From(1); held {
		t.Error("got frames across a gap, want the word that some are gone")
	}
	if frames, held := replay.From(3); len(frames) != 1 || !held {
		t.Errorf("got %d frames, held %t, want frame 3", len(frames), held)
	}
}

func TestReplayExpires(t *testing.T) {
	expiry := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	replay := answer.Replay{ExpiresAt: expiry}
	if got := replay.Expired(expiry.Add(-time.Nanosecond)); got {
		t.Errorf("got expired %t before its time, want false", got)
	}
	if got := replay.Expired(expiry); !got {
		t.Errorf("got expired %t at its time, want true", got)
	}
}
