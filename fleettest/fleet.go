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

// The team, its workspace, model and service, and the secrets of every fleet.
const (
	Team      = ident.TeamID("maison")
	Workspace = ident.WorkspaceID("store-12")
	Model     = ident.ModelName("planogram-7b@3")
	Service   = ident.ServiceName("orders")
	// Secret is the key that the daemons share.
	Secret = "0123456789abcdef0123456789abcdef"
	// Token is the team's credential.
	Token = "token-of-the-team"

	readyTimeout = time.Minute
)

// Options describe the processes of a fleet. The zero value starts one router,
// one engine and one service.
type Options struct {
	Routers  int
	Engines  int
	Services int
	// EngineArgs, ServiceArgs and PlatformArgs are additional flags of the
	// stand-ins.
	EngineArgs   []string
	ServiceArgs  []string
	PlatformArgs []string
	// Limit is the maximum number of requests in flight that each sidecar
	// admits; zero means the sidecar's default.
	Limit int
	// Values are additional settings of the team, as JSON.
	Values map[settings.Path]string
}

// Unit is an upstream with its sidecar. Address is that of the upstream, and Hop
// that at which the sidecar receives requests from routers.
type Unit struct {
	ID       ident.UpstreamID
	Address  string
	Upstream *Process
	Sidecar  *Process
	Hop      string
	VM       platform.VM
}

// Router is a router. Callers and Operators are the addresses, IP:port, that it
// listens on for callers and operators.
type Router struct {
	Process   *Process
	Callers   string
	Operators string
	VM        platform.VM
}

// Fleet is a running fleet. Its processes are killed when the test T ends.
type Fleet struct {
	T        testing.TB
	Platform *platform.Client
	// PlatformAddress is the address, IP:port, of the stand-in for the platform.
	PlatformAddress string
	Routers         []*Router
	Engines         []*Unit
	Services        []*Unit

	dir     string
	options Options
}

