package placement

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// recordKey is the row of the orders that the list of VMs may not show yet.
const recordKey platform.Key = "placement/orders"

// Record is the row of the orders that were given lately, so that the next
// holder of the lease does not move other engines in their place.
type Record struct {
	Fence  ident.FencingNumber
	Models map[ident.UpstreamID]ident.ModelName
}

// RecordTable keeps the record in the platform's table.
type RecordTable struct {
	Client *platform.Client
}

// Read returns the record, empty where there is none.
func (table *RecordTable) Read(ctx context.Context) (Record, error) {
	rows, err := table.Client.Read(ctx, recordKey)
	if err != nil || len(rows) == 0 {
		return Record{}, err
	}
	var record Record
	err = json.Unmarshal(rows[0].Value, &record)
	return record, errors.Wrap(err, "placement record")
}

// Write replaces the record, unless a later holder of the lease has written it.
func (table *RecordTable) Write(ctx context.Context, record Record) error {
	rows, err := table.Client.Read(ctx, recordKey)
	if err != nil {
		return err
	}
	check := platform.Check{Key: recordKey}
	if len(rows) > 0 {
		var present Record
		if err := json.Unmarshal(rows[0].Value, &present); err != nil {
			return errors.Wrap(err, "placement record")
		}
		if present.Fence > record.Fence {
			return errors.Newf("a later holder has written the placement record: %d, not %d", present.Fence, record.Fence)
		}
		check.Revision = rows[0].Revision
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "placement record")
	}
	_, err = table.Client.Commit(ctx, platform.Transaction{
		Checks: []platform.Check{check},
		Writes: []platform.Write{{Key: recordKey, Value: value}},
	})
	return err
}
