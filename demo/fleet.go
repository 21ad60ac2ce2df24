package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
	"github.com/hickoryhead/hickoryhead/standin"
)

// What the fleet of the demo serves.
const (
	team      = ident.TeamID("maison")
	model     = ident.ModelName("planogram-7b@3")
	service   = ident.ServiceName("orders")
	region    = ident.Region("qc-est")
	secret    = "demo-secret-demo-secret-demo-secret"
	teamToken = "demo-token"
	loopback  = "127.0.0.1:0"

	engineTokensPerSecond = 400
	prefillPerSecond      = 40_000
	engineLimit           = 32
)

var workspaces = []ident.WorkspaceID{"grocer-1", "grocer-2", "signage"}

var teamSettings = map[settings.Path]string{
	"/Teams/maison/Workspaces/grocer-1":  `{"Weight":2}`,
	"/Teams/maison/Workspaces/grocer-2":  `{"Weight":1}`,
	"/Teams/maison/Workspaces/signage":   `{"Weight":1}`,
	"/Teams/maison/Priorities/shelf":     `{"Mark":1}`,
	"/Teams/maison/Priorities/overnight": `{"Mark":0.6}`,
	"/Teams/maison/Routes/draft":         `{"Model":"planogram-7b@3","Idempotent":true,"LoadMultiple":1.5}`,
	"/Teams/maison/Routes/confirm":       `{"Service":"orders","Operation":"confirm","TimeoutMs":10000}`,
	"/Teams/maison/Routes/order-status":  `{"Service":"orders","Operation":"status","Idempotent":true}`,
}

// fleet runs every role and stand-in, each on its own loopback address.
type fleet struct {
	logger   *slog.Logger
	platform standin.Platform
	service  standin.Service
	engines  []*standin.Engine
	// platformAt and serviceAt are the addresses of the platform and the service.
	// All addresses are IP:port.
	platformAt string
	serviceAt  string
	callers    []string
	operators  []string
	sidecars   []*daemonRun
	routers    []*daemonRun
	servers    []*http.Server
}

// daemonRun is a running daemon. ended is closed after err is set.
type daemonRun struct {
	serve   func(ctx context.Context) error
	stop    context.CancelFunc
	started chan daemon.Addresses
	err     error
	ended   chan struct{}
}

// newDaemonRun returns a daemon run and its context. The caller sets serve and then
// calls go run(ctx).
func newDaemonRun() (*daemonRun, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	return &daemonRun{stop: stop, started: make(chan daemon.Addresses, 1), ended: make(chan struct{})}, ctx
}

func (daemonRun *daemonRun) run(ctx context.Context) {
	daemonRun.err = daemonRun.serve(ctx)
	close(daemonRun.ended)
}

func (daemonRun *daemonRun) reportStarted(addresses daemon.Addresses) { daemonRun.started <- addresses }

// wait waits until the daemon listens and returns its addresses, or its error if it
// ended before.
func (daemonRun *daemonRun) wait() (daemon.Addresses, error) {
	select {
	case addresses := <-daemonRun.started:
		return addresses, nil
	case <-daemonRun.ended:
		return daemon.Addresses{}, daemonRun.err
	}
}

// httpRun serves one stand-in over HTTP.
type httpRun struct {
	server   *http.Server
	listener net.Listener
}

func (httpRun *httpRun) run() { _ = httpRun.server.Serve(httpRun.listener) }

// serve serves handler on a free loopback address and returns the address.
func (fleet *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	httpRun := &httpRun{server: &http.Server{Handler: handler}, listener: listener}
	fleet.servers = append(fleet.servers, httpRun.server)
	go httpRun.run()
	return listener.Addr().String(), nil
}

