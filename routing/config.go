package routing

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Version is the version of a configuration. A higher version is newer.
type Version uint64

// Kind says how the requests of a route are answered and whether they may run
// more than once.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (kind Kind) String() string {
	switch kind {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non-idempotent"
}

// Share is a service that receives part of the requests of a route, in
// proportion to its weight.
type Share struct {
	Service ident.ServiceName
	Weight  int
}

// Route is one route of the configuration.
type Route struct {
	Name   ident.RouteName
	Host   string
	Prefix string
	Kind   Kind
	// Resumable says that another upstream may continue a stream that broke.
	Resumable bool
	// Timeout limits the time from the arrival of a request to the end of its
	// answer.
	Timeout ident.Milliseconds
	// Target is the time to the first byte within which an answer has its full
	// value.
	Target ident.Milliseconds
	// MaxGap is the longest acceptable pause between two events of a stream.
	MaxGap ident.Milliseconds
	// Priority is the priority of the requests; zero is the highest.
	Priority int
	// Shares are the services of the route, with their weights.
	Shares []Share
	// MaxAttempts limits the upstreams that may run the same request.
	MaxAttempts int
	// Public says that requests need no API key.
	Public bool
	// Sticky says that the requests carry prompts that upstreams cache.
	Sticky bool
	// AllowedRegions are the only regions in which requests may run; nil means any.
	AllowedRegions []ident.Region
}

// Retryable reports whether a request of the route may run more than once.
func (route *Route) Retryable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}

// Regions returns the only regions in which a request of the route and a workspace may run:
// if both have a list, those that are in both. The workspace may be nil. A nil result means
// any region, an empty one none.
func (route *Route) Regions(workspace *Workspace) []ident.Region {
	if workspace == nil || workspace.AllowedRegions == nil {
		return route.AllowedRegions
	}
	if route.AllowedRegions == nil {
		return workspace.AllowedRegions
	}
	return slices.DeleteFunc(slices.Clone(route.AllowedRegions), func(region ident.Region) bool {
		return !slices.Contains(workspace.AllowedRegions, region)
	})
}

// Service returns the service for a request, in proportion to the weights if
// hash is uniformly distributed. It is the first service if no weight is above
// zero, and empty for a route without shares.
func (route *Route) Service(hash uint64) ident.ServiceName {
	total := 0
	for _, share := range route.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		if len(route.Shares) > 0 {
			return route.Shares[0].Service
		}
		return ""
	}
	remaining := int(hash % uint64(total))
	for _, share := range route.Shares {
		remaining -= max(share.Weight, 0)
		if remaining < 0 {
			return share.Service
		}
	}
	return ""
}

// Service is one service of the configuration.
type Service struct {
	Name ident.ServiceName
	// MaxConnections is the number of connections that one upstream accepts from
	// all routers together; zero means unknown.
	MaxConnections int
	// Slots is the number of requests that a model engine runs concurrently; zero
	// for a plain service.
	Slots int
	// CacheTokens is the cache capacity of a model engine.
	CacheTokens ident.Tokens
	// ColdStart is how long an upstream is cold after it has started, and ColdPerSecond
	// how many requests a second it takes meanwhile; zero means never, or any number.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Workspace is a customer with its API keys.
type Workspace struct {
	ID   ident.WorkspaceID
	Keys []string
	// Priority overrides the priority of the route, unless it is nil.
	Priority *int
	// AllowedRegions are the only regions in which its requests may run; nil means any.
	AllowedRegions []ident.Region
}

// Limits restrict the size of a request and the time that a caller may take to
// send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     ident.Bytes
	HeaderTimeout ident.Milliseconds
	IdleTimeout   ident.Milliseconds
}

// Config is a complete configuration.
type Config struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
