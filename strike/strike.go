package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Strike records that a request was running when an upstream crashed.
type Strike struct {
	Fingerprint ident.Fingerprint
	Upstream    ident.UpstreamID
	At          time.Time
}

// Allowance says how a request may run.
type Allowance int

// The allowances, from free to refused.
const (
	Free Allowance = iota
	Alone
	Never
)

// Ledger holds the recent strikes. The zero value is empty and ready. It is not
// safe for concurrent use.
type Ledger struct {
	// Lifetime bounds how long a strike counts; zero means one hour.
	Lifetime time.Duration
}

// Add takes in a strike and reports whether it was new.
func (ledger *Ledger) Add(_ time.Time, _ Strike) bool { return false }

// Clear drops the strikes of a request that ran to its end.
func (ledger *Ledger) Clear(_ ident.Fingerprint) {}

// Allowed returns how the request may run at the time now.
func (ledger *Ledger) Allowed(_ time.Time, _ ident.Fingerprint) Allowance { return Free }

// Designated returns which of the pool's upstreams may run a request that may
// only run alone: the same on every daemon with the same pool, and none on
// which it was struck unless all were.
func (ledger *Ledger) Designated(fingerprint ident.Fingerprint, pool []ident.UpstreamID) ident.UpstreamID {
	return pool[uint64(fingerprint)%uint64(len(pool))]
}
