package capacity_test

import (
	"context"
	"testing"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
)

// profiled is the model of the sidecar that runs in the benchmark's process.
const profiled = ident.ModelName("profiled-7b@1")

// BenchmarkProfile streams answers through a router and a sidecar that run in
// the benchmark's own process, so that -cpuprofile and -memprofile show them.
// The engine and the platform are other processes.
func BenchmarkProfile(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "80", "--prefill-per-second", "0"},
		Values:     map[settings.Path]string{"/Teams/maison/Routes/profiled": `{"Model":"profiled-7b@1","Idempotent":true}`},
	})
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	runSidecar(ctx, b, fleet)
	from := source{address: runRouter(ctx, b, fleet), route: "profiled", tokens: 400}
	reading := reading{source: from, streams: 192, rounds: 1, times: newTimes()}
	for b.Loop() {
		if err := reading.run(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

func daemonConfig(fleet *fleettest.Fleet, vm ident.VMID) config.Daemon {
	return config.Daemon{
		VM:         vm,
		Zone:       "est-a",
		Region:     "est",
		Platform:   fleet.PlatformAt,
		PeerListen: "127.0.0.1:0",
		Secret:     fleettest.Secret,
	}
}

// runSidecar runs a sidecar beside the fleet's first engine.
func runSidecar(ctx context.Context, b *testing.B, fleet *fleettest.Fleet) {
	started := make(chan daemon.Addresses, 1)
	upstream := config.Upstream{ID: "profiled-1", Address: fleet.Engines[0].Address, Model: profiled, Limit: 4096}
	sidecar := &daemon.Sidecar{
		Config:  config.Sidecar{Daemon: daemonConfig(fleet, "vm-profiled-1"), HopListen: "127.0.0.1:0", Upstream: upstream},
		Started: func(addresses daemon.Addresses) { started <- addresses },
	}
	running := running{b: b, main: sidecar.Run}
	go running.run(ctx)
	addresses := <-started
	fleet.PutVM(platform.VM{
		ID:          "vm-profiled-1",
		Role:        platform.RoleSidecar,
		Address:     addresses.Hop,
		PeerAddress: addresses.Peers,
		Zone:        "est-a",
		Region:      "est",
		Upstream:    &platform.VMUpstream{ID: upstream.ID, Model: profiled},
	})
	fleet.WaitFor("the profiled sidecar", func() bool { return answers("http://" + addresses.Hop + "/ready") })
}

// runRouter runs a router and returns the address of its callers.
func runRouter(ctx context.Context, b *testing.B, fleet *fleettest.Fleet) string {
	started := make(chan daemon.Addresses, 1)
	router := &daemon.Router{
		Config:  config.Router{Daemon: daemonConfig(fleet, "profiled-router"), CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0"},
		Started: func(addresses daemon.Addresses) { started <- addresses },
	}
	running := running{b: b, main: router.Run}
	go running.run(ctx)
	addresses := <-started
	fleet.WaitFor("the profiled router", func() bool { return answers("http://" + addresses.Callers + "/ready") })
	return addresses.Callers
}

func answers(url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// running is a daemon in the benchmark's process.
type running struct {
	b    *testing.B
	main func(ctx context.Context) error
}

func (running running) run(ctx context.Context) {
	if err := running.main(ctx); err != nil {
		running.b.Error(err)
	}
}
