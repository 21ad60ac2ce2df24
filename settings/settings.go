package settings

import (
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Path names one setting: /Teams/<team>/<Kind>/<name>.
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

// Route says where the requests of a route go. Exactly one of Model and
// Service is set.
type Route struct {
	Model   ident.ModelName   `json:",omitempty" validate:"required_without=Service,excluded_with=Service,omitempty,ident"`
	Service ident.ServiceName `json:",omitempty" validate:"omitempty,ident"`
	// Operation is the service's operation.
	Operation string `json:",omitempty" validate:"omitempty,ident"`
	// Idempotent says that a call of the service may run more than once. A
	// model's answer always may.
	Idempotent bool
	// LoadMultiple bounds an upstream's load to this multiple of the mean.
	LoadMultiple float64 `json:",omitempty" validate:"omitempty,gte=1,lte=10"`
	// IgnoreHint places chats without regard to where they were served last.
	IgnoreHint bool `json:",omitempty"`
	// Priority is used for a request that names none.
	Priority ident.Priority `json:",omitempty" validate:"omitempty,ident"`
	// TimeoutMs bounds a request from arrival to its last byte; zero means 60 s.
	TimeoutMs int64 `json:",omitempty" validate:"omitempty,gte=100,lte=3600000"`
	// MaxBodyBytes bounds a request's body; zero means 1 MiB.
	MaxBodyBytes ident.Bytes `json:",omitempty" validate:"omitempty,gte=1,lte=33554432"`
}

// Retryable reports whether a request of the route may run more than once.
func (route Route) Retryable() bool { return route.Model != "" || route.Idempotent }

// Workspace is one customer workspace of the team.
type Workspace struct {
	// Weight is its share of a contended upstream against the others.
	Weight float64 `json:",omitempty" validate:"omitempty,gt=0,lte=1000"`
}

// PriorityClass is one priority of the team.
type PriorityClass struct {
	// Mark is the share of an upstream's own limit that the class may fill.
	Mark float64 `validate:"gt=0,lte=1"`
}

// Placement says how many upstreams shall hold a model.
type Placement struct {
	Model    ident.ModelName `validate:"required,ident"`
	Replicas int             `validate:"gte=0,lte=10000"`
}

// Subtree is all settings of one team at one revision of the team.
type Subtree struct {
	Team       ident.TeamID
	Revision   ident.Revision
	Routes     map[ident.RouteName]Route        `json:",omitempty"`
	Workspaces map[ident.WorkspaceID]Workspace  `json:",omitempty"`
	Priorities map[ident.Priority]PriorityClass `json:",omitempty"`
	Placements map[string]Placement             `json:",omitempty"`
}

// Change is one change of a team's settings: a null value deletes the path.
type Change struct {
	// ID makes a repeated change count once.
	ID     string
	Team   ident.TeamID
	Base   ident.Revision
	Author string
	Reason string
	Values map[Path]json.RawMessage
}