// start starts the stand-ins, then the sidecars, then the routers.
func (fleet *fleet) start(ctx context.Context, engines, routers int) error {
	var err error
	if fleet.platformAt, err = fleet.serve(&fleet.platform); err != nil {
		return err
	}
	if err := fleet.seed(ctx); err != nil {
		return err
	}
	fleet.service.Idempotent = []string{"status"}
	if fleet.serviceAt, err = fleet.serve(&fleet.service); err != nil {
		return err
	}
	if err := fleet.startSidecar("orders-1", config.Upstream{Address: fleet.serviceAt, Service: service}); err != nil {
		return err
	}
	for i := range engines {
		if err := fleet.startEngine(fmt.Sprintf("engine-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range routers {
		if err := fleet.startRouter(fmt.Sprintf("router-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

// seed writes the team and its settings to the platform.
func (fleet *fleet) seed(ctx context.Context) error {
	store := settingstable.Store{Client: platform.New(fleet.platformAt, nil)}
	row := settingstable.Team{CredentialSHA256: []string{settingstable.HashCredential(teamToken)}}
	if err := store.PutTeam(ctx, team, row); err != nil {
		return err
	}
	values := make(map[settings.Path]json.RawMessage, len(teamSettings))
	for path, value := range teamSettings {
		values[path] = json.RawMessage(value)
	}
	change := settings.Change{ID: "demo", Team: team, Author: "demo", Reason: "first settings", Values: values}
	_, err := store.Accept(ctx, change)
	return err
}

func (fleet *fleet) startEngine(id string) error {
	engine := &standin.Engine{
		Model:            model,
		Limit:            engineLimit,
		TokensPerSecond:  engineTokensPerSecond,
		PrefillPerSecond: prefillPerSecond,
	}
	address, err := fleet.serve(engine)
	if err != nil {
		return err
	}
	fleet.engines = append(fleet.engines, engine)
	return fleet.startSidecar(id, config.Upstream{Address: address, Model: model, Limit: engineLimit})
}

func (fleet *fleet) daemon(vm string) config.Daemon {
	return config.Daemon{
		VM:         ident.VMID(vm),
		Zone:       "qc-est-a",
		Region:     region,
		Platform:   fleet.platformAt,
		PeerListen: loopback,
		Secret:     secret,
	}
}

func (fleet *fleet) startSidecar(id string, upstream config.Upstream) error {
	upstream.ID = ident.UpstreamID(id)
	loaded := config.Sidecar{Daemon: fleet.daemon("vm-" + id), HopListen: loopback, Upstream: upstream}
	daemonRun, ctx := newDaemonRun()
	sidecar := &daemon.Sidecar{Config: loaded, Logger: fleet.logger, OnStart: daemonRun.reportStarted}
	daemonRun.serve = sidecar.Run
	fleet.sidecars = append(fleet.sidecars, daemonRun)
	go daemonRun.run(ctx)
	addresses, err := daemonRun.wait()
	if err != nil {
		return errors.Wrapf(err, "start sidecar %s", id)
	}
	vm := vmOf(loaded.Daemon, platform.RoleSidecar, addresses.Hop, addresses.Peers)
	vm.Upstream = &platform.VMUpstream{ID: upstream.ID, Model: upstream.Model, Service: upstream.Service}
	fleet.platform.PutVM(vm)
	return nil
}

func (fleet *fleet) startRouter(id string) error {
	loaded := config.Router{Daemon: fleet.daemon(id), CallerListen: loopback, OperatorListen: loopback}
	daemonRun, ctx := newDaemonRun()
	router := &daemon.Router{Config: loaded, Logger: fleet.logger, OnStart: daemonRun.reportStarted}
	daemonRun.serve = router.Run
	fleet.routers = append(fleet.routers, daemonRun)
	go daemonRun.run(ctx)
	addresses, err := daemonRun.wait()
	if err != nil {
		return errors.Wrapf(err, "start router %s", id)
	}
	fleet.callers = append(fleet.callers, addresses.Callers)
	fleet.operators = append(fleet.operators, addresses.Operators)
	fleet.platform.PutVM(vmOf(loaded.Daemon, platform.RoleRouter, addresses.Callers, addresses.Peers))
	return nil
}

// vmOf returns the entry of a daemon's VM in the VM list.
func vmOf(loaded config.Daemon, role platform.Role, address, peers string) platform.VM {
	return platform.VM{ID: loaded.VM, Role: role, Address: address, PeerAddress: peers, Zone: loaded.Zone, Region: loaded.Region}
}

// close stops the routers, then the sidecars, each gracefully, and then the
// stand-ins. It returns the first error, with later ones attached.
func (fleet *fleet) close() error {
	var first error
	for _, daemonRun := range append(fleet.routers, fleet.sidecars...) {
		daemonRun.stop()
		<-daemonRun.ended
		first = errors.CombineErrors(first, daemonRun.err)
	}
	for _, server := range fleet.servers {
		_ = server.Close()
	}
	return first
}
