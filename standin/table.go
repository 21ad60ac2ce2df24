package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// maxScanRows bounds the rows of one scan.
const maxScanRows = 1000

// table holds rows and changes them by conditional transactions. The zero value
// is empty. It is not safe for concurrent use.
type table struct {
	rows     map[platform.Key]platform.Row
	revision ident.Revision
}

// commit applies transaction whole, or returns the present rows of the checks
// that failed and false.
func (table *table) commit(transaction platform.Transaction) (platform.Committed, platform.Conflict, bool) {
	conflict, holds := table.check(transaction.Checks)
	if !holds {
		return platform.Committed{}, conflict, false
	}
	if len(transaction.Writes) > 0 {
		table.revision++
	}
	for _, write := range transaction.Writes {
		table.write(write)
	}
	return platform.Committed{Revision: table.revision}, platform.Conflict{}, true
}

func (table *table) check(checks []platform.Check) (platform.Conflict, bool) {
	conflict := platform.Conflict{Rows: []platform.Row{}}
	holds := true
	for _, check := range checks {
		row, found := table.rows[check.Key]
		if row.Revision == check.Revision {
			continue
		}
		holds = false
		if found {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	return conflict, holds
}

func (table *table) write(write platform.Write) {
	if write.Delete {
		delete(table.rows, write.Key)
		return
	}
	if table.rows == nil {
		table.rows = make(map[platform.Key]platform.Row)
	}
	table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
}

// read returns the rows of keys that are present, in the order of the keys.
func (table *table) read(keys []platform.Key) platform.Rows {
	rows := platform.Rows{Rows: []platform.Row{}}
	for _, key := range slices.Compact(slices.Sorted(slices.Values(keys))) {
		if row, present := table.rows[key]; present {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows
}

// scan returns at most limit rows whose keys begin with prefix and come after
// the key after.
func (table *table) scan(prefix string, after platform.Key, limit int) platform.Rows {
	rows := platform.Rows{Rows: []platform.Row{}}
	for _, key := range slices.Sorted(maps.Keys(table.rows)) {
		if key <= after || !strings.HasPrefix(string(key), prefix) {
			continue
		}
		if len(rows.Rows) == limit {
			break
		}
		rows.Rows = append(rows.Rows, table.rows[key])
	}
	return rows
}
