package claim

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// Action is what the driver of a Machine does next. It does one at a time and
// gives its result to the method named here.
type Action int

// The actions.
const (
	// Nothing asks for nothing: an earlier action is still under way, or the
	// attempt is finished.
	Nothing Action = iota
	// Commit commits Step.Transaction: Committed, Conflicted, Unavailable or
	// Lost.
	Commit
	// Read reads the claim's row: RowRead or Unavailable.
	Read
	// Ask asks Step.Holder about its attempt: HolderAnswered.
	Ask
	// Forward sends the request to the upstream: UpstreamAnswered or
	// UpstreamLost. It is asked for at most once.
	Forward
	// Wait waits until Step.Until: Waited. Expire cuts it short.
	Wait
)

// Holder names the attempt that holds a claim and where to ask about it.
type Holder struct {
	Address string
	Attempt ident.AttemptID
}

// Result is what the caller is told: the upstream's answer, or an error.
type Result struct {
	Reply Reply
	// Replayed says that an earlier request with the key had the answer.
	Replayed bool
	Err      *result.Error
}

// Step is what follows from an event.
type Step struct {
	Action      Action
	Transaction platform.Transaction
	Holder      Holder
	Until       time.Time
	// Result is set in exactly one step of an attempt. Actions may follow it in
	// the background.
	Result *Result
}
