package wait_test

import (
	"context"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		length time.Duration
		want   bool
	}{
		{"to its end", t.Context(), time.Millisecond, true},
		{"nothing", t.Context(), 0, true},
		{"less than nothing", t.Context(), -time.Hour, true},
		{"ended", ended, time.Hour, false},
		{"ended, nothing", ended, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := wait.Sleep(test.ctx, test.length); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestEach(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	wait.Every(ctx, time.Millisecond, func(context.Context) {
		calls++
		if calls == 3 {
			cancel()
		}
	})
	if calls < 3 {
		t.Errorf("got %d calls, want 3 or more", calls)
	}
}

func TestSpread(t *testing.T) {
	for range 1000 {
		if got := wait.Jitter(time.Second); got < time.Second/2 || got > 3*time.Second/2 {
			t.Fatalf("got %v, want half to one and a half of a second", got)
		}
	}
}
