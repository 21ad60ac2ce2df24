package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
)

// What every fleet serves.
const (
	Team      = ident.TeamID("maison")
	Workspace = ident.WorkspaceID("store-12")
	Model     = ident.ModelName("planogram-7b@3")
	Service   = ident.ServiceName("orders")
	// Secret is the fleet's shared key.
	Secret = "0123456789abcdef0123456789abcdef"
	// Token is the team's credential.
	Token = "token-of-the-team"

	readyTimeout = time.Minute
)

// Options say what a fleet consists of. The zero value has one of each.
type Options struct {
	Routers  int
	Engines  int
	Services int
	// EngineArgs and ServiceArgs are further flags of the stand-ins.
	EngineArgs   []string
	ServiceArgs  []string
	PlatformArgs []string
	// Limit is the most requests in flight that each sidecar lets through;
	// zero means its default.
	Limit int
	// Values are further settings of the team.
	Values map[settings.Path]string
}

// Unit is one upstream with its sidecar.
type Unit struct {
	ID       ident.UpstreamID
	Address  string
	Upstream *Process
	Sidecar  *Process
	Hop      string
	VM       platform.VM
}

// Entry is one router.
type Entry struct {
	Process   *Process
	Callers   string
	Operators string
	VM        platform.VM
}

// Fleet is a running fleet.
type Fleet struct {
	T        testing.TB
	Platform *platform.Client
	// PlatformAt is the stand-in's address.
	PlatformAt string
	Routers    []*Entry
	Engines    []*Unit
	Services   []*Unit

	dir     string
	options Options
	hosts   int
}

// host returns a loopback address of its own for each process, as a VM has. A
// process that starts again finds its ports free: connections that others open
// leave from another address.
func (fleet *Fleet) host() string {
	fleet.hosts++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+(pid>>8)%254, 1+pid%254, 1+fleet.hosts%253)
}

// Start starts a fleet and waits until its routers are ready.
func Start(t testing.TB, options Options) *Fleet {
	t.Helper()
	fleet := &Fleet{T: t, dir: t.TempDir(), options: options}
	stand := start(t, "platform", "hickoryhead-standin", append([]string{"platform"}, options.PlatformArgs...)...)
	fleet.PlatformAt = stand.line(t, "listening on ")
	fleet.Platform = platform.New(fleet.PlatformAt, nil)
	fleet.seed()
	for i := range max(1, options.Engines) {
		fleet.Engines = append(fleet.Engines, fleet.startUnit(fmt.Sprintf("engine-%d", i+1), true))
	}
	for i := range max(1, options.Services) {
		fleet.Services = append(fleet.Services, fleet.startUnit(fmt.Sprintf("orders-%d", i+1), false))
	}
	for i := range max(1, options.Routers) {
		fleet.Routers = append(fleet.Routers, fleet.startRouter(fmt.Sprintf("router-%d", i+1)))
	}
	fleet.waitReady()
	return fleet
}

// values returns the settings of the team.
func (fleet *Fleet) values() map[settings.Path]json.RawMessage {
	prefix := settings.Path("/Teams/" + string(Team))
	values := map[settings.Path]json.RawMessage{
		prefix + "/Workspaces/" + settings.Path(Workspace): json.RawMessage(`{"Weight":1}`),
		prefix + "/Workspaces/store-13":                    json.RawMessage(`{"Weight":1}`),
		prefix + "/Priorities/shelf":                       json.RawMessage(`{"Mark":1}`),
		prefix + "/Priorities/overnight":                   json.RawMessage(`{"Mark":0.6}`),
		prefix + "/Routes/draft":                           json.RawMessage(`{"Model":"planogram-7b@3","Idempotent":true,"LoadMultiple":1.5}`),
		prefix + "/Routes/confirm":                         json.RawMessage(`{"Service":"orders","Operation":"confirm","TimeoutMs":10000}`),
		prefix + "/Routes/order-status":                    json.RawMessage(`{"Service":"orders","Operation":"status","Idempotent":true}`),
	}
	for path, value := range fleet.options.Values {
		values[path] = json.RawMessage(value)
	}
	return values
}

