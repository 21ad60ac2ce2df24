package ident

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxLength is the longest accepted identifier, in bytes.
const MaxLength = 128

// UpstreamID names one model engine or plain service instance.
type UpstreamID string

// VMID names one virtual machine of the platform.
type VMID string

// WorkspaceID names one customer workspace.
type WorkspaceID string

// TeamID names one operator team, which owns one subtree of the settings.
type TeamID string

// RouteName names one route that callers may use.
type RouteName string

// ModelName names a model and its version, such as "planogram-7b@3".
type ModelName string

// ServiceName names a plain service that stands beside the model engines.
type ServiceName string

// ChatID names one returning chat of a workspace.
type ChatID string

// RequestID names one request of a caller, across all its attempts.
type RequestID string

// AttemptID names one attempt of a request at one sidecar.
type AttemptID string

// IdempotencyKey is the caller's key for a request that must not run twice.
type IdempotencyKey string

// Priority names a priority class, as declared in the settings.
type Priority string

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string

// Revision numbers an accepted change; a higher revision is newer.
type Revision uint64

// FencingNumber orders the holders of a lease; a higher number is newer.
type FencingNumber uint64

// Tokens counts model tokens.
type Tokens int

// Bytes counts bytes.
type Bytes int64

// Fingerprint identifies a request by its workspace and body.
type Fingerprint uint64

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// NewAttemptID returns a random attempt identifier.
func NewAttemptID() AttemptID {
	return AttemptID(uuid.NewString())
}

// Valid reports whether name may be used as an identifier: between 1 and
// MaxLength bytes of ASCII letters, digits, '.', '_', '-', ':' and '@',
// and neither "." nor "..".
func Valid[T ~string](name T) bool {
	if name == "" || len(name) > MaxLength || name == "." || name == ".." {
		return false
	}
	return strings.IndexFunc(string(name), isForbidden) < 0
}

// separator joins identifiers. No identifier contains it, so that different
// parts never give the same whole.
const separator = "~"

// Qualified returns workspace with the team that it belongs to, since teams may
// name their workspaces alike.
func Qualified(team TeamID, workspace WorkspaceID) WorkspaceID {
	return WorkspaceID(string(team) + separator + string(workspace))
}

// QualifiedChat returns chat with its workspace and team, unique in the fleet.
func QualifiedChat(team TeamID, workspace WorkspaceID, chat ChatID) ChatID {
	return ChatID(string(Qualified(team, workspace)) + separator + string(chat))
}

func isForbidden(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("._-:@", r)
}

// Milliseconds counts milliseconds, as settings and messages give them.
type Milliseconds int64

// Duration returns the count as a time.Duration.
func (milliseconds Milliseconds) Duration() time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
