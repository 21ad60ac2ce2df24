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

// profiledModel is served only by the sidecar in the benchmark's own process, so
// that requests on its route reach no other sidecar.
const profiledModel = ident.ModelName("profiled-7b@1")

// BenchmarkProfile streams answers through a router and a sidecar that run in
// the benchmark's own process, so that -cpuprofile and -memprofile cover them.
// The engine and the platform run in processes of their own.
func BenchmarkProfile(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{
		EngineArgs: []string{"--limit", "4096", "--tokens-per-second", "80", "--prefill-per-second", "0"},
		Values:     map[settings.Path]string{"/Teams/maison/Routes/profiled": `{"Model":"profiled-7b@1","Idempotent":true}`},
	})
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	runSidecar(ctx, b, fleet)
	endpoint := endpoint{address: runRouter(ctx, b, fleet), route: "profiled", tokens: 400}
	workload := workload{endpoint: endpoint, streams: 192, rounds: 1, latencies: newLatencies()}
	for b.Loop() {
		if err := workload.run(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// daemonConfig returns the configuration that a router and a sidecar of the
// fleet have in common, for the given VM.
func daemonConfig(fleet *fleettest.Fleet, vm ident.VMID) config.Daemon {
	return config.Daemon{
		VM:         vm,
		Zone:       "est-a",
		Region:     "est",
		Platform:   fleet.PlatformAddress,
		PeerListen: "127.0.0.1:0",
		Secret:     fleettest.Secret,
	}
}

// runSidecar starts a sidecar for the fleet's first engine, adds it to the
// platform's VM list and waits until it is ready. The sidecar runs until ctx is
// cancelled.
func runSidecar(ctx context.Context, b *testing.B, fleet *fleettest.Fleet) {
	started := make(chan daemon.Addresses, 1)
	upstream := config.Upstream{ID: "profiled-1", Address: fleet.Engines[0].Address, Model: profiledModel, Limit: 4096}
	sidecar := &daemon.Sidecar{
		Config:  config.Sidecar{Daemon: daemonConfig(fleet, "vm-profiled-1"), HopListen: "127.0.0.1:0", Upstream: upstream},
		OnStart: func(addresses daemon.Addresses) { started <- addresses },
	}
	runner := daemonRunner{b: b, runDaemon: sidecar.Run}
	go runner.run(ctx)
	addresses := <-started
	fleet.PutVM(platform.VM{
		ID:          "vm-profiled-1",
		Role:        platform.RoleSidecar,
		Address:     addresses.Hop,
		PeerAddress: addresses.Peers,
		Zone:        "est-a",
		Region:      "est",
		Upstream:    &platform.VMUpstream{ID: upstream.ID, Model: profiledModel},
	})
	fleet.WaitFor("the profiled sidecar to be ready", func() bool { return isReady("http://" + addresses.Hop + "/ready") })
}

// runRouter starts a router, waits until it is ready and returns the address that
// it serves callers on. The router runs until ctx is cancelled.
func runRouter(ctx context.Context, b *testing.B, fleet *fleettest.Fleet) string {
	started := make(chan daemon.Addresses, 1)
	router := &daemon.Router{
		Config:  config.Router{Daemon: daemonConfig(fleet, "profiled-router"), CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0"},
		OnStart: func(addresses daemon.Addresses) { started <- addresses },
	}
	runner := daemonRunner{b: b, runDaemon: router.Run}
	go runner.run(ctx)
	addresses := <-started
	fleet.WaitFor("the profiled router to be ready", func() bool { return isReady("http://" + addresses.Callers + "/ready") })
	return addresses.Callers
}

// isReady reports whether a GET of url returns status 200.
func isReady(url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// daemonRunner runs a daemon in the benchmark's process and reports its error as
// a failure of the benchmark.
type daemonRunner struct {
	b         *testing.B
	runDaemon func(ctx context.Context) error
}

func (runner daemonRunner) run(ctx context.Context) {
	if err := runner.runDaemon(ctx); err != nil {
		runner.b.Error(err)
	}
}
