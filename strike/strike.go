package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// Strike records that a request was running when an upstream crashed.
type Strike struct {
	// Fingerprint identifies the request, or with Part a part of its prompt.
	Fingerprint ident.Fingerprint
	Part        bool
	Upstream    ident.UpstreamID
	// Incarnation is the run of the upstream that crashed, or zero if it is not
	// known.
	Incarnation registry.Incarnation
	// SentAt is when the request was sent to the upstream, or zero if that is not
	// known. At is when the crash was seen.
	SentAt time.Time
	At     time.Time
	// ConnectedAt is when the connection that carried the request was established,
	// or zero if that is not known.
	ConnectedAt time.Time
	// Own is set if this process saw the crash itself, and Attempt is then the
	// attempt that was running.
	Own     bool
	Attempt ident.AttemptID
}

// Allowance says how a request may run.
type Allowance int

// The allowances, from free to refused.
const (
	// Free allows the request to run on any upstream, beside others.
	Free Allowance = iota
	// Alone allows the request to run only on the designated upstream and with
	// no other request beside it.
	Alone
	// Refused refuses the request.
	Refused
)

// String returns the name of the allowance, as logged.
func (allowance Allowance) String() string {
	return [...]string{"free", "alone", "refused"}[allowance]
}
