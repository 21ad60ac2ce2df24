package placement

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// recordKey is the key of the row that holds the Record.
const recordKey platform.Key = "placement/orders"

// Record is the value of the row with the recent orders, encoded as JSON. The list
// of VMs may not show their effect yet, so without the record the next holder of
// the lease would move other engines instead.
type Record struct {
	Fence  ident.FencingNumber
	Models map[ident.UpstreamID]ident.ModelName
}

// RecordTable reads and writes the record in the platform's table.
type RecordTable struct {
	Client *platform.Client
}

// Read returns the record, or an empty one if there is no row.
func (table *RecordTable) Read(ctx context.Context) (Record, error) {
	rows, err := table.Client.Read(ctx, recordKey)
	if err != nil || len(rows) == 0 {
		return Record{}, err
	}
	var record Record
	err = json.Unmarshal(rows[0].Value, &record)
	return record, errors.Wrap(err, "decode placement record")
}

// Write replaces the record. It fails if the present one is of a later holder of
// the lease, or if the row changes at the same time.
func (table *RecordTable) Write(ctx context.Context, record Record) error {
	rows, err := table.Client.Read(ctx, recordKey)
	if err != nil {
		return err
	}
	check := platform.Check{Key: recordKey}
	if len(rows) > 0 {
		var present Record
		if err := json.Unmarshal(rows[0].Value, &present); err != nil {
			return errors.Wrap(err, "decode placement record")
		}
		if present.Fence > record.Fence {
			return errors.Newf("placement record has fencing number %d of a later lease holder, want at most %d", present.Fence, record.Fence)
		}
		check.Revision = rows[0].Revision
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode placement record")
	}
	_, err = table.Client.Commit(ctx, platform.Transaction{
		Checks: []platform.Check{check},
		Writes: []platform.Write{{Key: recordKey, Value: value}},
	})
	return err
}
