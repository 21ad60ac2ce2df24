package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
	"github.com/hickoryhead/hickoryhead/standin"
)

// fleet is a set of daemons that run in this process. Each has its own peer
// server, links and replicator. They reach each other and the platform stand-in
// over loopback TCP.
type fleet struct {
	t         testing.TB
	platform  *standin.Platform
	address   string
	identity  *peer.Identity
	configure func(*peer.Replicator)
	daemons   []*daemon
}

type daemon struct {
	fleet           *fleet
	vm              platform.VM
	replicator      *peer.Replicator
	links           *peer.Links
	server          *peer.Server
	store           *settingstable.Store
	traffic         *metrics.Traffic
	platformTraffic *metrics.Traffic
	gate            *gate
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	listener        net.Listener

	mu      sync.Mutex
	adopted map[revisionKey]time.Time
	newest  map[ident.TeamID]ident.Revision
}

type revisionKey struct {
	team     ident.TeamID
	revision ident.Revision
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	fleet := &fleet{t: t, platform: &standin.Platform{}, identity: identity(t, 'f')}
	server := httptest.NewServer(fleet.platform)
	fleet.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		fleet.stop()
		server.Close()
	})
	return fleet
}

// start adds daemons and waits until each of them is ready.
func (fleet *fleet) start(size, regions int) {
	fleet.t.Helper()
	for range size {
		fleet.prepare(regions)
	}
	fleet.updateVMs()
	for _, daemon := range fleet.daemons {
		daemon.start()
	}
	for _, daemon := range fleet.daemons {
		eventually(fleet.t, "a ready daemon", daemon.replicator.Ready)
	}
}

// prepare adds a daemon that does not run yet.
func (fleet *fleet) prepare(regions int) *daemon {
	fleet.t.Helper()
	number := len(fleet.daemons)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	prepared := &daemon{
		fleet:           fleet,
		vm:              fleetOf(number+1, regions, 3)[number],
		traffic:         &metrics.Traffic{Peer: metrics.PeerDaemon},
		platformTraffic: &metrics.Traffic{Peer: metrics.PeerPlatform},
		gate:            newGate(),
		listener:        listener,
		adopted:         make(map[revisionKey]time.Time),
		newest:          make(map[ident.TeamID]ident.Revision),
	}
	prepared.vm.PeerAddress = listener.Addr().String()
	prepared.build()
	fleet.daemons = append(fleet.daemons, prepared)
	return prepared
}

func (daemon *daemon) build() {
	fleet := daemon.fleet
	daemon.store = &settingstable.Store{Client: platform.New(fleet.address, daemon.platformTraffic)}
	daemon.links = &peer.Links{Identity: fleet.identity, Traffic: daemon.traffic, Dial: daemon.gate.dial}
	daemon.replicator = &peer.Replicator{
		Self:    daemon.vm,
		Call:    daemon.links.Call,
		Heads:   daemon.heads,
		Load:    daemon.store.Load,
		OnAdopt: daemon.recordAdoption,
	}
	if fleet.configure != nil {
		fleet.configure(daemon.replicator)
	}
	daemon.server = &peer.Server{Identity: fleet.identity, Traffic: daemon.traffic}
	if err := daemon.server.Register("Settings", daemon.replicator.Receiver()); err != nil {
		fleet.t.Fatal(err)
	}
}

func (daemon *daemon) start() {
	daemon.ctx, daemon.cancel = context.WithCancel(context.Background())
	daemon.tasks.Add(3)
	for _, task := range []func(){daemon.serve, func() { daemon.links.Run(daemon.ctx) }, func() { daemon.replicator.Run(daemon.ctx) }} {
		go (&daemonTask{daemon: daemon, do: task}).run()
	}
}

// daemonTask is one of the goroutines of a daemon.
type daemonTask struct {
	daemon *daemon
	do     func()
}

func (task *daemonTask) run() {
	defer task.daemon.tasks.Done()
	task.do()
}

// serve serves the other daemons until the daemon's context ends.
func (daemon *daemon) serve() {
	if err := daemon.server.Serve(daemon.ctx, &gatedListener{Listener: daemon.listener, gate: daemon.gate}); err != nil {
		daemon.fleet.t.Errorf("got %v from Serve, want nil", err)
	}
}

// stop ends a daemon like a killed process: it notifies no peer.
func (daemon *daemon) stop() {
	if daemon.cancel == nil {
		return
	}
	daemon.gate.thaw()
	daemon.cancel()
	daemon.tasks.Wait()
}

func (fleet *fleet) stop() {
	for _, daemon := range fleet.daemons {
		if daemon.cancel != nil {
			daemon.gate.thaw()
			daemon.cancel()
		}
	}
	for _, daemon := range fleet.daemons {
		daemon.stop()
	}
}

// updateVMs gives every daemon the list of all VMs.
func (fleet *fleet) updateVMs() {
	vms := fleet.vmList()
	for _, daemon := range fleet.daemons {
		daemon.replicator.SetVMs(vms)
	}
}

