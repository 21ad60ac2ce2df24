package routing

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// ParseKind returns the kind with a name that String gives.
func ParseKind(name string) (Kind, error) {
	for _, kind := range []Kind{NonIdempotent, Idempotent, Stream} {
		if kind.String() == name {
			return kind, nil
		}
	}
	return NonIdempotent, errors.Newf("kind of a route: got %q, want non-idempotent, idempotent or stream", name)
}

// MarshalText returns the name of the kind.
func (kind Kind) MarshalText() ([]byte, error) { return []byte(kind.String()), nil }

// UnmarshalText takes the name of a kind.
func (kind *Kind) UnmarshalText(name []byte) error {
	parsed, err := ParseKind(string(name))
	if err != nil {
		return err
	}
	*kind = parsed
	return nil
}

// Check returns an error that lists all that an operator has to correct in
// config before it is written, or nil. A router doesn't ask for it: what the
// platform has accepted is in force as it is.
func (config *Config) Check() error {
	checker := checker{services: make(map[ident.ServiceName]bool), prefixes: make(map[string]bool)}
	if config.Version == 0 {
		checker.wrong("Version: got 0, want at least 1")
	}
	for _, service := range config.Services {
		checker.service(service)
	}
	for _, route := range config.Routes {
		checker.route(&route)
	}
	checker.workspaces(config.Workspaces)
	checker.limits(config.Limits)
	if len(checker.faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(checker.faults, "; "))
}

// checker collects the faults of a configuration.
type checker struct {
	faults   []string
	services map[ident.ServiceName]bool
	prefixes map[string]bool
}

func (checker *checker) wrong(format string, args ...any) {
	checker.faults = append(checker.faults, fmt.Sprintf(format, args...))
}

func (checker *checker) service(service Service) {
	if service.Name == "" || checker.services[service.Name] {
		checker.wrong("service %q: want a name that no other service has", service.Name)
	}
	checker.services[service.Name] = true
	if service.MaxConnections < 0 || service.Slots < 0 || service.CacheTokens < 0 {
		checker.wrong("service %q: want no number below 0", service.Name)
	}
}

func (checker *checker) route(route *Route) {
	place := canonicalHost(route.Host) + route.Prefix
	switch {
	case route.Host == "" || !strings.HasPrefix(route.Prefix, "/"):
		checker.wrong("route %q: want a Host and a Prefix that begins with /", route.Name)
	case checker.prefixes[place]:
		checker.wrong("route %q: another route has its Host and Prefix", route.Name)
	}
	checker.prefixes[place] = true
	if route.Timeout <= 0 {
		checker.wrong("route %q: Timeout: got %d, want milliseconds above 0", route.Name, route.Timeout)
	}
	if route.Kind == NonIdempotent && route.MaxAttempts > 1 {
		checker.wrong("route %q: MaxAttempts: got %d, want at most 1 for requests that are not idempotent", route.Name, route.MaxAttempts)
	}
	checker.shares(route)
}

func (checker *checker) shares(route *Route) {
	total := 0
	for _, share := range route.Shares {
		if !checker.services[share.Service] {
			checker.wrong("route %q: no service has the name %q", route.Name, share.Service)
		}
		if share.Weight < 0 {
			checker.wrong("route %q: Weight of %q: got %d, want at least 0", route.Name, share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total <= 0 {
		checker.wrong("route %q: want Shares with a Weight above 0", route.Name)
	}
}

func (checker *checker) workspaces(workspaces []Workspace) {
	keys := make(map[string]ident.WorkspaceID)
	for _, workspace := range workspaces {
		if workspace.ID == "" {
			checker.wrong("workspace: want an ID")
		}
		for _, key := range workspace.Keys {
			if other, taken := keys[key]; taken {
				checker.wrong("workspace %q: %q has one of its keys", workspace.ID, other)
			}
			keys[key] = workspace.ID
		}
	}
}

func (checker *checker) limits(limits Limits) {
	if limits.HeaderBytes <= 0 || limits.BodyBytes <= 0 || limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 {
		checker.wrong("Limits: want HeaderBytes, BodyBytes, HeaderTimeout and IdleTimeout above 0")
	}
}
