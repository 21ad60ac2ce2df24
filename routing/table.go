package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Table is a configuration prepared for look-ups. It is immutable.
type Table struct {
	Version Version
	Limits  Limits

	hosts      map[string][]*Route
	services   map[ident.ServiceName]Service
	workspaces map[string]*Workspace
	named      map[ident.WorkspaceID]struct{}
}

// New returns the table of config. It keeps config, which must not change.
func New(config Config) *Table {
	table := &Table{
		Version:    config.Version,
		Limits:     config.Limits,
		hosts:      make(map[string][]*Route),
		services:   make(map[ident.ServiceName]Service, len(config.Services)),
		workspaces: make(map[string]*Workspace),
		named:      make(map[ident.WorkspaceID]struct{}, len(config.Workspaces)),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := canonicalHost(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range config.Services {
		table.services[service.Name] = service
	}
	for i := range config.Workspaces {
		table.addWorkspace(&config.Workspaces[i])
	}
	return table
}

func (table *Table) addWorkspace(workspace *Workspace) {
	table.named[workspace.ID] = struct{}{}
	for _, key := range workspace.Keys {
		table.workspaces[key] = workspace
	}
}

// Route returns the route of a request to host with the undecoded path, or nil.
func (table *Table) Route(host, path string) *Route {
	for _, route := range table.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service of the configuration.
func (table *Table) Service(name ident.ServiceName) (Service, bool) {
	service, found := table.services[name]
	return service, found
}

// Workspace returns the workspace that holds key, or nil.
func (table *Table) Workspace(key string) *Workspace { return table.workspaces[key] }

// NeedsKeys reports whether requests carry API keys at all.
func (table *Table) NeedsKeys() bool { return len(table.named) > 0 }

// canonicalHost returns host in lower case and without a port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// CurrentTable holds the table in force. The zero value holds none. It is safe
// for concurrent use.
type CurrentTable struct {
	table atomic.Pointer[Table]

	made   sync.Once
	loaded chan struct{}
}

// Loaded returns a channel that is closed once a table is in force.
func (current *CurrentTable) Loaded() <-chan struct{} {
	current.made.Do(func() { current.loaded = make(chan struct{}) })
	return current.loaded
}

// Table returns the table in force, or nil before the first one.
func (current *CurrentTable) Table() *Table { return current.table.Load() }

// Adopt puts table in force unless the present one is as new, and reports
// whether it did.
func (current *CurrentTable) Adopt(table *Table) bool {
	for {
		present := current.table.Load()
		if present != nil && table.Version <= present.Version {
			return false
		}
		if current.table.CompareAndSwap(present, table) {
			if present == nil {
				current.Loaded()
				close(current.loaded)
			}
			return true
		}
	}
}
