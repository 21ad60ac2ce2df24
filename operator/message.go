package operator

import (
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// HTTP headers of the operator API.
const (
	// HeaderChangeID identifies a change, so that a change that is sent more than
	// once is applied only once.
	HeaderChangeID = "Hickoryhead-Change-Id"
	// HeaderAuthor names the person who makes the change.
	HeaderAuthor = "Hickoryhead-Author"
	// HeaderReason gives the reason for the change, shown in the history.
	HeaderReason = "Hickoryhead-Reason"
	// HeaderResult carries the result code of an error response.
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

// Listing is a set of settings of a team at one revision.
type Listing struct {
	Team     ident.TeamID
	Revision ident.Revision
	Values   map[settings.Path]json.RawMessage
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Team     ident.TeamID
	Revision ident.Revision
	ChangeID string
	// Repeated is set if an earlier request with the same change ID was accepted.
	Repeated bool `json:",omitempty"`
}

// Preview is the response to a dry run: the differences that the change would
// make to the settings at Revision.
type Preview struct {
	Team        ident.TeamID
	Revision    ident.Revision
	Differences []settings.Difference
}

// History is the response to GET /v1/settings/history/Teams/{team}.
type History struct {
	Entries []settings.Entry
}

// Refusal is the body of every error response. After a revision conflict, Present
// holds the current values of the paths that the request changes.
type Refusal struct {
	result.Problem
	Present *Listing `json:",omitempty"`
}