// Start starts a fleet and waits until its routers and sidecars are ready.
func Start(t testing.TB, options Options) *Fleet {
	t.Helper()
	fleet := &Fleet{T: t, dir: t.TempDir(), options: options}
	standin := start(t, "platform", "hickoryhead-standin", append([]string{"platform"}, options.PlatformArgs...)...)
	fleet.PlatformAddress = standin.line(t, "listening on ")
	fleet.Platform = platform.New(fleet.PlatformAddress, nil)
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

// values returns the settings of the team, including those of the options.
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

// seed writes the team and its settings to the store of the platform.
func (fleet *Fleet) seed() {
	fleet.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	store := settingstable.Store{Client: fleet.Platform}
	row := settingstable.Team{CredentialSHA256: []string{settingstable.HashCredential(Token)}}
	if err := store.PutTeam(ctx, Team, row); err != nil {
		fleet.T.Fatalf("writing the team: %v", err)
	}
	change := settings.Change{ID: "seed", Team: Team, Author: "fleettest", Reason: "first settings", Values: fleet.values()}
	if _, err := store.Accept(ctx, change); err != nil {
		fleet.T.Fatalf("writing the settings of the team: %v", err)
	}
}

// startUnit starts an upstream and its sidecar and adds its VM to the platform's
// list.
func (fleet *Fleet) startUnit(id string, engine bool) *Unit {
	fleet.T.Helper()
	unit := &Unit{ID: ident.UpstreamID(id)}
	fleet.StartUpstream(unit, engine, AnyPort())
	fleet.StartSidecar(unit, engine)
	return unit
}

// StartUpstream starts the upstream of a unit, an engine or a service, at
// address, IP:port.
func (fleet *Fleet) StartUpstream(unit *Unit, engine bool, address string) {
	fleet.T.Helper()
	args := append([]string{"service", "--listen", address, "--idempotent", "status"}, fleet.options.ServiceArgs...)
	if engine {
		args = append([]string{"engine", "--listen", address}, fleet.options.EngineArgs...)
	}
	unit.Upstream = start(fleet.T, string(unit.ID), "hickoryhead-standin", args...)
	unit.Address = unit.Upstream.line(fleet.T, "listening on ")
}

// StartSidecar starts the sidecar of a unit and adds its VM to the platform's
// list. A restarted sidecar keeps its addresses.
func (fleet *Fleet) StartSidecar(unit *Unit, engine bool) {
	fleet.T.Helper()
	upstreamConfig := config.Upstream{ID: unit.ID, Address: unit.Address, Service: Service, Limit: fleet.options.Limit}
	if engine {
		upstreamConfig = config.Upstream{ID: unit.ID, Address: unit.Address, Model: Model, Limit: fleet.options.Limit}
	}
	host := AnyPort()
	sidecarConfig := config.Sidecar{
		Daemon:    fleet.daemon("vm-"+string(unit.ID), firstNonEmpty(unit.VM.PeerAddress, host)),
		HopListen: firstNonEmpty(unit.Hop, host),
		Upstream:  upstreamConfig,
	}
	unit.Sidecar = start(fleet.T, "sidecar of "+string(unit.ID), "hickoryhead", "sidecar", "--settings", fleet.write(sidecarConfig.VM, sidecarConfig))
	addresses := parseAddresses(unit.Sidecar.line(fleet.T, "listening "))
	unit.Hop = addresses.Hop
	unit.VM = platform.VM{
		ID:          sidecarConfig.VM,
		Role:        platform.RoleSidecar,
		Address:     addresses.Hop,
		PeerAddress: addresses.Peers,
		Zone:        sidecarConfig.Zone,
		Region:      sidecarConfig.Region,
		Upstream:    &platform.VMUpstream{ID: unit.ID, Model: upstreamConfig.Model, Service: upstreamConfig.Service},
	}
	fleet.PutVM(unit.VM)
}

func (fleet *Fleet) startRouter(name string) *Router {
	fleet.T.Helper()
	entry := &Router{VM: platform.VM{ID: ident.VMID(name)}}
	fleet.StartRouter(entry)
	return entry
}

// StartRouter starts a router and adds its VM to the platform's list. A restarted
// router keeps its addresses.
func (fleet *Fleet) StartRouter(entry *Router) {
	fleet.T.Helper()
	host := AnyPort()
	name := string(entry.VM.ID)
	routerConfig := config.Router{
		Daemon:         fleet.daemon(name, firstNonEmpty(entry.VM.PeerAddress, host)),
		CallerListen:   firstNonEmpty(entry.Callers, host),
		OperatorListen: firstNonEmpty(entry.Operators, host),
	}
	entry.Process = start(fleet.T, name, "hickoryhead", "router", "--settings", fleet.write(routerConfig.VM, routerConfig))
	addresses := parseAddresses(entry.Process.line(fleet.T, "listening "))
	entry.Callers = addresses.Callers
	entry.Operators = addresses.Operators
	entry.VM = platform.VM{ID: routerConfig.VM, Role: platform.RoleRouter, Address: addresses.Callers, PeerAddress: addresses.Peers, Zone: routerConfig.Zone, Region: routerConfig.Region}
	fleet.PutVM(entry.VM)
}

func (fleet *Fleet) daemon(vm, peers string) config.Daemon {
	return config.Daemon{
		VM:         ident.VMID(vm),
		Zone:       "est-a",
		Region:     "est",
		Platform:   fleet.PlatformAddress,
		PeerListen: peers,
		Secret:     Secret,
	}
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// write writes the settings file of a VM and returns its path.
func (fleet *Fleet) write(vm ident.VMID, value any) string {
	fleet.T.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		fleet.T.Fatalf("encoding the settings of %s: %v", vm, err)
	}
	name := filepath.Join(fleet.dir, string(vm)+".json")
	if err := os.WriteFile(name, encoded, 0o600); err != nil {
		fleet.T.Fatalf("writing the settings file of %s: %v", vm, err)
	}
	return name
}

// parseAddresses parses the rest of the "listening" line that a daemon prints.
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

// PutVM adds a VM to the platform's list or replaces its entry.
func (fleet *Fleet) PutVM(vm platform.VM) {
	fleet.T.Helper()
	encoded, err := json.Marshal(vm)
	if err != nil {
		fleet.T.Fatalf("encoding VM %s: %v", vm.ID, err)
	}
	fleet.send(http.MethodPut, "/v1/vms/"+string(vm.ID), encoded)
}

// Switch sets the switches of the stand-in for the platform. switches is a JSON
// object.
func (fleet *Fleet) Switch(switches string) {
	fleet.T.Helper()
	fleet.send(http.MethodPost, "/v1/switches", []byte(switches))
}

func (fleet *Fleet) send(method, path string, body []byte) {
	fleet.T.Helper()
	request, err := http.NewRequest(method, "http://"+fleet.PlatformAddress+path, bytes.NewReader(body))
	if err != nil {
		fleet.T.Fatalf("request to the platform: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fleet.T.Fatalf("request to the platform: %v", err)
	}
	response.Body.Close()
	if response.StatusCode >= 300 {
		fleet.T.Fatalf("request to the platform: %s %s returned status %d", method, path, response.StatusCode)
	}
}

// waitReady waits until every router is ready and knows every upstream, and
// every sidecar is ready.
func (fleet *Fleet) waitReady() {
	fleet.T.Helper()
	for _, entry := range fleet.Routers {
		fleet.WaitFor("router "+string(entry.VM.ID)+" to be ready", func() bool { return fleet.knowsAllUpstreams(entry) })
	}
	for _, unit := range append(fleet.Engines, fleet.Services...) {
		fleet.WaitFor("sidecar of "+string(unit.ID)+" to be ready", func() bool { return statusOf("http://"+unit.Hop+"/ready") == http.StatusOK })
	}
}

func (fleet *Fleet) knowsAllUpstreams(entry *Router) bool {
	status, err := fleet.Status(entry)
	return err == nil && status.Ready && len(status.Upstreams) == len(fleet.Engines)+len(fleet.Services)
}

// statusOf returns the HTTP status of a GET of url, or 0 if there is no response.
func statusOf(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Status requests the status of a router from its operator address.
func (fleet *Fleet) Status(entry *Router) (daemon.RouterStatus, error) {
	var status daemon.RouterStatus
	response, err := http.Get("http://" + entry.Operators + "/v1/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// WaitFor polls done until it reports true. It fails the test after a minute;
// what names the condition in the message.
func (fleet *Fleet) WaitFor(what string, done func() bool) {
	fleet.T.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(deadline) {
			fleet.T.Fatalf("timed out after %s waiting for %s", readyTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
