package routing

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// ParseKind is the inverse of Kind.String. It returns an error for any other
// name.
func ParseKind(name string) (Kind, error) {
	for _, kind := range []Kind{NonIdempotent, Idempotent, Stream} {
		if kind.String() == name {
			return kind, nil
		}
	}
	return NonIdempotent, errors.Newf("route kind: got %q, want non-idempotent, idempotent or stream", name)
}

// MarshalText returns the name of the kind, as String does.
func (kind Kind) MarshalText() ([]byte, error) { return []byte(kind.String()), nil }

// UnmarshalText sets the kind from its name, as ParseKind does.
func (kind *Kind) UnmarshalText(name []byte) error {
	parsed, err := ParseKind(string(name))
	if err != nil {
		return err
	}
	*kind = parsed
	return nil
}

// Check validates config before an operator writes it. The error lists every
// problem found. Routers don't call it: they use a configuration that the
// platform has accepted without checking it again.
func (config *Config) Check() error {
	checker := checker{services: make(map[ident.ServiceName]bool), hostPrefixes: make(map[string]bool)}
	if config.Version == 0 {
		checker.addf("Version: got 0, want at least 1")
	}
	for _, service := range config.Services {
		checker.checkService(service)
	}
	for _, route := range config.Routes {
		checker.checkRoute(&route)
	}
	checker.checkWorkspaces(config.Workspaces)
	checker.checkLimits(config.Limits)
	if len(checker.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(checker.problems, "; "))
}

// checker collects the problems of a configuration.
type checker struct {
	problems     []string
	services     map[ident.ServiceName]bool
	hostPrefixes map[string]bool
}

func (checker *checker) addf(format string, args ...any) {
	checker.problems = append(checker.problems, fmt.Sprintf(format, args...))
}

func (checker *checker) checkService(service Service) {
	if service.Name == "" || checker.services[service.Name] {
		checker.addf("service %q: want a non-empty name that no other service has", service.Name)
	}
	checker.services[service.Name] = true
	if service.MaxConnections < 0 || service.Slots < 0 || service.CacheTokens < 0 {
		checker.addf("service %q: MaxConnections, Slots and CacheTokens must not be below 0", service.Name)
	}
}

func (checker *checker) checkRoute(route *Route) {
	hostPrefix := canonicalHost(route.Host) + route.Prefix
	switch {
	case route.Host == "" || !strings.HasPrefix(route.Prefix, "/"):
		checker.addf("route %q: want a Host and a Prefix that begins with /", route.Name)
	case checker.hostPrefixes[hostPrefix]:
		checker.addf("route %q: another route has the same Host and Prefix", route.Name)
	}
	checker.hostPrefixes[hostPrefix] = true
	if route.Timeout <= 0 {
		checker.addf("route %q: Timeout: got %d, want milliseconds above 0", route.Name, route.Timeout)
	}
	if route.Kind == NonIdempotent && route.MaxAttempts > 1 {
		checker.addf("route %q: MaxAttempts: got %d, want at most 1 for requests that are not idempotent", route.Name, route.MaxAttempts)
	}
	checker.checkShares(route)
}

func (checker *checker) checkShares(route *Route) {
	total := 0
	for _, share := range route.Shares {
		if !checker.services[share.Service] {
			checker.addf("route %q: Shares: no service has the name %q", route.Name, share.Service)
		}
		if share.Weight < 0 {
			checker.addf("route %q: Weight of %q: got %d, want at least 0", route.Name, share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total <= 0 {
		checker.addf("route %q: want Shares with a Weight above 0", route.Name)
	}
}

func (checker *checker) checkWorkspaces(workspaces []Workspace) {
	keys := make(map[string]ident.WorkspaceID)
	for _, workspace := range workspaces {
		if workspace.ID == "" {
			checker.addf("workspace: want an ID")
		}
		for _, key := range workspace.Keys {
			if other, taken := keys[key]; taken {
				checker.addf("workspace %q: one of its keys is also a key of workspace %q", workspace.ID, other)
			}
			keys[key] = workspace.ID
		}
	}
}

func (checker *checker) checkLimits(limits Limits) {
	if limits.HeaderBytes <= 0 || limits.BodyBytes <= 0 || limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 {
		checker.addf("Limits: want HeaderBytes, BodyBytes, HeaderTimeout and IdleTimeout above 0")
	}
}
