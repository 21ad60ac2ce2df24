package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/configrpc"
	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
)

// TestRowOfAnotherRouterSkipsNoEvacuation guards against a router that uses the version of
// the configuration's row, received from another router, as its position in the table:
// an evacuation or its end from before that version would never be read. A router that starts
// must not serve with a configuration alone, which is all that an earlier program gives.
func TestRowOfAnotherRouterSkipsNoEvacuation(t *testing.T) {
	evacuated := []evacuation.State{{Zone: "b", Revision: 6, Evacuated: true}}
	tests := []struct {
		name  string
		row   configrpc.Row
		after ident.Revision
		want  ident.Revision
		// zone is the one that is evacuated afterwards: a was before.
		zone ident.Zone
		err  error
	}{
		{"the other has read less than its row", configrpc.Row{Version: 9, ReadAt: 7, Evacuated: evacuated}, 5, 7, "b", nil},
		{"the other has read less than this router", configrpc.Row{Version: 9, ReadAt: 3}, 5, 5, "a", nil},
		{"earlier program", configrpc.Row{Version: 9}, 5, 5, "a", nil},
		{"at the start", configrpc.Row{Version: 9, ReadAt: 12, Evacuated: evacuated}, 0, 12, "b", nil},
		{"at the start, earlier program", configrpc.Row{Version: 9}, 0, 0, "a", errNoEvacuations},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			daemon := new(Daemon)
			daemon.updater = &follow.Updater{Registry: &daemon.registry, Evacuations: &daemon.evacuations, RelayEvacuations: func() {}, Logger: logging.Component(nil, "follow")}
			version := test.after
			if version == 0 {
				// Another router has reported zone a.
				daemon.updater.ApplyRemoteEvacuations([]evacuation.State{{Zone: "a", Revision: 4, Evacuated: true}}, "x")
			} else {
				daemon.updater.ReplaceEvacuations([]evacuation.State{{Zone: "a", Revision: 4}}, version, "store")
			}
			source := &configSource{daemon: daemon}
			test.row.Value = []byte("{}")
			records, err := source.recordsOf(test.row, "10.0.0.1:1", test.after)
			if err != test.err || records.Version != test.want {
				t.Fatalf("got rows as of version %d and error %v, want %d and %v", records.Version, err, test.want, test.err)
			}
			for _, zone := range []ident.Zone{"a", "b"} {
				if got := daemon.registry.Evacuated(zone); got != (zone == test.zone) {
					t.Errorf("got zone %s evacuated %v, want %v", zone, got, zone == test.zone)
				}
			}
			if err == nil && records.Records[0].Key != platform.ConfigKey {
				t.Errorf("got rows %+v, want the configuration first", records.Records)
			}
		})
	}
}

// TestSecondRouterIsAskedForEvacuations guards against a router that starts and waits for the
// store, because the first of two routers that it asks for the configuration runs an earlier
// program, which doesn't say which zones are evacuated.
func TestSecondRouterIsAskedForEvacuations(t *testing.T) {
	daemon := &Daemon{Logger: logging.Component(nil, "entry")}
	daemon.scheduler.Self = "10.0.0.1:1"
	daemon.updater = &follow.Updater{Registry: &daemon.registry, Evacuations: &daemon.evacuations, RelayEvacuations: func() {}, Logger: logging.Component(nil, "follow")}
	for _, readAt := range []ident.Revision{0, 12} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		service := &configrpc.Service{Evacuations: func() []evacuation.State { return nil }}
		service.Set(configrpc.Row{Value: []byte("{}"), Version: 9})
		service.SetReadAt(readAt)
		go func() { _ = (&configrpc.Server{Service: service, Listener: listener}).Run() }()
		daemon.scheduler.ObservePeer(time.Now(), listener.Addr().String(), follow.PeerState{ConfigVersion: 3})
	}
	// The routers are asked in random order.
	const reads = 10
	source := &configSource{daemon: daemon}
	for range reads {
		if records, err := source.fetchFromRouters(context.Background(), 0); err != nil || records.Version != 12 {
			t.Fatalf("got rows as of version %d and error %v, want those of the router that has read the table up to 12", records.Version, err)
		}
	}
}
