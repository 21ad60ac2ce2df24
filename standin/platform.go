package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/hickoryhead/hickoryhead/ident"
	platformapi "github.com/hickoryhead/hickoryhead/platform"
)

// Platform stands in for the platform: a table with conditional transactions,
// an object store and a lagging list of VMs, all in memory. The zero value is
// empty and ready.
type Platform struct {
	Clock

	once sync.Once
	mux  *http.ServeMux

	mu         sync.Mutex
	table      table
	list       vmList
	objects    map[string][]byte
	switches   PlatformSwitches
	writeLimit limit
	readLimit  limit
	lossDue    float64
	counters   PlatformCounters
}

// Commit applies transaction, whatever faults are switched on. Where a check
// fails it returns false and the present rows of the failed checks.
func (platform *Platform) Commit(transaction platformapi.Transaction) (ident.Revision, platformapi.Conflict, bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.apply(transaction.Batch())
}

// Write writes one row of any table, whatever faults are switched on.
func (platform *Platform) Write(record platformapi.Record) ident.Revision {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	version, _, _ := platform.apply(platformapi.Batch{Writes: []platformapi.Record{record}})
	return version
}

// Remove removes one row of any table, whatever faults are switched on.
func (platform *Platform) Remove(name platformapi.RowName) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.apply(platformapi.Batch{Removes: []platformapi.RowName{name}})
}

// Forget drops the history of changes up to now.
func (platform *Platform) Forget() {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.table.forgotten = platform.table.version
}

// apply applies batch and counts it. The caller holds mu.
func (platform *Platform) apply(batch platformapi.Batch) (ident.Revision, platformapi.Conflict, bool) {
	version, conflict, applied := platform.table.apply(batch)
	if !applied {
		platform.counters.Conflicts++
		return version, conflict, false
	}
	platform.counters.Commits++
	platform.counters.RowsWritten += int64(len(batch.Writes) + len(batch.Removes))
	return version, conflict, true
}

// Rows returns the rows of keys that are present, in the order of the keys,
// whatever faults are switched on.
func (platform *Platform) Rows(keys ...platformapi.Key) []platformapi.Row {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var rows []platformapi.Row
	for _, key := range slices.Compact(slices.Sorted(slices.Values(keys))) {
		if record, present := platform.table.rows[platformapi.RowName{Table: platformapi.DataTable, Key: key}]; present {
			rows = append(rows, rowOf(record))
		}
	}
	return rows
}

// Scan returns every row whose key begins with prefix, in the order of the keys,
// whatever faults are switched on.
func (platform *Platform) Scan(prefix platformapi.Key) []platformapi.Row {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var rows []platformapi.Row
	for _, record := range platform.table.sorted(platformapi.Range{Table: platformapi.DataTable, From: prefix}) {
		if strings.HasPrefix(string(record.Key), string(prefix)) {
			rows = append(rows, rowOf(record))
		}
	}
	return rows
}

// PutVM adds a VM to the list, or changes it.
func (platform *Platform) PutVM(vm platformapi.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.list.put(platform.now(), vm)
}

// DeleteVM takes a VM off the list.
func (platform *Platform) DeleteVM(id ident.VMID) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.list.remove(platform.now(), id)
}
