package claim

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

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
	Answer      []byte `json:",omitempty"`
	ClaimedAt   time.Time
}

// Reply is the upstream's whole answer to a request that ran.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Reply returns the recorded answer.
func (record Record) Reply() Reply {
	return Reply{Status: record.Status, ContentType: record.ContentType, Body: record.Answer}
}

// done returns the record with the answer.
func (record Record) done(reply Reply) Record {
	record.State = Done
	record.Status = reply.Status
	record.ContentType = reply.ContentType
	record.Answer = reply.Body
	return record
}

// in returns the record in another state.
func (record Record) in(state State) Record {
	record.State = state
	return record
}

// write returns the transaction that writes the record over the row's revision
// base, which is zero for an absent row. The row is never deleted: a delayed
// claim that checks for an absent row could take effect afterwards.
func (record Record) write(row platform.Key, base ident.Revision) platform.Transaction {
	value, err := json.Marshal(record)
	if err != nil {
		panic(errors.Wrap(err, "a claim record always encodes"))
	}
	return platform.Transaction{
		Checks: []platform.Check{{Key: row, Revision: base}},
		Writes: []platform.Write{{Key: row, Value: value}},
	}
}
