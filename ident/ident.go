package ident

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxLength is the maximum length of an identifier in bytes.
const MaxLength = 128

// UpstreamID identifies one model engine or one instance of a plain service.
type UpstreamID string

// SoftwareVersion names the version of an upstream's software. Versions are equal or
// not, without an order; the empty one is no version at all.
type SoftwareVersion string

// StoreTime is a time of the clock of the platform's store, in milliseconds. The clock
// is steady and begins anywhere.
type StoreTime int64

// VMID identifies one VM of the platform.
type VMID string

// WorkspaceID identifies one customer workspace. It is unique within a team; see
// Qualified.
type WorkspaceID string

// TeamID identifies one team of operators, which owns one subtree of the settings.
type TeamID string

// RouteName is the name of a route that callers may use.
type RouteName string

// ModelName is the name and version of a model, such as "planogram-7b@3".
type ModelName string

// ServiceName is the name of a plain service, which is an upstream that is not a
// model engine.
type ServiceName string

// ChatID identifies one chat of a workspace across its requests.
type ChatID string

// RequestID identifies one request of a caller across all its attempts.
type RequestID string

// AttemptID identifies one attempt to run a request at one sidecar.
type AttemptID string

// IdempotencyKey is the key that a caller sends with a request that must not run
// twice.
type IdempotencyKey string

// Priority is the name of a priority class in the settings.
type Priority string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which consists of availability zones.
type Region string

// Revision is the number of an accepted change of settings, or of the version of a row
// in the platform's store; a higher one is newer.
type Revision uint64

// FencingNumber identifies one holding of a lease; a higher number is newer.
type FencingNumber uint64

// Tokens is a number of model tokens.
type Tokens int

// Bytes is a size in bytes.
type Bytes int64

// Fingerprint is a hash that identifies a request by its workspace, path and body.
// Attempts of the same request have the same fingerprint.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits, as it is logged.
func (fingerprint Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fingerprint)) }

// NewRequestID returns a random RequestID, which is valid as defined by Valid.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// NewAttemptID returns a random AttemptID, which is valid as defined by Valid.
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

// separator joins identifiers. No valid identifier contains it, so different parts
// never result in the same qualified identifier.
const separator = "~"

// Qualified returns workspace prefixed with its team. Different teams may use the
// same name for their workspaces.
func Qualified(team TeamID, workspace WorkspaceID) WorkspaceID {
	return WorkspaceID(string(team) + separator + string(workspace))
}

// QualifiedChat returns chat prefixed with its team and workspace. The result is
// unique in the fleet.
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

// Milliseconds is a duration in milliseconds, as used in settings and messages.
type Milliseconds int64

// Duration converts milliseconds to a time.Duration.
func (milliseconds Milliseconds) Duration() time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
