package operator

import (
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// The headers of the operators' interface.
const (
	// HeaderChangeID makes a repeated change count once.
	HeaderChangeID = "Hickoryhead-Change-Id"
	// HeaderAuthor names the person who makes the change.
	HeaderAuthor = "Hickoryhead-Author"
	// HeaderReason says why.
	HeaderReason = "Hickoryhead-Reason"
	// HeaderResult carries the result code of a refusal.
	HeaderResult = "Hickoryhead-Result"
)

// Apply is the body of POST /v1/settings/apply. A null value deletes its path.
type Apply struct {
	Team   ident.TeamID
	Values map[settings.Path]json.RawMessage
}

// Undo is the body of POST /v1/settings/undo.
type Undo struct {
	Team     ident.TeamID
	Revision ident.Revision
}

// Listing is a set of settings in force at a revision of their team.
type Listing struct {
	Team     ident.TeamID
	Revision ident.Revision
	Values   map[settings.Path]json.RawMessage
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Team     ident.TeamID
	Revision ident.Revision
	ChangeID string
	// Repeated says that an earlier request had the change accepted.
	Repeated bool `json:",omitempty"`
}

// Preview is the answer to a dry run: what the change would do to Revision.
type Preview struct {
	Team        ident.TeamID
	Revision    ident.Revision
	Differences []settings.Difference
}

// History is the answer to GET /v1/settings/history/Teams/{team}.
type History struct {
	Entries []settings.Entry
}

// Refusal is the body of every refusal. Present is set for a change that lost
// a race: the paths of the change as they are now.
type Refusal struct {
	result.Problem
	Present *Listing `json:",omitempty"`
}
