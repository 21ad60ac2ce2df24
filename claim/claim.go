package claim

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Key names the row of one claim in the platform's table.
type Key struct {
	Service   ident.ServiceName
	Workspace ident.WorkspaceID
	Key       ident.IdempotencyKey
}

// Row returns the table key of the claim.
func (key Key) Row() platform.Key {
	return platform.Key("claims/" + string(key.Service) + "/" + string(key.Workspace) + "/" + string(key.Key))
}

// State is the recorded state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the attempt in the record may forward the request.
	Claimed State = "Claimed"
	// Done means that the request ran and its answer is recorded.
	Done State = "Done"
	// Released means that no attempt forwarded the request, and none will
	// under the recorded attempt; the key may be claimed again.
	Released State = "Released"
)

// Record is the value of a claim's row.
type Record struct {
	State State
	// Attempt is the nonce of the attempt that holds the claim.
	Attempt ident.AttemptID
	// Sidecar is the peer address at which the attempt can be asked about.
	Sidecar  string
	Upstream ident.UpstreamID
	Body     ident.Fingerprint
	// Status, ContentType and Answer hold the recorded answer once Done.
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Answer      string `json:",omitempty"`
	ClaimedAt   time.Time
}