func (fleet *fleet) vmList() []platform.VM {
	vms := make([]platform.VM, 0, len(fleet.daemons))
	for _, daemon := range fleet.daemons {
		vms = append(vms, daemon.vm)
	}
	return vms
}

func (daemon *daemon) heads(ctx context.Context) (map[ident.TeamID]ident.Revision, error) {
	if err := daemon.gate.pass(ctx); err != nil {
		return nil, err
	}
	return daemon.store.Heads(ctx)
}

// recordAdoption is the daemon's OnAdopt callback. It records when a revision came
// into force and fails the test if an older one is in force.
func (daemon *daemon) recordAdoption(subtree *settings.Subtree) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if daemon.replicator.View().Revision(subtree.Team) < subtree.Revision {
		daemon.fleet.t.Errorf("got an older revision in force after revision %d was adopted, want at least %d", subtree.Revision, subtree.Revision)
	}
	daemon.newest[subtree.Team] = max(daemon.newest[subtree.Team], subtree.Revision)
	daemon.adopted[revisionKey{subtree.Team, subtree.Revision}] = time.Now()
}

// checkNoRollback fails the test if a daemon has an older revision in force than
// one that it adopted before.
func (fleet *fleet) checkNoRollback() {
	fleet.t.Helper()
	for _, daemon := range fleet.daemons {
		daemon.mu.Lock()
		for team, want := range daemon.newest {
			if got := daemon.replicator.View().Revision(team); got < want {
				fleet.t.Errorf("got revision %d of %s in force at %s, want at least %d", got, team, daemon.vm.ID, want)
			}
		}
		daemon.mu.Unlock()
	}
}

// accept commits a change of one workspace at a daemon and puts it in force
// there.
func (daemon *daemon) accept(team ident.TeamID, weight int) *settings.Subtree {
	daemon.fleet.t.Helper()
	accepted := daemon.commit(team, weight)
	daemon.replicator.AdoptCommitted(accepted)
	return accepted
}

func (daemon *daemon) commit(team ident.TeamID, weight int) *settings.Subtree {
	daemon.fleet.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	present, err := daemon.store.Load(ctx, team)
	if err != nil {
		daemon.fleet.t.Fatal(err)
	}
	change := settings.Change{
		ID:     string(ident.NewRequestID()),
		Team:   team,
		Values: map[settings.Path]json.RawMessage{settings.Path("/Teams/" + string(team) + "/Workspaces/w0"): json.RawMessage(fmt.Sprintf(`{"Weight":%d}`, weight))},
	}
	if len(present) > 0 {
		change.Base = present[0].Revision
	}
	accepted, err := daemon.store.Accept(ctx, change)
	if err != nil {
		daemon.fleet.t.Fatal(err)
	}
	return accepted.Subtree
}

// waitInForce waits until every daemon has subtree, or a later revision of its
// team, in force.
func waitInForce(t testing.TB, daemons []*daemon, subtree *settings.Subtree) {
	t.Helper()
	for _, daemon := range daemons {
		eventually(t, fmt.Sprintf("revision %d of %s at %s", subtree.Revision, subtree.Team, daemon.vm.ID), func() bool {
			return daemon.replicator.View().Revision(subtree.Team) >= subtree.Revision
		})
	}
}

// errPartitioned is the error of a dial across a partition.
var errPartitioned = errors.New("partitioned")

// gate controls the sockets of a daemon. While it is frozen, reads, writes, dials
// and accepts block without failing, as in a paused process.
type gate struct {
	mu      sync.Mutex
	open    chan struct{}
	blocked func(address string) bool
	dialed  map[net.Conn]string
}

func newGate() *gate {
	gate := &gate{open: make(chan struct{}), dialed: make(map[net.Conn]string)}
	close(gate.open)
	return gate
}

func (gate *gate) freeze() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.open = make(chan struct{})
}

func (gate *gate) thaw() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	select {
	case <-gate.open:
	default:
		close(gate.open)
	}
}

func (gate *gate) wait() {
	gate.mu.Lock()
	open := gate.open
	gate.mu.Unlock()
	<-open
}

func (gate *gate) pass(ctx context.Context) error {
	gate.wait()
	return ctx.Err()
}

// partition closes the connections to the addresses for which blocked returns
// true, and makes dials to them fail. A nil blocked ends the partition.
func (gate *gate) partition(blocked func(address string) bool) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.blocked = blocked
	for conn, address := range gate.dialed {
		if blocked != nil && blocked(address) {
			conn.Close()
			delete(gate.dialed, conn)
		}
	}
}

func (gate *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	gate.wait()
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.blocked != nil && gate.blocked(address) {
		conn.Close()
		return nil, errPartitioned
	}
	gate.dialed[conn] = address
	return &gatedConn{Conn: conn, gate: gate}, nil
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (listener *gatedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: listener.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (conn *gatedConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.gate.wait()
	return n, err
}

func (conn *gatedConn) Write(buffer []byte) (int, error) {
	conn.gate.wait()
	return conn.Conn.Write(buffer)
}