func (fleet *Fleet) seed() {
	fleet.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	store := settingstable.Store{Client: fleet.Platform}
	row := settingstable.Team{CredentialSHA256: []string{settingstable.HashCredential(Token)}}
	if err := store.PutTeam(ctx, Team, row); err != nil {
		fleet.T.Fatalf("team: %v", err)
	}
	change := settings.Change{ID: "seed", Team: Team, Author: "fleettest", Reason: "first settings", Values: fleet.values()}
	if _, err := store.Accept(ctx, change); err != nil {
		fleet.T.Fatalf("settings: %v", err)
	}
}

// startUnit starts an upstream and its sidecar and puts its VM on the list.
func (fleet *Fleet) startUnit(id string, engine bool) *Unit {
	fleet.T.Helper()
	unit := &Unit{ID: ident.UpstreamID(id)}
	fleet.StartUpstream(unit, engine, fleet.host())
	fleet.StartSidecar(unit, engine)
	return unit
}

// StartUpstream starts the upstream of a unit at address, IP:port.
func (fleet *Fleet) StartUpstream(unit *Unit, engine bool, address string) {
	fleet.T.Helper()
	args := append([]string{"service", "--listen", address, "--idempotent", "status"}, fleet.options.ServiceArgs...)
	if engine {
		args = append([]string{"engine", "--listen", address}, fleet.options.EngineArgs...)
	}
	unit.Upstream = start(fleet.T, string(unit.ID), "hickoryhead-standin", args...)
	unit.Address = unit.Upstream.line(fleet.T, "listening on ")
}

// StartSidecar starts the sidecar of a unit, at its former addresses if it had
// any, and puts its VM on the platform's list.
func (fleet *Fleet) StartSidecar(unit *Unit, engine bool) {
	fleet.T.Helper()
	described := config.Upstream{ID: unit.ID, Address: unit.Address, Service: Service, Limit: fleet.options.Limit}
	if engine {
		described = config.Upstream{ID: unit.ID, Address: unit.Address, Model: Model, Limit: fleet.options.Limit}
	}
	host := fleet.host()
	loaded := config.Sidecar{
		Daemon:    fleet.daemon("vm-"+string(unit.ID), either(unit.VM.PeerAddress, host)),
		HopListen: either(unit.Hop, host),
		Upstream:  described,
	}
	unit.Sidecar = start(fleet.T, "sidecar of "+string(unit.ID), "hickoryhead", "sidecar", "--settings", fleet.write(loaded.VM, loaded))
	addresses := parseAddresses(unit.Sidecar.line(fleet.T, "listening "))
	unit.Hop = addresses.Hop
	unit.VM = platform.VM{
		ID:          loaded.VM,
		Role:        platform.RoleSidecar,
		Address:     addresses.Hop,
		PeerAddress: addresses.Peers,
		Zone:        loaded.Zone,
		Region:      loaded.Region,
		Upstream:    &platform.VMUpstream{ID: unit.ID, Model: described.Model, Service: described.Service},
	}
	fleet.PutVM(unit.VM)
}

func (fleet *Fleet) startRouter(name string) *Entry {
	fleet.T.Helper()
	entry := &Entry{VM: platform.VM{ID: ident.VMID(name)}}
	fleet.StartRouter(entry)
	return entry
}

// StartRouter starts a router, at its former addresses if it had any, and puts
// its VM on the platform's list.
func (fleet *Fleet) StartRouter(entry *Entry) {
	fleet.T.Helper()
	host := fleet.host()
	name := string(entry.VM.ID)
	loaded := config.Router{
		Daemon:         fleet.daemon(name, either(entry.VM.PeerAddress, host)),
		CallerListen:   either(entry.Callers, host),
		OperatorListen: either(entry.Operators, host),
	}
	entry.Process = start(fleet.T, name, "hickoryhead", "router", "--settings", fleet.write(loaded.VM, loaded))
	addresses := parseAddresses(entry.Process.line(fleet.T, "listening "))
	entry.Callers = addresses.Callers
	entry.Operators = addresses.Operators
	entry.VM = platform.VM{ID: loaded.VM, Role: platform.RoleRouter, Address: addresses.Callers, PeerAddress: addresses.Peers, Zone: loaded.Zone, Region: loaded.Region}
	fleet.PutVM(entry.VM)
}

