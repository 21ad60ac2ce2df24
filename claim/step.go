package claim

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// Action is the next action of the driver of a Machine. The driver carries out
// one action at a time and calls one of the methods listed for it with the
// result.
type Action int

// The actions.
const (
	// NoAction means that an earlier action is still under way or that the
	// attempt is settled.
	NoAction Action = iota
	// Commit commits Step.Transaction. Its results are Committed, Conflicted,
	// Unavailable and Lost.
	Commit
	// Read reads the claim's row. Its results are RowRead and Unavailable.
	Read
	// QueryHolder asks Step.Holder about its attempt. Its result is
	// HolderAnswered.
	QueryHolder
	// Forward sends the request to the upstream. Its results are
	// UpstreamAnswered and UpstreamLost. An attempt forwards at most once.
	Forward
	// Wait waits until Step.Until. Its result is Waited; Expire ends the wait
	// early.
	Wait
)

// Holder identifies the attempt that holds a claim.
type Holder struct {
	// Address is the peer address of the holder's sidecar.
	Address string
	Attempt ident.AttemptID
}

// Result is what the caller of an attempt receives: the upstream's answer, or
// an error.
type Result struct {
	Reply Reply
	// Replayed reports whether an earlier request with the key had this answer.
	Replayed bool
	Err      *result.Error
}

// Step is the response of a Machine to an event.
type Step struct {
	Action      Action
	Transaction platform.Transaction
	Holder      Holder
	Until       time.Time
	// Result is set in exactly one step of an attempt. Further actions may
	// follow in the background.
	Result *Result
}
