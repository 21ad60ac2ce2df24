package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Table is a configuration indexed for lookups. It is immutable.
type Table struct {
	Version Version
	Limits  Limits
	// InForceSince is when the table was put in force, or zero if that is not known. It is set
	// before.
	InForceSince time.Time

	// hosts holds the routes of each host, the longest prefix first.
	hosts           map[string][]*Route
	services        map[ident.ServiceName]Service
	workspacesByKey map[string]*Workspace
	workspaceIDs    map[ident.WorkspaceID]struct{}
	// streamTimeouts holds the longest timeout of the routes to each service whose
	// streams may be taken up.
	streamTimeouts map[ident.ServiceName]ident.Milliseconds
}

// New returns the table of config. The table refers to the slices of config,
// which must not change afterwards.
func New(config Config) *Table {
	table := &Table{
		Version:         config.Version,
		Limits:          config.Limits,
		hosts:           make(map[string][]*Route),
		services:        make(map[ident.ServiceName]Service, len(config.Services)),
		workspacesByKey: make(map[string]*Workspace),
		workspaceIDs:    make(map[ident.WorkspaceID]struct{}, len(config.Workspaces)),
		streamTimeouts:  make(map[ident.ServiceName]ident.Milliseconds),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := canonicalHost(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
		table.addStreamTimeout(route)
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
	table.workspaceIDs[workspace.ID] = struct{}{}
	for _, key := range workspace.Keys {
		table.workspacesByKey[key] = workspace
	}
}

// Route returns the route of a request, or nil if none matches. The host may
// have a port, and path is the path as sent, without decoding.
func (table *Table) Route(host, path string) *Route {
	for _, route := range table.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name and whether there is one.
func (table *Table) Service(name ident.ServiceName) (Service, bool) {
	service, found := table.services[name]
	return service, found
}

// Workspace returns the workspace that an API key belongs to, or nil.
func (table *Table) Workspace(key string) *Workspace { return table.workspacesByKey[key] }

// NeedsKeys reports whether the configuration has workspaces, so that requests
// to routes that are not public need an API key.
func (table *Table) NeedsKeys() bool { return len(table.workspaceIDs) > 0 }

// canonicalHost returns host in lower case and without a port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// CurrentTable holds the table in force. The zero value has no table yet. It is
// safe for concurrent use.
type CurrentTable struct {
	table atomic.Pointer[Table]

	loadedOnce sync.Once
	loaded     chan struct{}
}

// Loaded returns a channel that is closed once a table is in force.
func (current *CurrentTable) Loaded() <-chan struct{} {
	current.loadedOnce.Do(func() { current.loaded = make(chan struct{}) })
	return current.loaded
}

// Table returns the table in force, or nil before the first one.
func (current *CurrentTable) Table() *Table { return current.table.Load() }

// Adopt puts table in force if it is newer than the previous one, and reports
// whether it did.
func (current *CurrentTable) Adopt(table *Table) bool {
	for {
		previous := current.table.Load()
		if previous != nil && table.Version <= previous.Version {
			return false
		}
		if current.table.CompareAndSwap(previous, table) {
			if previous == nil {
				current.Loaded()
				close(current.loaded)
			}
			return true
		}
	}
}

// addStreamTimeout records the timeout of a route whose streams may be taken up.
func (table *Table) addStreamTimeout(route *Route) {
	if route.Kind != Stream || !route.Resumable {
		return
	}
	for _, share := range route.Shares {
		table.streamTimeouts[share.Service] = max(table.streamTimeouts[share.Service], route.Timeout)
	}
}

// StreamTimeouts returns, for each service with streams that may be taken up, the longest
// timeout of their routes. The map must not be changed.
func (table *Table) StreamTimeouts() map[ident.ServiceName]ident.Milliseconds {
	return table.streamTimeouts
}
