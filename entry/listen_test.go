package entry_test

import (
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/fleettest"
)

// TestStartedLineNamesAllAddresses guards against a router of which only its own process knows
// where it listens, so that settings have to name ports that others may take before it listens.
func TestStartedLineNamesAllAddresses(t *testing.T) {
	for _, internal := range []string{"", anyPort} {
		fixture := newFixture(t)
		fixture.config.MetricsListen = internal
		fixture.start()
		want := fixture.addresses
		fixture.addresses = entry.Addresses{}
		if found := fixture.readAddresses(); !found || fixture.addresses != want {
			t.Errorf("got addresses %+v in the log, want %+v", fixture.addresses, want)
		}
		if (want.Internal == "") != (internal == "") || want.Callers == "" || want.Ready == "" || want.Peers == "" {
			t.Errorf("got addresses %+v with %q for metrics, want one for each listener", want, internal)
		}
	}
}

// TestFailedStartClosesItsListeners guards against a router that can't start again
// at its addresses because a failed start still listens there.
func TestFailedStartClosesItsListeners(t *testing.T) {
	taken, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free, err := net.Listen("tcp", fleettest.AnyPort())
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
