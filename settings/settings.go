package settings

import (
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Path identifies one setting: /Teams/<team>/<kind>/<name>.
type Path string

// Kind is the collection that a setting belongs to.
type Kind string

// The kinds of settings.
const (
	KindRoute     Kind = "Routes"
	KindWorkspace Kind = "Workspaces"
	KindPriority  Kind = "Priorities"
	KindPlacement Kind = "Placements"
)

// Route defines where the requests of a route go. Exactly one of Model and
// Service must be set.
type Route struct {
	Model   ident.ModelName   `json:",omitempty" validate:"required_without=Service,excluded_with=Service,omitempty,ident"`
	Service ident.ServiceName `json:",omitempty" validate:"omitempty,ident"`
	// Operation is the operation of Service that the requests call.
	Operation string `json:",omitempty" validate:"omitempty,ident"`
	// Idempotent means that a call of the service may run more than once. A
	// request to a model always may.
	Idempotent bool
	// LoadMultiple limits the load of an upstream to this multiple of the mean
	// load of its pool; zero means 1.25.
	LoadMultiple float64 `json:",omitempty" validate:"omitempty,gte=1,lte=10"`
	// IgnoreHint means that requests of a chat are routed regardless of which
	// upstream served the chat before.
	IgnoreHint bool `json:",omitempty"`
	// Priority is the priority class of a request that does not name one.
	Priority ident.Priority `json:",omitempty" validate:"omitempty,ident"`
	// TimeoutMs is the maximum time from the arrival of a request to the last
	// byte of its answer, in milliseconds; zero means 60 s.
	TimeoutMs int64 `json:",omitempty" validate:"omitempty,gte=100,lte=3600000"`
	// MaxBodyBytes is the maximum size of a request body; zero means 1 MiB.
	MaxBodyBytes ident.Bytes `json:",omitempty" validate:"omitempty,gte=1,lte=33554432"`
}

// Retryable reports whether a request of the route may run more than once.
func (route Route) Retryable() bool { return route.Model != "" || route.Idempotent }

// Workspace is one customer workspace of the team.
type Workspace struct {
	// Weight is the workspace's share of a contended upstream, relative to the
	// weights of the other workspaces; zero means 1.
	Weight float64 `json:",omitempty" validate:"omitempty,gt=0,lte=1000"`
}

// PriorityClass is one priority class of the team.
type PriorityClass struct {
	// Mark is the share of an upstream's limit that requests of the class may use.
	Mark float64 `validate:"gt=0,lte=1"`
}

// Placement defines how many upstreams keep a model loaded.
type Placement struct {
	Model    ident.ModelName `validate:"required,ident"`
	Replicas int             `validate:"gte=0,lte=10000"`
}

// Subtree holds all settings of one team at one revision. A subtree that is in
// force is shared between goroutines and must not be modified.
type Subtree struct {
	Team       ident.TeamID
	Revision   ident.Revision
	Routes     map[ident.RouteName]Route        `json:",omitempty"`
	Workspaces map[ident.WorkspaceID]Workspace  `json:",omitempty"`
	Priorities map[ident.Priority]PriorityClass `json:",omitempty"`
	Placements map[string]Placement             `json:",omitempty"`
}

// Change is one change of a team's settings. A null or empty value deletes its
// path.
type Change struct {
	// ID identifies the change, so that a repeated change is accepted only once.
	ID   string
	Team ident.TeamID
	// Base is the revision that the change must be applied to.
	Base   ident.Revision
	Author string
	Reason string
	Values map[Path]json.RawMessage
}
