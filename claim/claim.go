package claim

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Key identifies a claim. Idempotency keys are scoped to a service and a
// workspace.
type Key struct {
	Service   ident.ServiceName
	Workspace ident.WorkspaceID
	Key       ident.IdempotencyKey
}

// Row returns the key of the claim's row in the platform's table.
func (key Key) Row() platform.Key {
	return platform.Key("claims/" + string(key.Service) + "/" + string(key.Workspace) + "/" + string(key.Key))
}

// State is the state of a claim as stored in the table.
type State string

// The states of a claim.
const (
	// Claimed means that the attempt named in the record may forward the
	// request.
	Claimed State = "Claimed"
	// Done means that the request ran and its answer is recorded.
	Done State = "Done"
	// Released means that no attempt has run the request and that the recorded
	// attempt never will; the key can be claimed again.
	Released State = "Released"
)

// Record is the value of a claim's row. It is stored as JSON.
type Record struct {
	State State
	// Attempt is the nonce of the attempt that holds the claim.
	Attempt ident.AttemptID
	// Sidecar is the peer address of the sidecar that can be asked about the
	// attempt.
	Sidecar  string
	Upstream ident.UpstreamID
	Body     ident.Fingerprint
	// Status, ContentType and Answer hold the recorded answer; they are set
	// only if State is Done.
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Answer      []byte `json:",omitempty"`
	ClaimedAt   time.Time
}

// Reply is the complete answer of an upstream to a request that ran.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Reply returns the recorded answer of a claim that is Done.
func (record Record) Reply() Reply {
	return Reply{Status: record.Status, ContentType: record.ContentType, Body: record.Answer}
}

// withReply returns the record as Done, with the answer.
func (record Record) withReply(reply Reply) Record {
	record.State = Done
	record.Status = reply.Status
	record.ContentType = reply.ContentType
	record.Answer = reply.Body
	return record
}

// withState returns the record with another state.
func (record Record) withState(state State) Record {
	record.State = state
	return record
}

// transaction returns the transaction that writes the record if the row is at
// revision base; zero means that the row is absent. Rows are never deleted,
// because a delayed claim that checks for an absent row could take effect
// afterwards.
func (record Record) transaction(row platform.Key, base ident.Revision) platform.Transaction {
	value, err := json.Marshal(record)
	if err != nil {
		panic(errors.Wrap(err, "encode claim record"))
	}
	return platform.Transaction{
		Checks: []platform.Check{{Key: row, Revision: base}},
		Writes: []platform.Write{{Key: row, Value: value}},
	}
}
