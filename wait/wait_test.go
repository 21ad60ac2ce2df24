package wait_test

import (
	"context"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

func TestSleep(t *testing.T) {
	endedCtx, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name     string
		ctx      context.Context
		duration time.Duration
		want     bool
	}{
		{"full duration", t.Context(), time.Millisecond, true},
		{"zero duration", t.Context(), 0, true},
		{"negative duration", t.Context(), -time.Hour, true},
		{"context ended", endedCtx, time.Hour, false},
		{"context ended, zero duration", endedCtx, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := wait.Sleep(test.ctx, test.duration); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestEvery(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	wait.Every(ctx, time.Millisecond, func(context.Context) {
		calls++
		if calls == 3 {
			cancel()
		}
	})
	if calls < 3 {
		t.Errorf("got %d calls, want at least 3", calls)
	}
}

func TestJitter(t *testing.T) {
	for range 1000 {
		if got := wait.Jitter(time.Second); got < time.Second/2 || got > 3*time.Second/2 {
			t.Fatalf("got %v, want 0.5 s to 1.5 s", got)
		}
	}
}
