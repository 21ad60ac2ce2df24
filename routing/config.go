package routing

import "github.com/hickoryhead/hickoryhead/ident"

// Version numbers configurations. A higher version is newer.
type Version uint64

// Kind says what may be repeated of the requests of a route.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events.
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

// Share is a service that a route sends a part of its requests to.
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
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout ident.Milliseconds
	// Target is the time to the first byte that earns the full value.
	Target ident.Milliseconds
	// MaxGap is the longest pause between events that is still on time.
	MaxGap ident.Milliseconds
	// Priority is the rank of the requests; zero comes first.
	Priority int
	// Shares are the services of the route, with their weights.
	Shares []Share
	// MaxAttempts bounds the upstreams that one request may run on.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Sticky routes carry prompts that upstreams cache.
	Sticky bool
}

// Retryable reports whether a request of the route may run more than once.
func (route *Route) Retryable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}

// Service returns the service for a request with the uniform hash draw, in
// proportion to the weights. It is empty for a route without shares.
func (route *Route) Service(draw uint64) ident.ServiceName {
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
	place := int(draw % uint64(total))
	for _, share := range route.Shares {
		place -= max(share.Weight, 0)
		if place < 0 {
			return share.Service
		}
	}
	return ""
}

// Service is one service of the configuration.
type Service struct {
	Name ident.ServiceName
	// MaxConnections is how many connections one upstream takes from all
	// routers together; zero means that it is not known.
	MaxConnections int
	// Slots is how many requests a model engine runs at once; zero for a plain
	// service.
	Slots int
	// CacheTokens is the memory of a model engine, in tokens.
	CacheTokens ident.Tokens
}

// Workspace is a customer with its API keys.
type Workspace struct {
	ID   ident.WorkspaceID
	Keys []string
	// Priority replaces the route's one, where it is set.
	Priority *int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     ident.Bytes
	HeaderTimeout ident.Milliseconds
	IdleTimeout   ident.Milliseconds
}

// Config is a whole configuration.
type Config struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