func (fleet *Fleet) daemon(vm, peers string) config.Daemon {
	return config.Daemon{
		VM:         ident.VMID(vm),
		Zone:       "est-a",
		Region:     "est",
		Platform:   fleet.PlatformAt,
		PeerListen: peers,
		Secret:     Secret,
	}
}

func either(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// write stores a settings file and returns its name.
func (fleet *Fleet) write(vm ident.VMID, value any) string {
	fleet.T.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		fleet.T.Fatalf("settings file: %v", err)
	}
	name := filepath.Join(fleet.dir, string(vm)+".json")
	if err := os.WriteFile(name, encoded, 0o600); err != nil {
		fleet.T.Fatalf("settings file: %v", err)
	}
	return name
}

func parseAddresses(line string) daemon.Addresses {
	var addresses daemon.Addresses
	fields := map[string]*string{
		"callers":   &addresses.Callers,
		"operators": &addresses.Operators,
		"hop":       &addresses.Hop,
		"peers":     &addresses.Peers,
	}
	for _, part := range strings.Fields(line) {
		name, value, _ := strings.Cut(part, "=")
		if field, found := fields[name]; found {
			*field = value
		}
	}
	return addresses
}

// PutVM puts a VM on the platform's list.
func (fleet *Fleet) PutVM(vm platform.VM) {
	fleet.T.Helper()
	encoded, err := json.Marshal(vm)
	if err != nil {
		fleet.T.Fatalf("VM: %v", err)
	}
	fleet.send(http.MethodPut, "/v1/vms/"+string(vm.ID), encoded)
}

// Switch sets the switches of the stand-in platform, a JSON object.
func (fleet *Fleet) Switch(switches string) {
	fleet.T.Helper()
	fleet.send(http.MethodPost, "/v1/switches", []byte(switches))
}

func (fleet *Fleet) send(method, path string, body []byte) {
	fleet.T.Helper()
	request, err := http.NewRequest(method, "http://"+fleet.PlatformAt+path, bytes.NewReader(body))
	if err != nil {
		fleet.T.Fatalf("platform: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fleet.T.Fatalf("platform: %v", err)
	}
	response.Body.Close()
	if response.StatusCode >= 300 {
		fleet.T.Fatalf("platform %s %s: status %d", method, path, response.StatusCode)
	}
}

// waitReady waits until every router is ready and knows every upstream.
func (fleet *Fleet) waitReady() {
	fleet.T.Helper()
	for _, entry := range fleet.Routers {
		fleet.WaitFor("router "+string(entry.VM.ID)+" to be ready", func() bool { return fleet.knowsAll(entry) })
	}
	for _, unit := range append(fleet.Engines, fleet.Services...) {
		fleet.WaitFor("sidecar of "+string(unit.ID)+" to be ready", func() bool { return statusOf("http://"+unit.Hop+"/ready") == http.StatusOK })
	}
}

func (fleet *Fleet) knowsAll(entry *Entry) bool {
	status, err := fleet.Status(entry)
	return err == nil && status.Ready && len(status.Upstreams) == len(fleet.Engines)+len(fleet.Services)
}

func statusOf(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Status asks a router for its status.
func (fleet *Fleet) Status(entry *Entry) (daemon.RouterStatus, error) {
	var status daemon.RouterStatus
	response, err := http.Get("http://" + entry.Operators + "/v1/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// WaitFor waits until done reports true. It fails the test after a minute.
func (fleet *Fleet) WaitFor(what string, done func() bool) {
	fleet.T.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(deadline) {
			fleet.T.Fatalf("waited for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
