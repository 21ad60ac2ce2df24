package entry_test

import (
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/hickoryhead/hickoryhead/entry"
)

// TestFailedStartClosesItsListeners guards against a router that can't start again
// at its addresses because a failed start still listens there.
func TestFailedStartClosesItsListeners(t *testing.T) {
	taken, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	callers := free.Addr().String()
	_ = free.Close()
	for _, lastStep := range []string{"ready", "peers"} {
		settings := newFixture(t).config
		settings.CallerListen = callers
		if lastStep == "ready" {
			settings.ReadyListen = taken.Addr().String()
		} else {
			settings.PeerListen = taken.Addr().String()
		}
		daemon := &entry.Daemon{Config: settings, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
		if err := daemon.Run(t.Context()); err == nil {
			t.Errorf("got a start without an error although the address for %s is taken, want one", lastStep)
		}
		again, err := net.Listen("tcp", callers)
		if err != nil {
			t.Errorf("got %v after a failed start (%s), want the address to be free", err, lastStep)
			continue
		}
		_ = again.Close()
	}
}
